package confirmation

import "time"

// Confirmation says that some time ago the store had no newer version of the configuration than the sender's.
type Confirmation struct {
	// Follower is the ID of the node to which the store confirmed it; empty if the sender knows of none.
	Follower string `json:"follower" cbor:"1,keyasint"`
	// Age is the time since then.
	Age time.Duration `json:"age" cbor:"2,keyasint"`
}
