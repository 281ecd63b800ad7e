package tokenpool

import (
	"slices"
	"sync"
	"time"

	"flamingoreach/core/tokencount"
)

// maxWaiters bounds the calls of one account that wait for tokens.
const maxWaiters = 4096

// balance holds the tokens of one client account.
type balance struct {
	mutex sync.Mutex
	count tokencount.TokenCount
	// expiry is the time from which the tokens may not be spent.
	expiry time.Time
	// lowMark is the number of tokens at which they count as low.
	lowMark uint64
	// lowReported is set when low tokens were reported, and cleared by the next grant or renewal.
	lowReported bool
	// waitingReported is the same for a report that calls wait.
	waitingReported bool
	// noTokensBefore is the time before which the leader expects to have no tokens.
	noTokensBefore time.Time
	waiters        []*waiter
}

type waiter struct {
	deadline time.Time
	done     chan bool
}

// spend takes one token. It reads the clock after that, so that a token that admits a call was taken before its expiry.
func (bal *balance) spend() bool {
	if bal.count.Tokens == 0 {
		return false
	}
	bal.count.Tokens--
	if !time.Now().Before(bal.expiry) {
		bal.count.Returned += bal.count.Tokens + 1
		bal.count.Tokens = 0
		return false
	}
	bal.count.Spent++
	return true
}

func (bal *balance) expire(now time.Time) {
	if !now.Before(bal.expiry) {
		bal.count.Returned += bal.count.Tokens
		bal.count.Tokens = 0
	}
}

// shouldReportLow reports whether OnLowTokens is to be called: after each answer of the leader once for low tokens,
// and once for calls that wait.
func (bal *balance) shouldReportLow() bool {
	if len(bal.waiters) > 0 && !bal.waitingReported {
		bal.lowReported, bal.waitingReported = true, true
		return true
	}
	if bal.lowReported || bal.count.Tokens > bal.lowMark {
		return false
	}
	bal.lowReported = true
	return true
}

func (bal *balance) clearReports() { bal.lowReported, bal.waitingReported = false, false }

// serve gives tokens to waiting calls in the order of their arrival.
func (bal *balance) serve() {
	for len(bal.waiters) > 0 && bal.spend() {
		bal.waiters[0].done <- true
		bal.waiters = bal.waiters[1:]
	}
}

// refuseBefore refuses the waiting calls whose deadline comes before the given time.
func (bal *balance) refuseBefore(before time.Time) {
	bal.waiters = slices.DeleteFunc(bal.waiters, func(wai *waiter) bool {
		if !wai.deadline.Before(before) {
			return false
		}
		wai.done <- false
		return true
	})
}

// abandonWait removes a waiter. If the waiter was served or refused in the meantime, it returns that result.
func (bal *balance) abandonWait(wai *waiter) bool {
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	at := slices.Index(bal.waiters, wai)
	if at < 0 {
		return <-wai.done
	}
	bal.waiters = slices.Delete(bal.waiters, at, at+1)
	return false
}
