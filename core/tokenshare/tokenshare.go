package tokenshare

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// holdersAtOnce is the number of holders among which an asking is divided, as one may have lent all that it had.
	holdersAtOnce = 2
	// idleTime is how long a host keeps a borrowed token without a call. Tokens that are given up are lost to the account,
	// and tokens that are kept at all hosts come on top of its burst.
	idleTime = 3 * time.Second
	// maxWaiting bounds the calls of one account that wait for tokens.
	maxWaiting = 64
	// comeBack is the time after which a refused call may find a token: most bursts allow one second's calls at once.
	comeBack = time.Second
	// holderTokens is the least part of a burst that one holder keeps.
	holderTokens = 4
)

// Shares holds the tokens of one host; it is safe for concurrent use.
type Shares struct {
	// Low, if set, is told that a call waits for tokens; it must not block.
	Low func()

	mut     sync.Mutex
	self    netip.AddrPort
	hosts   []netip.AddrPort
	buckets map[string]*bucket
}

// bucket holds one account's tokens.
type bucket struct {
	rate, burst float64
	// holders are the hosts at which the account's tokens accrue; holds says whether this is one of them.
	holders []netip.AddrPort
	holds   bool
	tokens  float64
	filled  time.Time
	// demand is the moving average of calls per second, counted up to noted.
	demand float64
	noted  time.Time
	// called is when the last call came.
	called time.Time
	// inVain counts the askings in a row that brought nothing; calls are refused at once until dry.
	inVain  int
	dry     time.Time
	waiters []chan struct{}
}

// New returns shares without accounts, which accrue nothing before the hosts are known.
func New(self netip.AddrPort) *Shares {
	return &Shares{self: self, buckets: map[string]*bucket{}}
}

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
		buc.refill(now)
		buc.rate, buc.burst = acc.Rate, acc.Burst
		buc.tokens = min(buc.tokens, buc.burst)
		buc.place(acc.Name, sha.hosts, sha.self)
		kept[acc.Name] = buc
	}
	for name, buc := range sha.buckets {
		if kept[name] == nil {
			buc.release()
		}
	}
	sha.buckets = kept
}

// SetHosts tells among which hosts, in a fixed order, the rates are divided.
func (sha *Shares) SetHosts(hosts []netip.AddrPort) {
	sha.mut.Lock()
	defer sha.mut.Unlock()
	if slices.Equal(hosts, sha.hosts) {
		return
	}
	now := time.Now()
	sha.hosts = hosts
	for name, buc := range sha.buckets {
		buc.refill(now)
		buc.place(name, hosts, sha.self)
	}
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
	buc.refill(now)
	if buc.tokens >= 1 && len(buc.waiters) == 0 {
		buc.tokens--
		sha.mut.Unlock()
		return nil
	}
	if now.Before(buc.dry) || len(buc.waiters) >= maxWaiting {
		defer sha.mut.Unlock()
		return exceeded()
	}
	turn := make(chan struct{})
	buc.waiters = append(buc.waiters, turn)
	sha.mut.Unlock()
	if sha.Low != nil {
		sha.Low()
	}
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
	buc.serve(time.Now())
	for index, other := range buc.waiters {
		if other == turn {
			buc.waiters = append(buc.waiters[:index], buc.waiters[index+1:]...)
			return exceeded()
		}
	}
	return nil
}

func exceeded() *refusal.Refusal {
	ref := refusal.NotRun(reason.RateExceeded, "take token")
	ref.RetryAfter = comeBack
	return ref
}

// Wants lists the tokens that this host should ask of others, by the host to ask; it also serves those that wait.
func (sha *Shares) Wants() map[netip.AddrPort][]loan.Loan {
	sha.mut.Lock()
	defer sha.mut.Unlock()
	now := time.Now()
	wants := map[netip.AddrPort][]loan.Loan{}
	for name, buc := range sha.buckets {
		buc.decay(now)
		buc.serve(now)
		tokens := math.Ceil(buc.stock() - buc.tokens)
		if buc.tokens >= buc.need() || tokens < 1 {
			continue
		}
		holders := buc.otherHolders(sha.self, int(tokens))
		for _, holder := range holders {
			wants[holder] = append(wants[holder], loan.Loan{Account: name, Tokens: math.Ceil(tokens / float64(len(holders)))})
		}
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
		buc.refill(now)
		// A part of a token would idle where it is lent to, and nobody could use it.
		tokens := math.Floor(min(ask.Tokens, buc.tokens-buc.need()))
		if tokens < 1 {
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
			buc.serve(now)
			continue
		}
		if buc.inVain++; buc.inVain >= dryAsks {
			buc.dry = now.Add(dryTime)
		}
	}
}

// place chooses the holders of an account by rendezvous hashing. There are as few as let each hold several tokens:
// fractions of a token are of use to nobody.
func (buc *bucket) place(account string, hosts []netip.AddrPort, self netip.AddrPort) {
	count := min(max(int(buc.burst/holderTokens), 1), len(hosts))
	type weighted struct {
		host   netip.AddrPort
		weight uint64
	}
	order := make([]weighted, 0, len(hosts))
	for _, host := range hosts {
		order = append(order, weighted{host, xxhash.Sum64String(account + "\x00" + host.String())})
	}
	slices.SortFunc(order, func(wei, other weighted) int { return cmp.Compare(wei.weight, other.weight) })
	buc.holders, buc.holds = make([]netip.AddrPort, 0, count), false
	for _, wei := range order[:count] {
		buc.holders = append(buc.holders, wei.host)
		buc.holds = buc.holds || wei.host == self
	}
}

// otherHolders returns a random holder other than this host, and the next ones too where several tokens are asked for.
func (buc *bucket) otherHolders(self netip.AddrPort, tokens int) []netip.AddrPort {
	count, most := len(buc.holders), min(tokens, holdersAtOnce)
	var chosen []netip.AddrPort
	offset := rand.IntN(max(count, 1))
	for index := 0; index < count && len(chosen) < most; index++ {
		if holder := buc.holders[(offset+index)%count]; holder != self {
			chosen = append(chosen, holder)
		}
	}
	return chosen
}

// need is the number of tokens for the own demand until more could be borrowed.
func (buc *bucket) need() float64 { return buc.demand*cover.Seconds() + float64(len(buc.waiters)) }

// stock is the number of tokens that a host keeps, so that it need not borrow for each call. It is none where calls are
// rare: all hosts together hold little more than the burst.
func (buc *bucket) stock() float64 {
	return math.Floor(2*buc.demand*cover.Seconds()) + float64(len(buc.waiters))
}

// refill accrues tokens at a holder; what was lent to it beyond its part of the burst stays. Other hosts give up
// borrowed tokens that they do not need any more.
func (buc *bucket) refill(now time.Time) {
	past := now.Sub(buc.filled).Seconds()
	buc.filled = now
	if !buc.holds {
		most := buc.need()
		if now.Sub(buc.called) < idleTime {
			most = max(2*most, 1)
		}
		buc.tokens = min(buc.tokens, most)
		return
	}
	part := 1 / float64(len(buc.holders))
	if room := buc.burst*part - buc.tokens; room > 0 {
		buc.tokens += min(buc.rate*part*past, room)
	}
}

// serve hands tokens to those that wait, in their order.
func (buc *bucket) serve(now time.Time) {
	buc.refill(now)
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
	buc.called = now
	buc.demand += 1 / demandTime.Seconds()
}

// decay lets the demand fall with time.
func (buc *bucket) decay(now time.Time) {
	past := now.Sub(buc.noted).Seconds() / demandTime.Seconds()
	buc.noted = now
	buc.demand /= 1 + past
}
