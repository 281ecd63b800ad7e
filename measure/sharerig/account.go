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

// loadBetweenSurges is the offered traffic of a surging account between two surges, as a multiple of its rate.
const loadBetweenSurges = 0.3

// account generates the calls of one client account and records their results.
type account struct {
	rig        *Rig
	name       string
	allocation allocation.Allocation
	load       float64
	// cumulativeWeights holds the running sums of the nodes' traffic weights, in the order of Rig.nodes.
	cumulativeWeights []float64
	// referenceTokens is the level, at referenceAt, of a single token bucket with the account's rate and burst. It
	// decides which calls are within the rate.
	referenceTokens float64
	referenceAt     time.Time

	mutex      sync.Mutex
	result     shareresult.ShareResult
	admittedAt []time.Time
}

func newAccount(rig *Rig, name string, alc allocation.Allocation, load float64) *account {
	return &account{rig: rig, name: name, allocation: alc, load: load, referenceTokens: alc.Burst, referenceAt: rig.start}
}

func (acc *account) start() {
	acc.redistribute()
	if acc.load > 0 {
		acc.arrive()
	}
}

// redistribute draws new traffic weights for all nodes; most of the traffic goes to one random data centre.
func (acc *account) redistribute() {
	dataCentres := acc.rig.settings.DataCentres
	preferred := dataCentres[acc.rig.random.IntN(len(dataCentres))].Name
	acc.cumulativeWeights = acc.cumulativeWeights[:0]
	total := 0.0
	for _, nod := range acc.rig.nodes {
		weight := acc.rig.random.Float64()
		if nod.dataCentre != preferred {
			weight /= 4
		}
		total += weight * weight
		acc.cumulativeWeights = append(acc.cumulativeWeights, total)
	}
	if every := acc.rig.settings.MoveEvery.Duration; every > 0 {
		acc.rig.schedule(every, nil, acc.redistribute)
	}
}

// arrive schedules the next call; the times between calls are exponentially distributed around the load's mean.
func (acc *account) arrive() {
	mean := float64(time.Second) / (acc.allocation.Rate * acc.currentLoad())
	acc.rig.schedule(time.Duration(acc.rig.random.ExpFloat64()*mean), nil, func() {
		acc.scheduleCall(acc.pickNode())
		acc.arrive()
	})
}

// currentLoad returns the offered traffic as a multiple of the rate. For an account above its rate it alternates
// between loadBetweenSurges, at which the account's bucket fills while nodes still hold tokens, and the account's load.
func (acc *account) currentLoad() float64 {
	every := acc.rig.settings.SurgeEvery.Duration
	if every > 0 && acc.load > 1 && time.Since(acc.rig.start)/every%2 == 0 {
		return loadBetweenSurges
	}
	return acc.load
}

func (acc *account) pickNode() *node {
	at := acc.rig.random.Float64() * acc.cumulativeWeights[len(acc.cumulativeWeights)-1]
	return acc.rig.nodes[sort.SearchFloat64s(acc.cumulativeWeights, at)]
}

// scheduleCall schedules one call at a node and counts it against the reference bucket.
func (acc *account) scheduleCall(nod *node) {
	within := acc.takeReferenceToken()
	acc.rig.schedule(0, nod, func() {
		go acc.runCall(nod, within, time.Now())
	})
}

func (acc *account) takeReferenceToken() bool {
	now := time.Now()
	acc.referenceTokens = min(acc.allocation.Burst, acc.referenceTokens+acc.allocation.Rate*now.Sub(acc.referenceAt).Seconds())
	acc.referenceAt = now
	if acc.referenceTokens < 1 {
		return false
	}
	acc.referenceTokens--
	return true
}

// runCall takes a token for a call, waits for one if necessary, and records the result.
func (acc *account) runCall(nod *node, within bool, begin time.Time) {
	wait := acc.rig.settings.Wait.Duration
	ok := nod.pool.TakeOrWait(context.Background(), acc.name, wait)
	acc.mutex.Lock()
	defer acc.mutex.Unlock()
	if ok {
		acc.admittedAt = append(acc.admittedAt, time.Now())
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

func (acc *account) summary() shareresult.ShareResult {
	res := acc.result
	res.Name = acc.name
	res.Excess = conformance.Conformance{Rate: acc.allocation.Rate, Burst: acc.allocation.Burst}.Excess(acc.admittedAt)
	res.RefusedWithinFraction = ratio(res.RefusedWithin, res.Within)
	return res
}

func ratio(count, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(count) / float64(of)
}

// Result returns the figures of the run and of each account. The run's Excess is the greatest of the accounts'.
func (rig *Rig) Result() shareresult.ShareResult {
	sum := shareresult.ShareResult{Name: rig.settings.Name, Seed: rig.settings.Seed, ShareRequests: rig.shareRequests, DivisionWrites: rig.divisionWrites}
	for index, acc := range rig.accounts {
		res := acc.summary()
		sum.Accounts = append(sum.Accounts, res)
		sum.Offered += res.Offered
		sum.Within += res.Within
		sum.Admitted += res.Admitted
		sum.RefusedWithin += res.RefusedWithin
		sum.Waited += res.Waited
		sum.LongestWaitMicroseconds = max(sum.LongestWaitMicroseconds, res.LongestWaitMicroseconds)
		if index == 0 || res.Excess > sum.Excess {
			sum.Excess = res.Excess
		}
	}
	sum.RefusedWithinFraction = ratio(sum.RefusedWithin, sum.Within)
	return sum
}
