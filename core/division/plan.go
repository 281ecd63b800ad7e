package division

import (
	"math"
	"time"

	"flamingoreach/core/lease"
)

const (
	// maxRenewalAge is the time since the last renewal of this node's lease after which nothing is transferred: the
	// table may be unavailable, and an allocation whose write has no answer stays lowered until the table answers
	// again. It is a renewal's interval plus the time after which a failed one is tried again.
	maxRenewalAge = lease.RenewalInterval + storeRetry
	// averageWindow is the time constant of the average demand, averageInterval the least time between two samples.
	averageWindow   = 60 * time.Second
	averageInterval = time.Second
	// rebalanceInterval is the time without a change of the row after which allocations are adapted to the average demand,
	// minRebalance the least such transfer as a share of an equal allocation.
	rebalanceInterval = 10 * time.Second
	minRebalance      = 0.2
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
	ent.updateAverage(vie, now)
	tra, ok := vie.choose()
	if !ok {
		tra, ok = ent.rebalance(vie, now)
	}
	if !ok || now.Sub(div.RenewedAt()) > maxRenewalAge || !div.allowTransfer(now) {
		return
	}
	value := ent.row.Clone()
	own, other := value.Allocations[div.dataCentre], value.Allocations[tra.recipient]
	own.Rate, other.Rate = own.Rate-tra.rate, other.Rate+tra.rate
	own.Burst, other.Burst = own.Burst-tra.burst, other.Burst+tra.burst
	value.Allocations[div.dataCentre], value.Allocations[tra.recipient] = own, other
	ent.attempt = attempt{value: value, expected: ent.revision, recipient: tra.recipient, tokens: tra.tokens, started: now}
	ent.fire("give")
}

// updateAverage updates the exponentially weighted average demand of all data centres.
func (ent *entry) updateAverage(vie view, now time.Time) {
	elapsed := now.Sub(ent.averagedAt)
	if elapsed < averageInterval {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/averageWindow.Seconds())
	if ent.averageDemand == nil {
		ent.averageDemand, weight = map[string]float64{}, 1
	}
	for _, name := range vie.names {
		ent.averageDemand[name] += (vie.states[name].demand - ent.averageDemand[name]) * weight
	}
	ent.averagedAt = now
}

// rebalance returns, while no transfer is needed at once, a transfer that undoes those of a short surge. Allocations that
// fit the average demand serve best if the table is then unavailable for a long time.
func (ent *entry) rebalance(vie view, now time.Time) (transfer, bool) {
	if now.Sub(ent.rebalancedAt) < rebalanceInterval {
		return transfer{}, false
	}
	ent.rebalancedAt = now
	average := vie
	average.states, average.total = map[string]state{}, 0
	for _, name := range vie.names {
		sta := vie.states[name]
		sta.demand, sta.short = ent.averageDemand[name], sta.reported
		average.states[name] = sta
		average.total += sta.demand
	}
	tra, ok := average.choose()
	least := minRebalance / float64(len(vie.names))
	return tra, ok && (tra.rate >= least*vie.row.Rate || tra.burst >= least*vie.row.Burst)
}

// allowTransfer limits the rate of this leader's writes for transfers.
func (div *Division) allowTransfer(now time.Time) bool {
	if earliest := now.Add(-transferBurst * transferSpacing); div.transferSlotAt.Before(earliest) {
		div.transferSlotAt = earliest
	}
	if div.transferSlotAt.Add(transferSpacing).After(now) {
		return false
	}
	div.transferSlotAt = div.transferSlotAt.Add(transferSpacing)
	return true
}
