package division

import (
	"maps"
	"math"
	"slices"
	"time"

	"flamingoreach/core/divisionrow"
)

const (
	// lowBucket is the share of its burst below which a data centre needs a transfer, fallingBucket the share below which
	// it needs one if its demand exceeds its rate.
	lowBucket     = 0.1
	fallingBucket = 0.4
	// An account counts as exhausted if its demand exceeds overloadFactor times its rate and all its buckets together
	// hold less than the share spareBucket of its burst.
	overloadFactor = 1.1
	spareBucket    = 0.1
	// floorShare is the share of the rate and burst that is divided equally, whatever the demand.
	floorShare = 0.04
	// Each data centre keeps a burst of at least floorBurst calls, or an equal allocation if that is less, and of at least
	// randomArrivalBurst calls, or half of an equal allocation if that is less. If calls arrive at random at half of the
	// allocated rate, only one in a hundred thousand arrives after more than randomArrivalBurst calls for which no token
	// has accrued yet.
	floorBurst         = 2
	randomArrivalBurst = 9
	// minTransfer is the least change of an allocation, as a share of an equal allocation.
	minTransfer = 0.1
)

// view is what a leader knows of one account in all data centres when it plans a transfer.
type view struct {
	own    string
	row    divisionrow.DivisionRow
	names  []string
	states map[string]state
	total  float64
}

// state is the account's state in one data centre.
type state struct {
	demand    float64
	available float64
	// outstanding is known for this data centre only.
	outstanding float64
	short       bool
	reported    bool
}

// transfer is the part of this data centre's allocation, and the tokens, that it gives to another data centre.
type transfer struct {
	recipient string
	rate      float64
	burst     float64
	tokens    uint64
}

// view collects what this leader knows of an account; data centres without a recent digest count as not reported.
func (div *Division) view(ent *entry, now time.Time) view {
	iss := div.issuer
	vie := view{own: div.dataCentre, row: ent.row, states: map[string]state{}}
	for name := range ent.row.Allocations {
		vie.states[name] = state{}
	}
	vie.states[vie.own] = state{
		demand: iss.Demand(ent.account), available: iss.Available(ent.account), outstanding: iss.Outstanding(ent.account),
		reported: true,
	}
	for name, pee := range div.peers {
		if den, ok := pee.entries[ent.account]; ok && now.Sub(pee.receivedAt) <= digestValidity {
			vie.states[name] = state{demand: den.Demand, available: den.Available, short: den.Short, reported: true}
		}
	}
	vie.names = slices.Sorted(maps.Keys(vie.states))
	for _, name := range vie.names {
		vie.total += vie.states[name].demand
	}
	return vie
}

// target returns the share of the rate that a data centre should have: its demand and an equal share of the rate that
// is left, or its share of the total demand if that exceeds the rate. In both cases floorShare is divided equally.
func (vie view) target(name string) float64 {
	equal := 1 / float64(len(vie.names))
	demand := vie.states[name].demand
	if spare := vie.row.Rate*(1-floorShare) - vie.total; spare >= 0 {
		return floorShare*equal + (demand+spare*equal)/vie.row.Rate
	}
	return floorShare*equal + (1-floorShare)*demand/vie.total
}

// targetBurst returns the burst that a data centre should have: the same floor for each, and a part of the rest in
// proportion to its demand.
func (vie view) targetBurst(name string) float64 {
	count := float64(len(vie.names))
	equal := vie.row.Burst / count
	if vie.total <= 0 {
		return equal
	}
	floor := max(floorShare*equal, min(equal, floorBurst), min(equal/2, randomArrivalBurst))
	return floor + (vie.row.Burst-floor*count)*vie.states[name].demand/vie.total
}

// exhausted reports whether the account's demand exceeds overloadFactor times its rate while all its buckets together
// hold less than the share spareBucket of its burst, so that no data centre has tokens to transfer.
func (vie view) exhausted() bool {
	available := 0.0
	for _, name := range vie.names {
		available += vie.states[name].available
	}
	return vie.total > overloadFactor*vie.row.Rate && available < spareBucket*vie.row.Burst
}

// needs reports whether another data centre lacks tokens or may soon lack them; it is false without a recent digest.
func (vie view) needs(name string) bool {
	sta, alc := vie.states[name], vie.row.Allocations[name]
	if name == vie.own || !sta.reported {
		return false
	}
	low := sta.demand > 0 && sta.available < lowBucket*alc.Burst
	falling := sta.demand > alc.Rate && sta.available < fallingBucket*alc.Burst
	return sta.short || low || falling
}

// choose returns the largest transfer, and false if none is large enough for a write.
func (vie view) choose() (transfer, bool) {
	best, bestSize := transfer{}, 0.0
	for _, name := range vie.names {
		if !vie.needs(name) {
			continue
		}
		tra := vie.transfer(name)
		size := tra.rate/vie.row.Rate + (tra.burst+float64(tra.tokens))/vie.row.Burst
		if vie.worthWriting(tra) && size > bestSize {
			best, bestSize = tra, size
		}
	}
	return best, bestSize > 0
}

// transfer returns what brings another data centre to its target, as far as the allocation of this one is above its own
// target. It leaves at least as much burst as the nodes of this data centre hold in tokens, so that the transfer need
// not wait until nodes spend or return tokens.
func (vie view) transfer(name string) transfer {
	own, other := vie.row.Allocations[vie.own], vie.row.Allocations[name]
	tra := transfer{recipient: name}
	tra.rate = gap(own.Rate, vie.target(vie.own)*vie.row.Rate, other.Rate, vie.target(name)*vie.row.Rate)
	tra.burst = gap(own.Burst, vie.targetBurst(vie.own), other.Burst, vie.targetBurst(name))
	tra.burst = min(tra.burst, max(0, own.Burst-vie.states[vie.own].outstanding))
	tra.tokens = vie.tokensToTransfer(name, tra.burst)
	return tra
}

// gap returns how much this data centre's allocation exceeds its target, but no more than the other one is below its
// target.
func gap(own, ownTarget, other, otherTarget float64) float64 {
	return max(0, min(own-ownTarget, otherTarget-other))
}

// tokensToTransfer divides the tokens of both buckets in proportion to the targets. No more tokens than burst are
// transferred, so that the burst by which the donor is lowered covers them until the recipient has them.
func (vie view) tokensToTransfer(name string, burst float64) uint64 {
	mine, theirs := vie.states[vie.own].available, vie.states[name].available
	both := vie.targetBurst(vie.own) + vie.targetBurst(name)
	fair := (mine+theirs)*vie.targetBurst(name)/both - theirs
	return uint64(math.Floor(max(0, min(fair, burst, mine))))
}

// worthWriting reports whether a transfer is large enough for a write of the division row.
func (vie view) worthWriting(tra transfer) bool {
	equal := 1 / float64(len(vie.names))
	return tra.rate >= minTransfer*equal*vie.row.Rate || tra.burst >= minTransfer*equal*vie.row.Burst
}
