package tokenledger

// TokenLedger holds the counts of one account at one node.
type TokenLedger struct {
	// Spent and Returned are the counts that the node last reported, from the start of its ledger.
	Spent    uint64 `json:"spent"`
	Returned uint64 `json:"returned"`
	// Accepted counts the tokens that the node may still spend.
	Accepted uint64 `json:"accepted"`
	// Pending counts the tokens of the last reply, which the node may not have accepted.
	Pending uint64 `json:"pending"`
	// Demand is in calls per second.
	Demand float64 `json:"demand"`
}
