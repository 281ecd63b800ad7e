package probe

import (
	"net/netip"

	"flamingoreach/core/membership/update"
)

// Probe asks its target for an acknowledgement and carries membership updates.
type Probe struct {
	Sender string `json:"sender" cbor:"1,keyasint"`
	// Peer is the sender's address.
	Peer netip.AddrPort `json:"peer" cbor:"2,keyasint"`
	// Target is the ID that the sender expects at the address.
	Target string `json:"target" cbor:"3,keyasint"`
	// Digest covers all live members that the sender knows.
	Digest  uint64          `json:"digest" cbor:"4,keyasint"`
	Updates []update.Update `json:"news,omitempty" cbor:"5,keyasint,omitempty"`
}
