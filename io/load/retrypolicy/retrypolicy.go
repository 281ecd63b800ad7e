package retrypolicy

import "time"

// RetryPolicy is a caller's policy for retrying refused and failed requests.
type RetryPolicy struct {
	// Attempts bounds the number of attempts of one request, including the first.
	Attempts int
	// Backoff is the wait before the second attempt; it doubles with each further attempt.
	Backoff time.Duration
	// Jitter is the fraction of each wait, from 0 to 1, that is random.
	Jitter float64
	// Unconditional retries after the backoff alone: it ignores Retry-After and retries even if the request may have been executed.
	Unconditional bool
}

// Wait returns the wait after an attempt; attempts count from 1, random is from 0 to 1, and retryAfter is the time that
// the answer asked the caller to wait.
func (pol RetryPolicy) Wait(attempt int, random float64, retryAfter time.Duration) time.Duration {
	const maxDoublings = 16
	span := float64(pol.Backoff) * float64(uint64(1)<<min(attempt-1, maxDoublings))
	span *= 1 - pol.Jitter*random
	if pol.Unconditional {
		return time.Duration(span)
	}
	return max(time.Duration(span), retryAfter)
}
