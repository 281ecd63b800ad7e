package heartbeat

import "flamingoreach/core/versionid"

// Heartbeat reports which configuration versions its sender enforces. A node sends it to the leader of its data centre,
// and a leader sends it for its data centre to a leader in the store's region.
type Heartbeat struct {
	// From is a node's member ID or a data centre's name.
	From string `json:"from" cbor:"1,keyasint,omitempty"`
	// Sequence grows with each heartbeat of the sender.
	Sequence uint64 `json:"sequence" cbor:"2,keyasint"`
	// Current is the accepted version in force; it is left out where Version suffices.
	Current versionid.VersionID `json:"current,omitzero" cbor:"3,keyasint,omitzero"`
	// Prepared is a prepared patch whose body the sender holds, and which it enforces as well.
	Prepared versionid.VersionID `json:"prepared,omitzero" cbor:"4,keyasint,omitzero"`
	// Version is the number of the accepted version in force. It replaces Current once the receiver has answered a
	// heartbeat that carried that version in full.
	Version uint64 `json:"version,omitempty" cbor:"5,keyasint,omitempty"`
}

// InForce returns the number of the accepted version in force, or 0 if there is none.
func (hea Heartbeat) InForce() uint64 { return max(hea.Version, hea.Current.Version) }
