package heartbeatreply

import (
	"time"

	"flamingoreach/core/versionid"
)

// HeartbeatReply tells the sender of a heartbeat which versions the leader knows, and whether its contact lease is
// renewed.
type HeartbeatReply struct {
	// Sequence is that of the heartbeat.
	Sequence uint64 `json:"sequence" cbor:"1,keyasint"`
	// OK renews the lease from the time at which the heartbeat was sent.
	OK bool `json:"ok" cbor:"2,keyasint,omitempty"`
	// Current and Prepared are the versions that the leader knows; those equal to the heartbeat's are left out.
	Current  versionid.VersionID `json:"current,omitzero" cbor:"3,keyasint,omitzero"`
	Prepared versionid.VersionID `json:"prepared,omitzero" cbor:"4,keyasint,omitzero"`
	// Aborted is the prepared patch of the heartbeat, if the leader knows that it will never take effect.
	Aborted versionid.VersionID `json:"aborted,omitzero" cbor:"5,keyasint,omitzero"`
	// InStoreRegionContact is set if the leader has had contact with the store's region; the last contact was
	// StoreRegionAge ago.
	InStoreRegionContact bool          `json:"inRegionContact,omitempty" cbor:"6,keyasint,omitempty"`
	StoreRegionAge       time.Duration `json:"regionAge,omitempty" cbor:"7,keyasint,omitempty"`
	// NeedsFullVersion is set if the leader does not know the version whose number is in the heartbeat, so that the
	// next heartbeat must carry the version in full.
	NeedsFullVersion bool `json:"unnamed,omitempty" cbor:"8,keyasint,omitempty"`
}
