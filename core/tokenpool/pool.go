package tokenpool

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flamingoreach/core/tokencount"
)

// Pool holds a node's tokens of all client accounts; its methods may be called from any goroutine.
type Pool struct {
	// OnLowTokens, if set, is called when an account's tokens run low or its calls wait for tokens; it must not block.
	OnLowTokens func(account string)

	balances atomic.Pointer[map[string]*balance]
	mutex    sync.Mutex
}

// New returns a pool without tokens.
func New() *Pool {
	pl := &Pool{}
	pl.balances.Store(&map[string]*balance{})
	return pl
}

// Take spends one token of the account and reports whether there was one that had not expired.
func (pl *Pool) Take(account string) bool {
	bal := pl.balance(account)
	bal.mutex.Lock()
	bal.count.Attempts++
	ok := bal.spend()
	low := bal.shouldReportLow()
	bal.mutex.Unlock()
	pl.notifyLow(account, low)
	return ok
}

// TakeOrWait is like Take, but waits for a grant for up to the given time, or until the context ends, before it
// reports false.
func (pl *Pool) TakeOrWait(ctx context.Context, account string, wait time.Duration) bool {
	bal := pl.balance(account)
	bal.mutex.Lock()
	bal.count.Attempts++
	ok := len(bal.waiters) == 0 && bal.spend()
	var wai *waiter
	if !ok {
		wai = bal.enqueue(wait)
	}
	low := bal.shouldReportLow()
	bal.mutex.Unlock()
	pl.notifyLow(account, low)
	if wai == nil {
		return ok
	}
	return bal.await(ctx, wai, wait)
}

// enqueue adds a waiter, or returns nil if the call cannot wait until the leader expects to have tokens again, or too
// many calls wait.
func (bal *balance) enqueue(wait time.Duration) *waiter {
	deadline := time.Now().Add(wait)
	if wait <= 0 || deadline.Before(bal.noTokensBefore) || len(bal.waiters) >= maxWaiters {
		return nil
	}
	wai := &waiter{deadline: deadline, done: make(chan bool, 1)}
	bal.waiters = append(bal.waiters, wai)
	return wai
}

func (bal *balance) await(ctx context.Context, wai *waiter, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case ok := <-wai.done:
		return ok
	case <-timer.C:
	case <-ctx.Done():
	}
	return bal.abandonWait(wai)
}

// Grant adds tokens and serves the waiting calls first; all tokens of the account then expire at the given time.
func (pl *Pool) Grant(account string, tokens uint64, expiry time.Time) {
	bal := pl.balance(account)
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	bal.expire(time.Now())
	bal.expiry = expiry
	bal.count.Tokens += tokens
	bal.serve()
	bal.expire(time.Now())
	bal.lowMark = bal.count.Tokens / 2
	bal.clearReports()
}

// Renew moves the expiry of all tokens that have not expired to a later time.
func (pl *Pool) Renew(expiry time.Time) {
	now := time.Now()
	for _, bal := range *pl.balances.Load() {
		bal.mutex.Lock()
		bal.expire(now)
		if expiry.After(bal.expiry) {
			bal.expiry = expiry
		}
		bal.clearReports()
		bal.mutex.Unlock()
	}
}

// Leased reports whether a grant, renewal or denial by the leader still applies to the account. If so, a lack of tokens
// means that the account exceeds its rate; if not, that the leader does not answer.
func (pl *Pool) Leased(account string) bool {
	bal := pl.balance(account)
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	now := time.Now()
	return now.Before(bal.expiry) || now.Before(bal.noTokensBefore)
}

// Deny records that the leader grants no tokens before the given time, and refuses the calls that cannot wait so long.
func (pl *Pool) Deny(account string, until time.Time) {
	bal := pl.balance(account)
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	bal.noTokensBefore = until
	bal.refuseBefore(until)
}

// ReturnExcess takes the account's tokens beyond the given number out of use and counts them as returned.
func (pl *Pool) ReturnExcess(account string, keep uint64) {
	bal := pl.balance(account)
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	if bal.count.Tokens > keep {
		bal.count.Returned += bal.count.Tokens - keep
		bal.count.Tokens = keep
	}
	bal.lowMark = min(bal.lowMark, keep/2)
}

// Reset drops all tokens and starts the counts of spent and returned tokens at zero.
func (pl *Pool) Reset() {
	for _, bal := range *pl.balances.Load() {
		bal.mutex.Lock()
		bal.count.Tokens, bal.count.Spent, bal.count.Returned = 0, 0, 0
		bal.mutex.Unlock()
	}
}

// Count returns the account's counts, in which expired tokens are counted as returned.
func (pl *Pool) Count(account string) tokencount.TokenCount {
	bal := pl.balance(account)
	bal.mutex.Lock()
	defer bal.mutex.Unlock()
	bal.expire(time.Now())
	count := bal.count
	count.Waiting = uint64(len(bal.waiters))
	return count
}

// Accounts returns the names of all accounts that calls or grants have named so far, in alphabetical order.
func (pl *Pool) Accounts() []string {
	return slices.Sorted(maps.Keys(*pl.balances.Load()))
}

func (pl *Pool) notifyLow(account string, low bool) {
	if low && pl.OnLowTokens != nil {
		pl.OnLowTokens(account)
	}
}

func (pl *Pool) balance(account string) *balance {
	if bal := (*pl.balances.Load())[account]; bal != nil {
		return bal
	}
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	if bal := (*pl.balances.Load())[account]; bal != nil {
		return bal
	}
	balances := maps.Clone(*pl.balances.Load())
	balances[account] = &balance{}
	pl.balances.Store(&balances)
	return balances[account]
}
