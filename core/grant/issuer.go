package grant

import (
	"maps"
	"slices"
	"time"

	"flamingoreach/core/allocation"
	"flamingoreach/core/shareask"
	"flamingoreach/core/sharegrant"
	"flamingoreach/core/sharereply"
	"flamingoreach/core/sharerequest"
)

const (
	// TokenValidity is how long the tokens of a reply may be spent, counted from the sending of the request.
	TokenValidity = 3 * time.Second
	// ClockMargin is what the leader adds to the expiry of tokens, because the clocks of nodes run at different speeds.
	ClockMargin = 500 * time.Millisecond

	// ledgersPerEpoch is the size of the range of ledger numbers of each epoch, so that no two leaders use the same ones.
	ledgersPerEpoch = 1 << 32
)

// Issuer holds the buckets of a data centre and the ledgers of its nodes.
type Issuer struct {
	// Leads reports whether this node leads at the given time; the clock is read before the call.
	Leads func(now time.Time) bool
	// OnShortage is called with each account that lacks tokens for waiting calls and is not exhausted; it must not block.
	OnShortage func(account string)

	epoch   uint64
	began   time.Time
	opensAt time.Time
	// lastLedger is the number of the ledger that was started last.
	lastLedger uint64
	buckets    map[string]*bucket
	nodes      map[string]*nodeRecord
}

// New returns an issuer without buckets for a leader of the given epoch; it grants nothing before Open.
func New(epoch uint64, began time.Time) *Issuer {
	return &Issuer{
		Leads: func(time.Time) bool { return false }, OnShortage: func(string) {},
		epoch: epoch, began: began, lastLedger: epoch * ledgersPerEpoch,
		buckets: map[string]*bucket{}, nodes: map[string]*nodeRecord{},
	}
}

// Open sets the time from which the leader grants: when all tokens of earlier leaders have expired.
func (iss *Issuer) Open(at time.Time) {
	if !iss.opensAt.IsZero() {
		return
	}
	iss.opensAt = at
	for _, buc := range iss.buckets {
		buc.accruedAt = later(buc.accruedAt, at)
	}
}

// SetAllocation changes the data centre's allocation of an account; a lower one takes effect at once.
func (iss *Issuer) SetAllocation(account string, alc allocation.Allocation) {
	now := time.Now()
	buc := iss.buckets[account]
	if buc == nil {
		iss.buckets[account] = &bucket{allocation: alc, accruedAt: later(now, iss.opensAt)}
		return
	}
	iss.accrue(buc, now)
	buc.allocation = alc
	buc.capToBurst()
}

// RemoveAllocation ends the grants for an account that no longer exists.
func (iss *Issuer) RemoveAllocation(account string) {
	iss.SetAllocation(account, allocation.Allocation{})
}

// WithinBurst reports whether the account's tokens, including those at nodes, are within the burst of its allocation.
func (iss *Issuer) WithinBurst(account string) bool {
	buc := iss.buckets[account]
	return buc == nil || buc.withinBurst()
}

// Withdraw takes up to the given number of available tokens out of the bucket and returns how many.
func (iss *Issuer) Withdraw(account string, tokens uint64) uint64 {
	buc := iss.buckets[account]
	if buc == nil {
		return 0
	}
	iss.accrue(buc, time.Now())
	tokens = min(tokens, uint64(buc.available))
	buc.available -= float64(tokens)
	return tokens
}

// Credit adds tokens that were withdrawn before, here or in another data centre, up to the burst.
func (iss *Issuer) Credit(account string, tokens uint64) {
	buc := iss.buckets[account]
	if buc == nil {
		return
	}
	iss.accrue(buc, time.Now())
	buc.available += float64(tokens)
	buc.capToBurst()
}

// Demand returns the account's demand in the data centre in calls per second.
func (iss *Issuer) Demand(account string) float64 {
	if buc := iss.buckets[account]; buc != nil {
		return buc.demand
	}
	return 0
}

// Available returns the account's tokens that are not granted to any node.
func (iss *Issuer) Available(account string) float64 {
	buc := iss.buckets[account]
	if buc == nil {
		return 0
	}
	iss.accrue(buc, time.Now())
	return buc.available
}

// SetExhausted records whether the account exceeds its rate in all data centres together.
func (iss *Issuer) SetExhausted(account string, exhausted bool) {
	if buc := iss.buckets[account]; buc != nil {
		buc.exhausted = exhausted
	}
}

// Outstanding returns the account's tokens that nodes may still spend.
func (iss *Issuer) Outstanding(account string) float64 {
	if buc := iss.buckets[account]; buc != nil {
		return float64(buc.outstanding)
	}
	return 0
}

// TotalTokens returns the sum of the account's available and outstanding tokens.
func (iss *Issuer) TotalTokens(account string) float64 {
	if buc := iss.buckets[account]; buc != nil {
		return iss.Available(account) + float64(buc.outstanding)
	}
	return 0
}

// PollShortage reports whether calls waited for tokens that the bucket did not have, and clears this mark.
func (iss *Issuer) PollShortage(account string) bool {
	buc := iss.buckets[account]
	if buc == nil {
		return false
	}
	short := buc.shortage
	buc.shortage = false
	return short
}

// Tick drops the ledgers of nodes that have been silent for longer than their tokens are valid.
func (iss *Issuer) Tick() {
	now := time.Now()
	for _, name := range slices.Sorted(maps.Keys(iss.nodes)) {
		rec := iss.nodes[name]
		if now.After(rec.expiry) {
			iss.dropOutstanding(rec, now)
			delete(iss.nodes, name)
		}
	}
}

