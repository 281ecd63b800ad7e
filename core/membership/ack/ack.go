package ack

import "flamingoreach/core/membership/update"

// Ack acknowledges a probe and carries membership updates.
type Ack struct {
	// Sender is the ID of the node that received the probe.
	Sender string `json:"sender" cbor:"1,keyasint"`
	// Digest covers all live members that the sender knows.
	Digest  uint64          `json:"digest" cbor:"2,keyasint"`
	Updates []update.Update `json:"news,omitempty" cbor:"3,keyasint,omitempty"`
}
