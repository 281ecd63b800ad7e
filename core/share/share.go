package share

import (
	"math"
	"net/netip"
	"time"

	"flamingoreach/core/shareask"
	"flamingoreach/core/sharereply"
	"flamingoreach/core/sharerequest"
	"flamingoreach/core/tokenpool"
)

const (
	// period is the time between two requests when nothing is urgent.
	period = time.Second
	// lowSpacing is the least time between two requests when tokens run low.
	lowSpacing = 200 * time.Millisecond
	// returnSpacing is the least time between two requests when the node holds far more tokens than it needs.
	returnSpacing = 50 * time.Millisecond
	// waitingSpacing is the least time between two requests when calls wait; retrySpacing is the time to the next request
	// when calls still wait after a reply.
	waitingSpacing = 5 * time.Millisecond
	retrySpacing   = 10 * time.Millisecond
	// timeout is how long the node waits for a reply.
	timeout = 500 * time.Millisecond
	// targetHorizon is the time whose demand a node requests tokens for, keepHorizon the time whose demand it keeps tokens
	// for; it returns tokens in excess of that.
	targetHorizon = 500 * time.Millisecond
	keepHorizon   = 800 * time.Millisecond
	// smallSurplus is the number of excess tokens up to which a node does not send a request just to return them.
	smallSurplus = 2
	// sampleInterval is the least time between two samples of demand.
	sampleInterval = 100 * time.Millisecond
	// requestSample is the least age of the last sample of demand at which a request takes a new one.
	requestSample = 20 * time.Millisecond
)

// Share reports a node's tokens to the leader and adds the leader's grants to the token pool.
type Share struct {
	// Send starts sending a request and returns at once; HandleReply or HandleFailure follows, or neither.
	Send func(leader netip.AddrPort, req sharerequest.ShareRequest)
	// Schedule arranges a call of SendIfDue after the given time.
	Schedule func(wait time.Duration)

	node   string
	pool   *tokenpool.Pool
	leader netip.AddrPort
	epoch  uint64

	sequence     uint64
	accepted     uint64
	ledgerNumber uint64
	echo         time.Duration
	// inFlight is the sequence of the request that waits for its reply, or 0.
	inFlight uint64
	sentAt   time.Time
	// urgentAt is when an urgent request is due; zero if none is.
	urgentAt time.Time
	// lowerEpochContact is when the node last sent a request to a leader of a lower epoch, or when the node started.
	lowerEpochContact time.Time
	leaving           bool
	// wakeAt is the time of the call of SendIfDue that was arranged last.
	wakeAt    time.Time
	sampledAt time.Time
	demands   map[string]*demand
}

// New returns a Share for a node of the given ID, which knows no leader yet.
func New(node string, pl *tokenpool.Pool) *Share {
	return &Share{
		Send:     func(netip.AddrPort, sharerequest.ShareRequest) {},
		Schedule: func(time.Duration) {},
		node:     node,
		pool:     pl, sampledAt: time.Now(), lowerEpochContact: time.Now(), demands: map[string]*demand{},
	}
}

// Epoch returns the highest leader epoch that the node knows; replies of lower epochs are ignored.
func (sha *Share) Epoch() uint64 { return sha.epoch }

// SetLeader sets the leader if its epoch is higher than that of any leader before, and does nothing otherwise.
func (sha *Share) SetLeader(epoch uint64, leader netip.AddrPort) {
	if epoch <= sha.epoch {
		return
	}
	sha.epoch, sha.leader = epoch, leader
	if !sha.sentAt.IsZero() {
		sha.lowerEpochContact = sha.sentAt
	}
	sha.echo, sha.inFlight = 0, 0
	sha.urgentAt = time.Now()
	sha.SendIfDue()
}

