package fairshare

import "math"

// Divide returns the weighted max-min fair shares of the possible number of requests: no account gets more than it
// wants, and what an account leaves unused is divided among the others by weight. Less than one request may be left
// over.
func Divide(possible float64, wanted []int, weightOf func(account int) float64) []float64 {
	due := make([]float64, len(wanted))
	for range wanted {
		totalWeight, left := 0.0, possible
		for account := range wanted {
			left -= due[account]
			if due[account] < float64(wanted[account]) {
				totalWeight += weightOf(account)
			}
		}
		if totalWeight == 0 || left < 1 {
			break
		}
		for account := range wanted {
			due[account] = min(due[account]+left*weightOf(account)/totalWeight, float64(wanted[account]))
		}
	}
	return due
}

// Worst returns the lowest ratio, over all accounts, of the requests that the account got served to its fair share
// of the possible number.
func Worst(possible float64, wanted, served []int, weightOf func(account int) float64) float64 {
	worst := math.Inf(1)
	for account, due := range Divide(possible, wanted, weightOf) {
		worst = min(worst, float64(served[account])/due)
	}
	return worst
}
