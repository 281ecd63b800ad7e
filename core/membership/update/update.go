package update

import "flamingoreach/core/member"

// Update is a member's entry with its liveness, as one node sends it to another.
type Update struct {
	Member member.Member `json:"member" cbor:"1,keyasint"`
	// Liveness is a state of the chart liveness: alive, suspect, dead or left.
	Liveness string `json:"liveness" cbor:"2,keyasint"`
}