// ReportLowTokens makes a request due soon, because an account's tokens run low or its calls wait.
func (sha *Share) ReportLowTokens(account string) {
	spacing := lowSpacing
	if sha.pool.Count(account).Waiting > 0 {
		spacing = waitingSpacing
	}
	sha.scheduleUrgent(sha.sentAt.Add(spacing))
	sha.SendIfDue()
}

// Leave returns all tokens to the leader; Left reports when the leader has confirmed that.
func (sha *Share) Leave() {
	sha.leaving = true
	sha.scheduleUrgent(time.Now())
	sha.SendIfDue()
}

// Left reports whether the leader has confirmed the return of all tokens.
func (sha *Share) Left() bool {
	if !sha.leaving {
		return false
	}
	for account, dem := range sha.demands {
		count := sha.pool.Count(account)
		if count.Tokens > 0 || count.Spent != dem.reported.Spent || count.Returned != dem.reported.Returned {
			return false
		}
	}
	return sha.inFlight == 0
}

// Tick samples demand and sends what is due.
func (sha *Share) Tick() {
	sha.sample(sampleInterval)
	for account := range sha.demands {
		if sha.pool.Count(account).Waiting > 0 {
			sha.scheduleUrgent(sha.sentAt.Add(waitingSpacing))
		}
	}
	sha.SendIfDue()
}

// SendIfDue sends the request that is due, if any, unless one is in flight.
func (sha *Share) SendIfDue() {
	now := time.Now()
	if sha.inFlight != 0 && now.Sub(sha.sentAt) < timeout || !sha.leader.IsValid() {
		return
	}
	due := sha.sentAt.Add(period)
	if !sha.urgentAt.IsZero() && sha.urgentAt.Before(due) {
		due = sha.urgentAt
	}
	if now.Before(due) {
		sha.scheduleWake(due, now)
		return
	}
	sha.send(now)
}

// SendEarly sends the next request before its period has passed, so that another message to the leader can go along.
func (sha *Share) SendEarly() {
	now := time.Now()
	if sha.leader.IsValid() && sha.inFlight == 0 && now.Sub(sha.sentAt) >= lowSpacing {
		sha.send(now)
	}
}

// scheduleWake arranges a call of SendIfDue for an urgent request, unless an earlier one is arranged.
func (sha *Share) scheduleWake(due, now time.Time) {
	if sha.urgentAt.IsZero() || sha.wakeAt.After(now) && !sha.wakeAt.After(due) {
		return
	}
	sha.wakeAt = due
	sha.Schedule(due.Sub(now))
}

// HandleReply processes a leader's reply to the request in flight; any other reply is ignored.
func (sha *Share) HandleReply(rep sharereply.ShareReply) {
	if rep.Epoch != sha.epoch || rep.Sequence != sha.inFlight || sha.inFlight == 0 {
		return
	}
	sha.inFlight, sha.echo = 0, rep.Echo
	if rep.NotReady {
		sha.scheduleUrgent(sha.sentAt.Add(lowSpacing))
	} else {
		sha.accept(rep)
	}
	sha.scheduleForWaiting()
	sha.SendIfDue()
}

// HandleFailure is called when a request gets no reply; another one is sent soon.
func (sha *Share) HandleFailure(sequence uint64) {
	if sequence != 0 && sequence == sha.inFlight {
		sha.inFlight = 0
		sha.scheduleUrgent(sha.sentAt.Add(lowSpacing))
		sha.SendIfDue()
	}
}

func (sha *Share) scheduleUrgent(at time.Time) {
	if sha.urgentAt.IsZero() || at.Before(sha.urgentAt) {
		sha.urgentAt = at
	}
}