// Handle answers a request. It reports false if there must be no reply: the node knows a later leader, has sent a later
// request, or may still spend tokens of another ledger.
func (iss *Issuer) Handle(req sharerequest.ShareRequest) (sharereply.ShareReply, bool) {
	now := time.Now()
	if req.Epoch > iss.epoch {
		return sharereply.ShareReply{}, false
	}
	rep := sharereply.ShareReply{Epoch: iss.epoch, Sequence: req.Sequence, Echo: now.Sub(iss.began), TokenValidity: TokenValidity}
	if !iss.Leads(now) || iss.opensAt.IsZero() || now.Before(iss.opensAt) || req.Epoch < iss.epoch {
		rep.NotReady = true
		return rep, true
	}
	rec := iss.nodes[req.Node]
	if rec != nil && req.Sequence <= rec.sequence {
		return rec.reply, req.Sequence == rec.sequence
	}
	rec, ok := iss.recordOf(req, rec, now)
	if !ok {
		return sharereply.ShareReply{}, false
	}
	rec.sequence, rec.expiry = req.Sequence, now.Add(TokenValidity+ClockMargin)
	rep.Ledger = rec.ledgerNumber
	for _, ask := range req.Asks {
		iss.applyReport(rec, ask, now)
	}
	if !req.Leaving {
		rep.Grants = iss.grants(rec, req.Asks)
	}
	rec.reply = rep
	iss.notifyShortage(rep.Grants)
	return rep, true
}

func (iss *Issuer) notifyShortage(grants []sharegrant.ShareGrant) {
	for _, gra := range grants {
		if gra.Retry > 0 && !gra.Exhausted {
			iss.OnShortage(gra.Account)
		}
	}
}

// recordOf settles the tokens of the last reply and returns the node's record if the request belongs to its ledger, or
// a new record with a new ledger. It reports false while the node may still spend tokens of the former ledger.
func (iss *Issuer) recordOf(req sharerequest.ShareRequest, rec *nodeRecord, now time.Time) (*nodeRecord, bool) {
	if rec != nil {
		iss.settlePending(rec, req.Accepted == rec.sequence, now)
	}
	if rec != nil && rec.ledgerNumber == req.Ledger {
		return rec, true
	}
	if rec != nil && rec.holdsTokens() {
		return nil, false
	}
	if rec != nil {
		iss.dropOutstanding(rec, now)
	}
	iss.lastLedger++
	rec = &nodeRecord{ledgerNumber: iss.lastLedger, holdings: map[string]*holding{}}
	iss.nodes[req.Node] = rec
	return rec, true
}

func (rec *nodeRecord) holdsTokens() bool {
	for _, hdg := range rec.holdings {
		if hdg.accepted > 0 {
			return true
		}
	}
	return false
}

// settlePending counts the tokens of the last reply as accepted, or takes them back if the node gave up waiting for it.
func (iss *Issuer) settlePending(rec *nodeRecord, accepted bool, now time.Time) {
	for account, hdg := range rec.holdings {
		if hdg.pending == 0 {
			continue
		}
		if accepted {
			hdg.accepted += hdg.pending
		} else {
			buc := iss.buckets[account]
			iss.accrue(buc, now)
			buc.outstanding -= hdg.pending
			buc.available += float64(hdg.pending)
			buc.capToBurst()
		}
		hdg.pending = 0
	}
}

func (iss *Issuer) applyReport(rec *nodeRecord, ask shareask.ShareAsk, now time.Time) {
	buc := iss.buckets[ask.Account]
	if buc == nil {
		return
	}
	iss.accrue(buc, now)
	hdg := rec.holdings[ask.Account]
	if hdg == nil {
		hdg = &holding{}
		rec.holdings[ask.Account] = hdg
	}
	spent, returned := hdg.settle(ask)
	buc.outstanding -= spent + returned
	buc.available += float64(returned)
	buc.capToBurst()
	buc.demand = max(0, buc.demand+ask.Demand-hdg.demand)
	hdg.demand = ask.Demand
}

func (iss *Issuer) grants(rec *nodeRecord, asks []shareask.ShareAsk) []sharegrant.ShareGrant {
	var grants []sharegrant.ShareGrant
	for _, ask := range asks {
		buc := iss.buckets[ask.Account]
		if buc == nil || ask.Want+ask.Waiting == 0 {
			continue
		}
		hdg := rec.holdings[ask.Account]
		tokens := buc.grantSize(hdg, ask)
		hdg.pending += tokens
		buc.outstanding += tokens
		buc.available -= float64(tokens)
		gra := sharegrant.ShareGrant{Account: ask.Account, Tokens: tokens}
		if tokens < ask.Waiting {
			gra.Retry, gra.Exhausted = buc.retryAfter(ask), buc.exhausted
			buc.shortage = true
		}
		if tokens > 0 || gra.Retry > 0 {
			grants = append(grants, gra)
		}
	}
	return grants
}

// dropOutstanding removes a node's tokens and demand from the buckets when its ledger ends: because the node has been
// silent until all its tokens expired, or because it has started another ledger and holds no tokens of this one. The
// tokens do not become available again, because the node may have spent them without reporting it.
func (iss *Issuer) dropOutstanding(rec *nodeRecord, now time.Time) {
	for account, hdg := range rec.holdings {
		buc := iss.buckets[account]
		iss.accrue(buc, now)
		buc.outstanding -= hdg.outstanding()
		buc.demand = max(0, buc.demand-hdg.demand)
	}
}

// accrue adds the tokens that the bucket's rate has yielded since the last call, up to the burst. Before the time from
// which the leader grants, it adds nothing.
func (iss *Issuer) accrue(buc *bucket, now time.Time) {
	if iss.opensAt.IsZero() || now.Before(buc.accruedAt) {
		return
	}
	buc.accrue(now)
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}
