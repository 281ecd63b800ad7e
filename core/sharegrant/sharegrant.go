package sharegrant

import "time"

// ShareGrant is one client account's entry in a share reply.
type ShareGrant struct {
	Account string `json:"account" cbor:"1,keyasint"`
	Tokens  uint64 `json:"tokens" cbor:"2,keyasint,omitempty"`
	// Retry is the time until the leader expects to have more tokens; 0 if all waiting calls got one.
	Retry time.Duration `json:"retry,omitempty" cbor:"3,keyasint,omitempty"`
	// Exhausted says that the account exceeds its rate in all data centres together, so that calls that cannot
	// wait for Retry are refused at once.
	Exhausted bool `json:"exhausted,omitempty" cbor:"4,keyasint,omitempty"`
}
