package sharereply

import (
	"time"

	"flamingoreach/core/sharegrant"
)

// ShareReply grants tokens to a node and renews those that it holds.
type ShareReply struct {
	Epoch uint64 `json:"epoch" cbor:"1,keyasint"`
	// Sequence is that of the request.
	Sequence uint64 `json:"sequence" cbor:"2,keyasint"`
	// Ledger is the number of the node's ledger at the leader.
	Ledger uint64 `json:"ledger" cbor:"3,keyasint"`
	// Echo is when the leader replied, counted from the start of its leadership; the node's next request sends it back.
	Echo time.Duration `json:"echo" cbor:"4,keyasint"`
	// TokenValidity is the time from the sending of the request after which no token of the ledger may be spent.
	TokenValidity time.Duration `json:"lapse" cbor:"5,keyasint"`
	// NotReady says that the leader does not grant tokens yet, so that the reply grants and renews nothing.
	NotReady bool                    `json:"waiting,omitempty" cbor:"6,keyasint,omitempty"`
	Grants   []sharegrant.ShareGrant `json:"grants,omitempty" cbor:"7,keyasint,omitempty"`
}
