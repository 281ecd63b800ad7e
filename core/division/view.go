package division

import (
	"maps"
	"math"
	"slices"
	"time"

	"flamingoreach/core/divisionrow"
)

const (
	// lowBucket is the share of its burst below which a data centre takes more, fallingBucket the share below which
	// it does if its demand exceeds its rate.
	lowBucket     = 0.1
	fallingBucket = 0.4
	// overload is the multiple of an account's rate from which its demand counts as beyond what it may have, if all
	// buckets together are below the share spareBucket of its burst.
	overload    = 1.1
	spareBucket = 0.1
	// floorShare is the share of the whole that is kept for equal parts without any demand.
	floorShare = 0.04
	// floorBurst, in calls, is kept for each data centre as far as equal parts go, and quietBurst as far as half of an
	// equal part goes: where calls come at random and at half of the part's rate, one in a hundred thousand finds more
	// calls than that before it that no token has accrued for.
	floorBurst = 2
	quietBurst = 9
	// minStep is the least change of a part, as a share of an equal part.
	minStep = 0.1
)

// view is what a leader knows of one account in all data centres when it decides.
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
	// outstanding is known of the own data centre only.
	outstanding float64
	short       bool
	heard       bool
}

// gift is what the own data centre passes on.
type gift struct {
	taker  string
	rate   float64
	burst  float64
	tokens uint64
}

func (div *Division) view(ent *entry, now time.Time) view {
	iss := div.issuer
	vie := view{own: div.dataCentre, row: ent.row, states: map[string]state{}}
	for name := range ent.row.Parts {
		vie.states[name] = state{}
	}
	vie.states[vie.own] = state{
		demand: iss.Demand(ent.account), available: iss.Available(ent.account), outstanding: iss.Outstanding(ent.account),
		heard: true,
	}
	for name, pee := range div.peers {
		if den, ok := pee.entries[ent.account]; ok && now.Sub(pee.heardAt) <= digestLife {
			vie.states[name] = state{demand: den.Demand, available: den.Available, short: den.Short, heard: true}
		}
	}
	vie.names = slices.Sorted(maps.Keys(vie.states))
	for _, name := range vie.names {
		vie.total += vie.states[name].demand
	}
	return vie
}

// target is the share of the rate that a data centre is meant to have: its demand and an equal part of what all
// demand leaves over, or its part of the demand if that exceeds the rate.
func (vie view) target(name string) float64 {
	equal := 1 / float64(len(vie.names))
	demand := vie.states[name].demand
	if spare := vie.row.Rate*(1-floorShare) - vie.total; spare >= 0 {
		return floorShare*equal + (demand+spare*equal)/vie.row.Rate
	}
	return floorShare*equal + (1-floorShare)*demand/vie.total
}

// targetBurst is the burst that a data centre is meant to have.
func (vie view) targetBurst(name string) float64 {
	count := float64(len(vie.names))
	equal := vie.row.Burst / count
	if vie.total <= 0 {
		return equal
	}
	floor := max(floorShare*equal, min(equal, floorBurst), min(equal/2, quietBurst))
	return floor + (vie.row.Burst-floor*count)*vie.states[name].demand/vie.total
}

// exhausted reports whether no data centre has tokens to give to calls that wait, nor will have soon.
func (vie view) exhausted() bool {
	available := 0.0
	for _, name := range vie.names {
		available += vie.states[name].available
	}
	return vie.total > overload*vie.row.Rate && available < spareBucket*vie.row.Burst
}

// needs reports whether a data centre may soon lack tokens.
func (vie view) needs(name string) bool {
	sta, par := vie.states[name], vie.row.Parts[name]
	if name == vie.own || !sta.heard {
		return false
	}
	low := sta.demand > 0 && sta.available < lowBucket*par.Burst
	falling := sta.demand > par.Rate && sta.available < fallingBucket*par.Burst
	return sta.short || low || falling
}

// choose returns the greatest gift that is worth a write.
func (vie view) choose() (gift, bool) {
	best, worth := gift{}, 0.0
	for _, name := range vie.names {
		if !vie.needs(name) {
			continue
		}
		giv := vie.gift(name)
		size := giv.rate/vie.row.Rate + (giv.burst+float64(giv.tokens))/vie.row.Burst
		if vie.worthy(giv) && size > worth {
			best, worth = giv, size
		}
	}
	return best, worth > 0
}

// gift closes the gap of a data centre as far as the own part is above its target. No more burst is given than
// the tokens at nodes leave, so that nothing has to be waited for.
func (vie view) gift(name string) gift {
	own, other := vie.row.Parts[vie.own], vie.row.Parts[name]
	giv := gift{taker: name}
	giv.rate = gap(own.Rate, vie.target(vie.own)*vie.row.Rate, other.Rate, vie.target(name)*vie.row.Rate)
	giv.burst = gap(own.Burst, vie.targetBurst(vie.own), other.Burst, vie.targetBurst(name))
	giv.burst = min(giv.burst, max(0, own.Burst-vie.states[vie.own].outstanding))
	giv.tokens = vie.tokens(name, giv.burst)
	return giv
}

// gap is what the own part can give and the other needs to reach their targets.
func gap(own, ownTarget, other, otherTarget float64) float64 {
	return max(0, min(own-ownTarget, otherTarget-other))
}

// tokens shares out the tokens of both buckets by target. No more tokens than burst are passed on: the burst that
// the giver lacks from now on covers them until the taker has them.
func (vie view) tokens(name string, burst float64) uint64 {
	mine, theirs := vie.states[vie.own].available, vie.states[name].available
	both := vie.targetBurst(vie.own) + vie.targetBurst(name)
	fair := (mine+theirs)*vie.targetBurst(name)/both - theirs
	return uint64(math.Floor(max(0, min(fair, burst, mine))))
}

func (vie view) worthy(giv gift) bool {
	equal := 1 / float64(len(vie.names))
	return giv.rate >= minStep*equal*vie.row.Rate || giv.burst >= minStep*equal*vie.row.Burst
}
