package tokenshare

import (
	"context"
	"sync"
	"time"

	"flamingoreach/core/clientaccount"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/core/tokenshare/loan"
)

const (
	// borrowWait is how long a call waits for borrowed tokens: a round of asking begins each control tick.
	borrowWait = 150 * time.Millisecond
	// cover is the time for which a host keeps tokens for its own demand: until it could borrow them back.
	cover = 300 * time.Millisecond
	// dryAsks is the number of askings in vain after which calls are refused without a wait, for dryTime.
	dryAsks = 4
	dryTime = 300 * time.Millisecond
	// demandTime is the time over which the demand is averaged.
	demandTime = time.Second
	// leastLoan is the smallest number of tokens worth a message.
	leastLoan = 0.5
	// maxWaiting bounds the calls of one account that wait for tokens.
	maxWaiting = 64
	// comeBack is the least time after which a refused call may find a token.
	comeBack = time.Second
)

// Shares holds the tokens of one host; it is safe for concurrent use.
type Shares struct {
	mut     sync.Mutex
	hosts   int
	buckets map[string]*bucket
}

// bucket holds one account's tokens.
type bucket struct {
	rate, burst float64
	tokens      float64
	filled      time.Time
	// demand is the moving average of calls per second, counted up to noted.
	demand float64
	noted  time.Time
	// inVain counts the askings in a row that brought nothing; calls are refused at once until dry.
	inVain  int
	dry     time.Time
	waiters []chan struct{}
}

// New returns shares without accounts, which accrue nothing before the number of hosts is known.
func New() *Shares { return &Shares{buckets: map[string]*bucket{}} }

// Configure takes the accounts of a new version; those without a rate are not limited.
func (sha *Shares) Configure(accounts []clientaccount.ClientAccount) {
	sha.mut.Lock()
	defer sha.mut.Unlock()
	now := time.Now()
	kept := map[string]*bucket{}
	for _, acc := range accounts {
		if acc.Rate <= 0 {
			continue
		}
		buc := sha.buckets[acc.Name]
		if buc == nil {
			buc = &bucket{filled: now, noted: now}
		}
		sha.refill(buc, now)
		buc.rate, buc.burst = acc.Rate, acc.Burst
		buc.tokens = min(buc.tokens, buc.burst)
		kept[acc.Name] = buc
	}
	for name, buc := range sha.buckets {
		if kept[name] == nil {
			buc.release()
		}
	}
	sha.buckets = kept
}

// SetHosts tells among how many hosts the rates are divided.
func (sha *Shares) SetHosts(hosts int) {
	sha.mut.Lock()
	defer sha.mut.Unlock()
	if hosts == sha.hosts {
		return
	}
	now := time.Now()
	for _, buc := range sha.buckets {
		sha.refill(buc, now)
	}
	sha.hosts = hosts
}