// accept applies a reply; the expiry of the tokens is counted from the sending of the request.
func (sha *Share) accept(rep sharereply.ShareReply) {
	if rep.Ledger != sha.ledgerNumber {
		sha.startLedger(rep.Ledger)
	} else {
		for _, dem := range sha.demands {
			dem.reported, dem.reportedRate = dem.sent, dem.sentRate
		}
	}
	sha.accepted = rep.Sequence
	expiry := sha.sentAt.Add(rep.TokenValidity)
	sha.pool.Renew(expiry)
	now := time.Now()
	for _, gra := range rep.Grants {
		sha.pool.Grant(gra.Account, gra.Tokens, expiry)
		if gra.Exhausted && gra.Retry > 0 {
			sha.pool.Deny(gra.Account, now.Add(gra.Retry))
		}
	}
}

// startLedger begins the new ledger that the leader keeps for this node: it drops the tokens of the earlier one, which
// the leader has ceased to count after their expiry, and counts spent and returned tokens from 0.
func (sha *Share) startLedger(ledgerNumber uint64) {
	sha.pool.Reset()
	sha.ledgerNumber = ledgerNumber
	for _, dem := range sha.demands {
		dem.reported, dem.reportedRate = dem.sent, dem.sentRate
		dem.reported.Spent, dem.reported.Returned = 0, 0
	}
}

// scheduleForWaiting makes a request due for calls that still wait after a reply.
func (sha *Share) scheduleForWaiting() {
	for account := range sha.demands {
		if sha.pool.Count(account).Waiting > 0 {
			sha.scheduleUrgent(time.Now().Add(retrySpacing))
			return
		}
	}
}

// sample updates the demand of all accounts, unless that was done within the interval. It makes a request due soon if
// an account has many more tokens than the node keeps, so that the rest is returned.
func (sha *Share) sample(interval time.Duration) {
	now := time.Now()
	elapsed := now.Sub(sha.sampledAt)
	if elapsed < interval {
		return
	}
	sha.sampledAt = now
	for _, account := range sha.pool.Accounts() {
		count, dem := sha.pool.Count(account), sha.demand(account)
		dem.sample(count.Attempts, elapsed)
		if count.Tokens > smallSurplus+2*dem.keepTokens() {
			sha.scheduleUrgent(sha.sentAt.Add(returnSpacing))
		}
	}
}

func (sha *Share) demand(account string) *demand {
	dem := sha.demands[account]
	if dem == nil {
		dem = &demand{}
		sha.demands[account] = dem
	}
	return dem
}

func (sha *Share) send(now time.Time) {
	sha.sample(requestSample)
	sha.sequence++
	sha.inFlight, sha.sentAt, sha.urgentAt = sha.sequence, now, time.Time{}
	req := sharerequest.ShareRequest{
		Node: sha.node, Epoch: sha.epoch, Sequence: sha.sequence, Ledger: sha.ledgerNumber,
		Accepted: sha.accepted, Echo: sha.echo, SinceLowerEpoch: now.Sub(sha.lowerEpochContact), Leaving: sha.leaving,
	}
	for _, account := range sha.pool.Accounts() {
		if ask, needed := sha.askFor(account); needed {
			req.Asks = append(req.Asks, ask)
		}
	}
	sha.Send(sha.leader, req)
}

// askFor returns the request's entry for one account and whether the leader needs it.
func (sha *Share) askFor(account string) (shareask.ShareAsk, bool) {
	dem := sha.demand(account)
	rate := dem.rate()
	kept := dem.keepTokens()
	if sha.leaving {
		rate, kept = 0, 0
	}
	sha.pool.ReturnExcess(account, kept)
	count := sha.pool.Count(account)
	dem.sent, dem.sentRate = count, dem.rate()
	ask := shareask.ShareAsk{Account: account, Spent: count.Spent, Returned: count.Returned, Demand: float64(float32(rate))}
	if sha.leaving {
		return ask, true
	}
	ask.Waiting = count.Waiting
	if target := uint64(math.Ceil(rate * targetHorizon.Seconds())); target > count.Tokens {
		ask.Want = target - count.Tokens
	}
	return ask, ask.Waiting > 0 || ask.Want > 0 || dem.unreported(count)
}
