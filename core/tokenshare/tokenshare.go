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
	"flamingoreach/core/tokenshare/hostswait"
	"flamingoreach/core/tokenshare/loan"
)

const (
	// borrowWait is how long a call waits for borrowed tokens; hosts request loans at each control tick.
	borrowWait = 150 * time.Millisecond
	// coverTime is the time within which a host could borrow tokens back: it lends only those that it does not expect
	// to need itself within this time.
	coverTime = 300 * time.Millisecond
	// maxFailedRequests is the number of consecutive loan requests without a loan after which calls do not wait but are
	// refused at once, for refusalTime.
	maxFailedRequests = 4
	refusalTime       = 300 * time.Millisecond
	// demandTime is the time over which the demand is averaged.
	demandTime = time.Second
	// holdersAtOnce is the number of holders among which a loan request is divided, as one may have lent all its tokens.
	holdersAtOnce = 2
	// idleTime is how long a host keeps a borrowed token without a call. Tokens that a host drops are lost to the
	// account, and tokens that all hosts keep come on top of its burst.
	idleTime = 3 * time.Second
	// maxWaiting bounds the calls of one account that wait for tokens.
	maxWaiting = 64
	// retryAfter is the time after which a refused call may find a token: most bursts allow one second's calls at once.
	retryAfter = time.Second
	// unavailableRetryAfter is the time after which this host may know the account's tokens.
	unavailableRetryAfter = 300 * time.Millisecond
	// minHolderTokens is the least part of an account's burst at one holder.
	minHolderTokens = 4
)

// Shares holds the tokens of one host; it is safe for concurrent use.
type Shares struct {
	// OnCallWaits, if set, is called when a call begins to wait for tokens; it must not block.
	OnCallWaits func()

	// hostsWait ends once the hosts are known.
	hostsWait *hostswait.Wait

	mut     sync.Mutex
	self    netip.AddrPort
	hosts   []netip.AddrPort
	buckets map[string]*bucket
}

// bucket holds one account's tokens.
type bucket struct {
	rate, burst float64
	// holders are the hosts at which the account's tokens accrue; isHolder says whether this host is one of them.
	holders    []netip.AddrPort
	isHolder   bool
	tokens     float64
	refilledAt time.Time
	// demand is the moving average of calls per second as of demandAt.
	demand   float64
	demandAt time.Time
	// lastCall is when the last call arrived.
	lastCall time.Time
	// failedRequests counts the consecutive loan requests without a loan; calls are refused at once before noTokensBefore.
	failedRequests int
	noTokensBefore time.Time
	// answered is set once a holder has answered a loan request, with or without a loan. Before that, a host that holds no
	// part of the rate does not know whether the account exceeds it.
	answered bool
	waiters  []chan struct{}
}

// New returns shares without accounts, which accrue nothing before the hosts are known.
func New(self netip.AddrPort) *Shares {
	return &Shares{self: self, hostsWait: hostswait.New(), buckets: map[string]*bucket{}}
}

// Configure sets the accounts of a new configuration version; those without a rate are not limited.
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
			buc = &bucket{refilledAt: now, demandAt: now}
		}
		buc.refill(now)
		// All hosts together hold the former burst at most, and so the new one, if each reduces its tokens by the same factor.
		if acc.Burst < buc.burst {
			buc.tokens *= acc.Burst / buc.burst
		}
		buc.rate, buc.burst = acc.Rate, acc.Burst
		buc.chooseHolders(acc.Name, sha.hosts, sha.self)
		kept[acc.Name] = buc
	}
	for name, buc := range sha.buckets {
		if kept[name] == nil {
			buc.release()
		}
	}
	sha.buckets = kept
}

// SetHosts sets the hosts, in a fixed order, among which the rates are divided.
func (sha *Shares) SetHosts(hosts []netip.AddrPort) {
	sha.mut.Lock()
	defer sha.mut.Unlock()
	if slices.Equal(hosts, sha.hosts) {
		return
	}
	now := time.Now()
	sha.hostsWait.End()
	sha.hosts = hosts
	for name, buc := range sha.buckets {
		buc.refill(now)
		buc.chooseHolders(name, hosts, sha.self)
	}
}