// Take takes one token of an account, and waits a bounded time for a borrowed one.
func (sha *Shares) Take(ctx context.Context, account string) *refusal.Refusal {
	sha.mut.Lock()
	now := time.Now()
	buc := sha.buckets[account]
	if buc == nil {
		sha.mut.Unlock()
		return nil
	}
	buc.note(now)
	sha.refill(buc, now)
	if buc.tokens >= 1 && len(buc.waiters) == 0 {
		buc.tokens--
		sha.mut.Unlock()
		return nil
	}
	if now.Before(buc.dry) || len(buc.waiters) >= maxWaiting {
		defer sha.mut.Unlock()
		return sha.exceeded(buc)
	}
	turn := make(chan struct{})
	buc.waiters = append(buc.waiters, turn)
	sha.mut.Unlock()
	timer := time.NewTimer(borrowWait)
	defer timer.Stop()
	select {
	case <-turn:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return sha.giveUp(buc, turn)
}

// giveUp takes a waiter out, unless its token came at the same moment.
func (sha *Shares) giveUp(buc *bucket, turn chan struct{}) *refusal.Refusal {
	sha.mut.Lock()
	defer sha.mut.Unlock()
	sha.serve(buc, time.Now())
	for index, other := range buc.waiters {
		if other == turn {
			buc.waiters = append(buc.waiters[:index], buc.waiters[index+1:]...)
			return sha.exceeded(buc)
		}
	}
	return nil
}

func (sha *Shares) exceeded(buc *bucket) *refusal.Refusal {
	ref := refusal.NotRun(reason.RateExceeded, "take token")
	ref.RetryAfter = comeBack
	if part := sha.part(buc.rate); part > 0 {
		ref.RetryAfter = max(comeBack, time.Duration(float64(len(buc.waiters)+1)/part*float64(time.Second)))
	}
	return ref
}

// Wants lists the tokens that this host should ask of another one; it also serves those that wait.
func (sha *Shares) Wants() []loan.Loan {
	sha.mut.Lock()
	defer sha.mut.Unlock()
	now := time.Now()
	var wants []loan.Loan
	for name, buc := range sha.buckets {
		buc.decay(now)
		sha.serve(buc, now)
		need := buc.demand*cover.Seconds() + float64(len(buc.waiters))
		if need < leastLoan || buc.tokens >= need {
			continue
		}
		wants = append(wants, loan.Loan{Account: name, Tokens: 2*need - buc.tokens})
	}
	return wants
}

// Lend returns the tokens asked for that this host does not need itself; they are no longer its own.
func (sha *Shares) Lend(asks []loan.Loan) []loan.Loan {
	sha.mut.Lock()
	defer sha.mut.Unlock()
	now := time.Now()
	var loans []loan.Loan
	for _, ask := range asks {
		buc := sha.buckets[ask.Account]
		if buc == nil || len(buc.waiters) > 0 {
			continue
		}
		buc.decay(now)
		sha.refill(buc, now)
		tokens := min(ask.Tokens, buc.tokens-buc.demand*cover.Seconds())
		if tokens < leastLoan {
			continue
		}
		buc.tokens -= tokens
		loans = append(loans, loan.Loan{Account: ask.Account, Tokens: tokens})
	}
	return loans
}

// Receive takes in what another host lent for the given askings.
func (sha *Shares) Receive(asks, loans []loan.Loan) {
	sha.mut.Lock()
	defer sha.mut.Unlock()
	now := time.Now()
	got := map[string]float64{}
	for _, loa := range loans {
		got[loa.Account] += loa.Tokens
	}
	for _, ask := range asks {
		buc := sha.buckets[ask.Account]
		if buc == nil {
			continue
		}
		if tokens := got[ask.Account]; tokens > 0 {
			buc.tokens += tokens
			buc.inVain, buc.dry = 0, time.Time{}
			sha.serve(buc, now)
			continue
		}
		if buc.inVain++; buc.inVain >= dryAsks {
			buc.dry = now.Add(dryTime)
		}
	}
}

// part returns this host's part of a rate or a burst.
func (sha *Shares) part(whole float64) float64 {
	if sha.hosts <= 0 {
		return 0
	}
	return whole / float64(sha.hosts)
}

// refill accrues tokens; what was lent to this host beyond its part of the burst stays.
func (sha *Shares) refill(buc *bucket, now time.Time) {
	accrued := sha.part(buc.rate) * now.Sub(buc.filled).Seconds()
	buc.filled = now
	if room := sha.part(buc.burst) - buc.tokens; room > 0 {
		buc.tokens += min(accrued, room)
	}
}

// serve hands tokens to those that wait, in their order.
func (sha *Shares) serve(buc *bucket, now time.Time) {
	sha.refill(buc, now)
	for buc.tokens >= 1 && len(buc.waiters) > 0 {
		buc.tokens--
		close(buc.waiters[0])
		buc.waiters = buc.waiters[1:]
	}
}

// release lets all that wait go on, because the account has no limit any more.
func (buc *bucket) release() {
	for _, turn := range buc.waiters {
		close(turn)
	}
	buc.waiters = nil
}

// note counts one call into the demand.
func (buc *bucket) note(now time.Time) {
	buc.decay(now)
	buc.demand += 1 / demandTime.Seconds()
}

// decay lets the demand fall with time.
func (buc *bucket) decay(now time.Time) {
	past := now.Sub(buc.noted).Seconds() / demandTime.Seconds()
	buc.noted = now
	buc.demand /= 1 + past
}
