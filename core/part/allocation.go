package part

// Part is the share of a client account's rate and burst that one data centre may use.
type Part struct {
	// Rate is in calls per second.
	Rate float64 `json:"rate"`
	// Burst is in calls.
	Burst float64 `json:"burst"`
	// Moved counts all tokens that other data centres have transferred to this one.
	Moved uint64 `json:"moved,omitempty"`
}
