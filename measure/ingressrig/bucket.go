package ingressrig

import (
	"sync"
	"time"
)

// bucket limits an account's rate with one token bucket for all nodes. It replaces the tokens that are leased to nodes,
// which package sharerig measures.
type bucket struct {
	mut                 sync.Mutex
	rate, burst, tokens float64
	refilledAt          time.Time
}

// take takes a token for one request and reports whether the request is within the rate and burst.
func (buc *bucket) take(now time.Time) bool {
	buc.mut.Lock()
	defer buc.mut.Unlock()
	buc.tokens = min(buc.tokens+buc.rate*now.Sub(buc.refilledAt).Seconds(), buc.burst)
	buc.refilledAt = now
	if buc.tokens < 1 {
		return false
	}
	buc.tokens--
	return true
}
