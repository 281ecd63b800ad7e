package shareresult

// ShareResult holds the figures of one run, or of one account in it.
type ShareResult struct {
	Name    string `json:"name"`
	Seed    uint64 `json:"seed"`
	Offered int    `json:"offered"`
	// Within counts the offered calls that a single token bucket of the account's rate and burst would admit.
	Within   int `json:"within"`
	Admitted int `json:"admitted"`
	// RefusedWithin counts the calls of Within that were refused.
	RefusedWithin int `json:"refusedWithin"`
	// RefusedWithinFraction is RefusedWithin divided by Within.
	RefusedWithinFraction float64 `json:"refusedWithinShare"`
	// Excess is the greatest number of calls by which the admitted calls of any time window exceed the bound of rate
	// times the window's length plus burst; it is negative if all windows stay below the bound.
	Excess float64 `json:"excess"`
	// Waited counts the admitted calls that waited for a token; LongestWaitMicroseconds is the longest wait of an
	// admitted call.
	Waited                  int   `json:"waited"`
	LongestWaitMicroseconds int64 `json:"longestWaitMicroseconds"`
	// ShareRequests counts the share requests of all nodes; each node sends at least one per second.
	ShareRequests int `json:"requests,omitempty"`
	// DivisionWrites counts the writes of division rows that took effect.
	DivisionWrites int           `json:"moves,omitempty"`
	Accounts       []ShareResult `json:"accounts,omitempty"`
}
