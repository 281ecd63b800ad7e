package sharerequest

import (
	"time"

	"flamingoreach/core/shareask"
)

// ShareRequest reports a node's tokens and requests more. A node that has sent it accepts no reply to an earlier request.
type ShareRequest struct {
	// Node is the member ID of the sender.
	Node string `json:"node" cbor:"1,keyasint,omitempty"`
	// Epoch is the highest leader epoch that the node knows.
	Epoch uint64 `json:"epoch" cbor:"2,keyasint,omitempty"`
	// Sequence grows with each request of the node.
	Sequence uint64 `json:"sequence" cbor:"3,keyasint"`
	// Ledger is the number of the node's ledger at the leader, from whose start the counts run; 0 before the first reply.
	Ledger uint64 `json:"ledger" cbor:"4,keyasint,omitempty"`
	// Accepted is the sequence of the last reply whose tokens the node accepted.
	Accepted uint64 `json:"accepted" cbor:"5,keyasint,omitempty"`
	// Echo is that of the last reply of this epoch.
	Echo time.Duration `json:"echo" cbor:"6,keyasint,omitempty"`
	// SinceLowerEpoch is the time since the node last sent a request to a leader of a lower epoch, or since its start.
	SinceLowerEpoch time.Duration `json:"quiet" cbor:"7,keyasint,omitempty"`
	// Leaving says that the node has given back all tokens and asks for none.
	Leaving bool                `json:"leaving,omitempty" cbor:"8,keyasint,omitempty"`
	Asks    []shareask.ShareAsk `json:"asks,omitempty" cbor:"9,keyasint,omitempty"`
}
