package division

import (
	"math"
	"time"

	"flamingoreach/core/lease"
)

const (
	// tableQuiet is the time after the last renewal of the own lease from which no part is given away: the table may be
	// gone, and a part whose write has no answer stays lowered until it is back. It is a renewal's interval and the
	// time after which a failed one is tried again.
	tableQuiet = lease.RenewalInterval + storeRetry
	// usualWindow is the time over which demand counts as usual, usualInterval the least time between two samples.
	usualWindow   = 60 * time.Second
	usualInterval = time.Second
	// driftInterval is the time without a change after which parts move towards the usual demand, driftStep the least such move as
	// a share of an equal part.
	driftInterval = 10 * time.Second
	driftStep     = 0.2
)

// plan starts a change of an account's row if one is due.
func (div *Division) plan(ent *entry, now time.Time) {
	if ent.busy || ent.state != "steady" || !ent.known {
		return
	}
	if ent.row.Rate != ent.enforced.Rate || ent.row.Burst != ent.enforced.Burst {
		ent.attempt = attempt{value: ent.row.Scaled(ent.enforced.Rate, ent.enforced.Burst), expected: ent.revision, started: now}
		ent.fire("change")
		return
	}
	vie := div.view(ent, now)
	ent.exhausted = vie.exhausted()
	div.issuer.SetExhausted(ent.account, ent.exhausted)
	ent.average(vie, now)
	giv, ok := vie.choose()
	if !ok {
		giv, ok = ent.drift(vie, now)
	}
	if !ok || now.Sub(div.RenewedAt()) > tableQuiet || !div.mayMove(now) {
		return
	}
	value := ent.row.Clone()
	own, other := value.Parts[div.dataCentre], value.Parts[giv.taker]
	own.Rate, other.Rate = own.Rate-giv.rate, other.Rate+giv.rate
	own.Burst, other.Burst = own.Burst-giv.burst, other.Burst+giv.burst
	value.Parts[div.dataCentre], value.Parts[giv.taker] = own, other
	ent.attempt = attempt{value: value, expected: ent.revision, taker: giv.taker, tokens: giv.tokens, started: now}
	ent.fire("give")
}

// average follows the demand of all data centres over a long time.
func (ent *entry) average(vie view, now time.Time) {
	elapsed := now.Sub(ent.usualAt)
	if elapsed < usualInterval {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/usualWindow.Seconds())
	if ent.usual == nil {
		ent.usual, weight = map[string]float64{}, 1
	}
	for _, name := range vie.names {
		ent.usual[name] += (vie.states[name].demand - ent.usual[name]) * weight
	}
	ent.usualAt = now
}

// drift gives back, while no data centre is short, what only a passing surge had moved: parts that fit the usual
// demand are what a long time without the table needs.
func (ent *entry) drift(vie view, now time.Time) (gift, bool) {
	if now.Sub(ent.driftAt) < driftInterval {
		return gift{}, false
	}
	ent.driftAt = now
	usual := vie
	usual.states, usual.total = map[string]state{}, 0
	for _, name := range vie.names {
		sta := vie.states[name]
		sta.demand, sta.short = ent.usual[name], sta.heard
		usual.states[name] = sta
		usual.total += sta.demand
	}
	giv, ok := usual.choose()
	coarse := driftStep / float64(len(vie.names))
	return giv, ok && (giv.rate >= coarse*vie.row.Rate || giv.burst >= coarse*vie.row.Burst)
}

// mayMove bounds the writes that this leader makes for the sake of demand.
func (div *Division) mayMove(now time.Time) bool {
	if earliest := now.Add(-moveBurst * moveSpacing); div.movedAt.Before(earliest) {
		div.movedAt = earliest
	}
	if div.movedAt.Add(moveSpacing).After(now) {
		return false
	}
	div.movedAt = div.movedAt.Add(moveSpacing)
	return true
}
