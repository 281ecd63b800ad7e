package fairshare

import "math"

// Divide returns the weighted max-min fair shares of the possible: nobody gets more than it wants, and what one
// leaves goes to the others by their parts.
func Divide(possible float64, wanted []int, part func(account int) float64) []float64 {
	due := make([]float64, len(wanted))
	for range wanted {
		weight, left := 0.0, possible
		for account := range wanted {
			left -= due[account]
			if due[account] < float64(wanted[account]) {
				weight += part(account)
			}
		}
		if weight == 0 || left < 1 {
			break
		}
		for account := range wanted {
			due[account] = min(due[account]+left*part(account)/weight, float64(wanted[account]))
		}
	}
	return due
}

// Worst compares what accounts got with their fair shares of the possible, and returns the least part of its share that
// one got.
func Worst(possible float64, wanted, got []int, part func(account int) float64) float64 {
	worst := math.Inf(1)
	for account, due := range Divide(possible, wanted, part) {
		worst = min(worst, float64(got[account])/due)
	}
	return worst
}
