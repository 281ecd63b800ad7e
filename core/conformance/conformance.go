package conformance

import (
	"slices"
	"time"
)

// Conformance is a bound on admitted calls. It is checked with a token bucket, which gives the same result as a check
// of every window between two calls.
type Conformance struct {
	// Rate is in calls per second, Burst in calls.
	Rate  float64
	Burst float64
}

// Excess returns the greatest number of calls by which any window exceeds its bound: Rate times the window's length
// plus Burst. The result is negative if no window reaches its bound. The times may be given in any order.
func (con Conformance) Excess(times []time.Time) float64 {
	sorted := slices.SortedFunc(slices.Values(times), time.Time.Compare)
	worst, used := -con.Burst, 0.0
	for at, admitted := range sorted {
		if at > 0 {
			used = max(0, used-con.Rate*admitted.Sub(sorted[at-1]).Seconds())
		}
		used++
		worst = max(worst, used-con.Burst)
	}
	return worst
}
