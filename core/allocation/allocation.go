package allocation

// Allocation is the share of a client account's rate and burst that one data centre may use.
type Allocation struct {
	// Rate is in calls per second.
	Rate float64 `json:"rate"`
	// Burst is in calls.
	Burst float64 `json:"burst"`
	// TokensReceived counts all tokens that other data centres have transferred to this one.
	TokensReceived uint64 `json:"moved,omitempty"`
}