// Take takes one token of an account; if there is none, it waits up to borrowWait for a borrowed one. It refuses a call as
// beyond the rate only if this host can know that it is.
func (sha *Shares) Take(ctx context.Context, account string) *refusal.Refusal {
	if sha.limitsUnknown(account) && !sha.hostsWait.Await(ctx) {
		return unavailable()
	}
	sha.mut.Lock()
	now := time.Now()
	buc := sha.buckets[account]
	if buc == nil {
		sha.mut.Unlock()
		return nil
	}
	buc.recordCall(now)
	buc.refill(now)
	if buc.tokens >= 1 && len(buc.waiters) == 0 {
		buc.tokens--
		sha.mut.Unlock()
		return nil
	}
	if now.Before(buc.noTokensBefore) || len(buc.waiters) >= maxWaiting {
		defer sha.mut.Unlock()
		return buc.refuse()
	}
	granted := make(chan struct{})
	buc.waiters = append(buc.waiters, granted)
	sha.mut.Unlock()
	if sha.OnCallWaits != nil {
		sha.OnCallWaits()
	}
	timer := time.NewTimer(borrowWait)
	defer timer.Stop()
	select {
	case <-granted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return sha.abandonWait(buc, granted)
}

// limitsUnknown reports whether an account has a rate and the hosts among which it is divided are not known yet.
func (sha *Shares) limitsUnknown(account string) bool {
	if sha.hostsWait.Over() {
		return false
	}
	sha.mut.Lock()
	defer sha.mut.Unlock()
	return sha.buckets[account] != nil
}

// abandonWait removes a waiter, unless it has got its token in the meantime.
func (sha *Shares) abandonWait(buc *bucket, granted chan struct{}) *refusal.Refusal {
	sha.mut.Lock()
	defer sha.mut.Unlock()
	buc.serve(time.Now())
	for index, other := range buc.waiters {
		if other == granted {
			buc.waiters = append(buc.waiters[:index], buc.waiters[index+1:]...)
			return buc.refuse()
		}
	}
	return nil
}

// refuse returns the refusal of a call for which there is no token.
func (buc *bucket) refuse() *refusal.Refusal {
	if !buc.isHolder && !buc.answered {
		return unavailable()
	}
	ref := refusal.NotRun(reason.RateExceeded, "take token")
	ref.RetryAfter = retryAfter
	return ref
}

// unavailable returns the refusal of a call while this host does not know the account's tokens.
func unavailable() *refusal.Refusal {
	ref := refusal.NotRun(reason.ShareUnavailable, "take token")
	ref.RetryAfter = unavailableRetryAfter
	return ref
}

// LoanRequests returns the loans that this host should request, by the host to ask; it also serves waiting calls.
func (sha *Shares) LoanRequests() map[netip.AddrPort][]loan.Loan {
	sha.mut.Lock()
	defer sha.mut.Unlock()
	now := time.Now()
	wants := map[netip.AddrPort][]loan.Loan{}
	for name, buc := range sha.buckets {
		buc.decay(now)
		buc.serve(now)
		tokens := math.Ceil(buc.targetTokens() - buc.tokens)
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

// Lend removes those of the requested tokens that this host does not need itself from its buckets, and returns them.
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
		// A fraction of a token would be idle at the borrower, as it admits no call.
		tokens := math.Floor(min(ask.Tokens, buc.tokens-buc.need()))
		if tokens < 1 {
			continue
		}
		buc.tokens -= tokens
		loans = append(loans, loan.Loan{Account: ask.Account, Tokens: tokens})
	}
	return loans
}

// Receive adds the tokens that another host lent for the given loan requests.
func (sha *Shares) Receive(asks, loans []loan.Loan) {
	sha.mut.Lock()
	defer sha.mut.Unlock()
	now := time.Now()
	lent := map[string]float64{}
	for _, loa := range loans {
		lent[loa.Account] += loa.Tokens
	}
	for _, ask := range asks {
		buc := sha.buckets[ask.Account]
		if buc == nil {
			continue
		}
		buc.answered = true
		if tokens := lent[ask.Account]; tokens > 0 {
			buc.tokens += tokens
			buc.failedRequests, buc.noTokensBefore = 0, time.Time{}
			buc.serve(now)
			continue
		}
		if buc.failedRequests++; buc.failedRequests >= maxFailedRequests {
			buc.noTokensBefore = now.Add(refusalTime)
		}
	}
}

// chooseHolders chooses the holders of an account by rendezvous hashing. Their number is limited so
// that each holds several tokens, because a fraction of a token admits no call.
func (buc *bucket) chooseHolders(account string, hosts []netip.AddrPort, self netip.AddrPort) {
	count := min(max(int(buc.burst/minHolderTokens), 1), len(hosts))
	type weighted struct {
		host   netip.AddrPort
		weight uint64
	}
	order := make([]weighted, 0, len(hosts))
	for _, host := range hosts {
		order = append(order, weighted{host, xxhash.Sum64String(account + "\x00" + host.String())})
	}
	slices.SortFunc(order, func(wei, other weighted) int { return cmp.Compare(wei.weight, other.weight) })
	buc.holders, buc.isHolder = make([]netip.AddrPort, 0, count), false
	for _, wei := range order[:count] {
		buc.holders = append(buc.holders, wei.host)
		buc.isHolder = buc.isHolder || wei.host == self
	}
}

// otherHolders returns a random holder other than this host, and the next ones too if several tokens are requested.
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

// need returns the number of tokens for the host's own demand until it could borrow more.
func (buc *bucket) need() float64 { return buc.demand*coverTime.Seconds() + float64(len(buc.waiters)) }

// targetTokens returns the number of tokens up to which a host borrows: those for twice coverTime of its demand, so that
// it need not borrow for each call, and one for each waiting call. It is 0 if calls are rare and none waits, so that all
// hosts together hold little more than the burst.
func (buc *bucket) targetTokens() float64 {
	return math.Floor(2*buc.demand*coverTime.Seconds()) + float64(len(buc.waiters))
}

// refill accrues tokens at a holder; a holder keeps borrowed tokens beyond its part of the burst. Other hosts drop
// borrowed tokens that they no longer need.
func (buc *bucket) refill(now time.Time) {
	elapsed := now.Sub(buc.refilledAt).Seconds()
	buc.refilledAt = now
	if !buc.isHolder {
		most := buc.need()
		if now.Sub(buc.lastCall) < idleTime {
			most = max(2*most, 1)
		}
		buc.tokens = min(buc.tokens, most)
		return
	}
	fraction := 1 / float64(len(buc.holders))
	if room := buc.burst*fraction - buc.tokens; room > 0 {
		buc.tokens += min(buc.rate*fraction*elapsed, room)
	}
}

// serve gives tokens to the waiting calls in the order of their arrival.
func (buc *bucket) serve(now time.Time) {
	buc.refill(now)
	for buc.tokens >= 1 && len(buc.waiters) > 0 {
		buc.tokens--
		close(buc.waiters[0])
		buc.waiters = buc.waiters[1:]
	}
}

// release lets all waiting calls proceed, because the account is no longer limited.
func (buc *bucket) release() {
	for _, granted := range buc.waiters {
		close(granted)
	}
	buc.waiters = nil
}

// recordCall adds one call to the demand.
func (buc *bucket) recordCall(now time.Time) {
	buc.decay(now)
	buc.lastCall = now
	buc.demand += 1 / demandTime.Seconds()
}

// decay reduces the demand for the time that has passed.
func (buc *bucket) decay(now time.Time) {
	elapsed := now.Sub(buc.demandAt).Seconds() / demandTime.Seconds()
	buc.demandAt = now
	buc.demand /= 1 + elapsed
}
