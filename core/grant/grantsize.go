package grant

import (
	"math"
	"time"

	"flamingoreach/core/shareask"
)

const (
	// prefetchShare is the fraction of the burst that nodes may hold ahead of calls that wait for tokens.
	prefetchShare = 0.4
	// scarcityHorizon is the time for which available tokens must cover the demand so as not to count as scarce.
	scarcityHorizon = 200 * time.Millisecond
	// maxRetryAfter bounds the time for which a node may refuse calls before it asks the leader again.
	maxRetryAfter = 100 * time.Millisecond
)

// grantSize returns the number of tokens to grant to a node. The node gets tokens for its waiting calls, or as many of
// the requested tokens as bring it to its fraction of those that nodes may prefetch, if that is more. The fraction is
// the node's part of the demand; while tokens are scarce, it also limits the tokens for waiting calls.
func (buc *bucket) grantSize(hdg *holding, ask shareask.ShareAsk) uint64 {
	fraction := 1.0
	if buc.demand > 0 {
		fraction = min(1, ask.Demand/buc.demand)
	}
	held := float64(hdg.outstanding())
	waiting := float64(ask.Waiting)
	if buc.scarce() {
		fair := (buc.available+float64(buc.outstanding))*fraction - held
		waiting = min(waiting, max(1, math.Floor(fair)))
	}
	want := float64(ask.Waiting + ask.Want)
	prefetch := math.Floor(buc.allocation.Burst*prefetchShare*fraction - held)
	if prefetch = min(prefetch, want); prefetch > waiting {
		waiting = prefetch
	}
	return uint64(min(waiting, buc.available))
}

// scarce reports whether the demand exceeds the rate and the available tokens cover it for less than scarcityHorizon.
func (buc *bucket) scarce() bool {
	return buc.demand > buc.allocation.Rate && buc.available < buc.demand*scarcityHorizon.Seconds()
}

// retryAfter returns the time in which the bucket accrues one token, or while tokens are scarce one token for the node
// that asks, by its part of the demand. It is from 1 ms to maxRetryAfter.
func (buc *bucket) retryAfter(ask shareask.ShareAsk) time.Duration {
	rate := buc.allocation.Rate
	if buc.scarce() {
		rate *= ask.Demand / buc.demand
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(float64(time.Second) / rate)
	return max(time.Millisecond, min(wait, maxRetryAfter))
}
