package share

import (
	"math"
	"time"

	"flamingoreach/core/tokencount"
)

const (
	// fastWindow and slowWindow are the time constants of the two averages of demand.
	fastWindow = 200 * time.Millisecond
	slowWindow = 2 * time.Second
	// minDemand, in calls per second, is the demand below which it counts as none.
	minDemand = 0.02
	// If the fast average falls below half of the slow one, the demand counts as ended and the slow average is lowered
	// to the fast one at once, provided that the slow one amounts to at least dropMinCalls calls in fastWindow.
	dropMinCalls = 4
)

// demand estimates the rate of one account's calls at this node.
type demand struct {
	attempts uint64
	fast     float64
	slow     float64
	// reported is the state that the leader last confirmed.
	reported     tokencount.TokenCount
	reportedRate float64
	// sent is the state in the request in flight.
	sent     tokencount.TokenCount
	sentRate float64
}

// sample updates the averages with the attempts since the last sample.
func (dem *demand) sample(attempts uint64, elapsed time.Duration) {
	rate := float64(attempts-dem.attempts) / elapsed.Seconds()
	dem.attempts = attempts
	dem.fast += (rate - dem.fast) * (1 - math.Exp(-elapsed.Seconds()/fastWindow.Seconds()))
	dem.slow += (rate - dem.slow) * (1 - math.Exp(-elapsed.Seconds()/slowWindow.Seconds()))
	if dem.slow*fastWindow.Seconds() >= dropMinCalls && dem.fast < dem.slow/2 {
		dem.slow = dem.fast
	}
}

// keepTokens returns the number of tokens that the node keeps; the rest goes back to the leader.
func (dem *demand) keepTokens() uint64 { return uint64(math.Ceil(dem.rate() * keepHorizon.Seconds())) }

// rate returns the demand in calls per second; it rises fast and falls slowly.
func (dem *demand) rate() float64 {
	rate := max(dem.fast, dem.slow)
	if rate < minDemand {
		return 0
	}
	return rate
}

// unreported reports whether the counts or the demand differ from those that the leader confirmed last.
func (dem *demand) unreported(count tokencount.TokenCount) bool {
	return count.Spent != dem.reported.Spent || count.Returned != dem.reported.Returned || dem.rate() != dem.reportedRate
}
