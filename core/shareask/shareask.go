package shareask

// ShareAsk is one client account's entry in a share request; its counts run from the start of the node's ledger.
type ShareAsk struct {
	Account string `json:"account" cbor:"1,keyasint"`
	// Spent counts the tokens that admitted calls.
	Spent uint64 `json:"spent" cbor:"2,keyasint,omitempty"`
	// Returned counts the tokens that were given back or have expired at the node.
	Returned uint64 `json:"returned" cbor:"3,keyasint,omitempty"`
	// Want is the number of tokens that the node requests besides those for Waiting.
	Want uint64 `json:"want,omitempty" cbor:"4,keyasint,omitempty"`
	// Waiting is the number of calls that wait for a token.
	Waiting uint64 `json:"waiting,omitempty" cbor:"5,keyasint,omitempty"`
	// Demand is in calls per second.
	Demand float64 `json:"demand" cbor:"6,keyasint,omitempty"`
}
