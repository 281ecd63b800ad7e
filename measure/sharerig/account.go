package sharerig

import (
	"context"
	"sort"
	"sync"
	"time"

	"flamingoreach/core/allocation"
	"flamingoreach/core/conformance"
	"flamingoreach/measure/shareresult"
)

// quietLoad is the load of an account between its surges.
const quietLoad = 0.3

// account makes the calls of one client account and records what becomes of them.
type account struct {
	rig  *Rig
	name string
	part allocation.Allocation
	load float64
	// weights are the cumulated shares of the traffic by node.
	weights []float64
	// ideal is the level of a single token bucket for the account.
	ideal   float64
	idealAt time.Time

	mutex   sync.Mutex
	result  shareresult.ShareResult
	granted []time.Time
}

func newAccount(rig *Rig, name string, par allocation.Allocation, load float64) *account {
	return &account{rig: rig, name: name, part: par, load: load, ideal: par.Burst, idealAt: rig.start}
}

func (acc *account) begin() {
	acc.move()
	if acc.load > 0 {
		acc.arrive()
	}
}

// move spreads the traffic anew over hosts; most of it goes to one data centre.
func (acc *account) move() {
	dataCentres := acc.rig.settings.DataCentres
	home := dataCentres[acc.rig.random.IntN(len(dataCentres))].Name
	acc.weights = acc.weights[:0]
	total := 0.0
	for _, nod := range acc.rig.nodes {
		weight := acc.rig.random.Float64()
		if nod.dataCentre != home {
			weight /= 4
		}
		total += weight * weight
		acc.weights = append(acc.weights, total)
	}
	if every := acc.rig.settings.MoveEvery.Duration; every > 0 {
		acc.rig.schedule(every, nil, acc.move)
	}
}

// arrive makes the next call, after a random time of the load's mean.
func (acc *account) arrive() {
	mean := float64(time.Second) / (acc.part.Rate * acc.loadNow())
	acc.rig.schedule(time.Duration(acc.rig.random.ExpFloat64()*mean), nil, func() {
		acc.Call(acc.pick())
		acc.arrive()
	})
}

// loadNow alternates between quiet times, in which the bucket fills while nodes hold tokens, and the load.
func (acc *account) loadNow() float64 {
	every := acc.rig.settings.SurgeEvery.Duration
	if every > 0 && acc.load > 1 && time.Since(acc.rig.start)/every%2 == 0 {
		return quietLoad
	}
	return acc.load
}

func (acc *account) pick() *node {
	at := acc.rig.random.Float64() * acc.weights[len(acc.weights)-1]
	return acc.rig.nodes[sort.SearchFloat64s(acc.weights, at)]
}

// Call makes one call at a node.
func (acc *account) Call(nod *node) {
	within := acc.within()
	acc.rig.schedule(0, nod, func() {
		go acc.take(nod, within, time.Now())
	})
}

func (acc *account) within() bool {
	now := time.Now()
	acc.ideal = min(acc.part.Burst, acc.ideal+acc.part.Rate*now.Sub(acc.idealAt).Seconds())
	acc.idealAt = now
	if acc.ideal < 1 {
		return false
	}
	acc.ideal--
	return true
}

func (acc *account) take(nod *node, within bool, begin time.Time) {
	wait := acc.rig.settings.Wait.Duration
	ok := nod.wallet.TakeOrWait(context.Background(), acc.name, wait)
	acc.mutex.Lock()
	defer acc.mutex.Unlock()
	if ok {
		acc.granted = append(acc.granted, time.Now())
	}
	if time.Since(acc.rig.start) < acc.rig.settings.WarmUp.Duration {
		return
	}
	acc.result.Offered++
	if within {
		acc.result.Within++
	}
	if !ok {
		if within {
			acc.result.RefusedWithin++
		}
		return
	}
	acc.result.Admitted++
	if waited := time.Since(begin); waited > 0 {
		acc.result.Waited++
		acc.result.LongestWaitMicroseconds = max(acc.result.LongestWaitMicroseconds, waited.Microseconds())
	}
}

func (acc *account) figures() shareresult.ShareResult {
	res := acc.result
	res.Name = acc.name
	res.Excess = conformance.Conformance{Rate: acc.part.Rate, Burst: acc.part.Burst}.Excess(acc.granted)
	res.RefusedWithinShare = ratio(res.RefusedWithin, res.Within)
	return res
}

func ratio(count, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(count) / float64(of)
}

// Result returns the figures of the run and of each account; Excess is the worst of the accounts.
func (rig *Rig) Result() shareresult.ShareResult {
	sum := shareresult.ShareResult{Name: rig.settings.Name, Seed: rig.settings.Seed, Requests: rig.requests, Moves: rig.moves}
	for at, acc := range rig.accounts {
		res := acc.figures()
		sum.Accounts = append(sum.Accounts, res)
		sum.Offered += res.Offered
		sum.Within += res.Within
		sum.Admitted += res.Admitted
		sum.RefusedWithin += res.RefusedWithin
		sum.Waited += res.Waited
		sum.LongestWaitMicroseconds = max(sum.LongestWaitMicroseconds, res.LongestWaitMicroseconds)
		if at == 0 || res.Excess > sum.Excess {
			sum.Excess = res.Excess
		}
	}
	sum.RefusedWithinShare = ratio(sum.RefusedWithin, sum.Within)
	return sum
}
