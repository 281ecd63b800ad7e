package tokencount

// TokenCount holds the number of tokens that the node has and its counts since the start of the node's ledger.
type TokenCount struct {
	// Tokens is the number of tokens that may be spent until their expiry.
	Tokens uint64
	// Spent counts the tokens that admitted calls.
	Spent uint64
	// Returned counts the tokens that were given back or have expired.
	Returned uint64
	// Attempts counts all calls that asked for a token since the node's start.
	Attempts uint64
	// Waiting is the number of calls that wait for a token.
	Waiting uint64
}
