package gaterig

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/gate"
)

// Rig runs one case of a scenario under one control.
type Rig struct {
	sce  Scenario
	cas  Case
	seed uint64
	gat  *gate.Gate
	ser  *server

	began time.Time
	wait  sync.WaitGroup
	mut   sync.Mutex
	tal   tally
}

// request is one request of a caller, who may make several attempts.
type request struct {
	number   uint64
	account  int
	priority int
	began    time.Duration
}

// New returns a rig; it must be created and run in the same testing/synctest bubble.
func New(sce Scenario, cas Case, con Control, seed uint64) *Rig {
	began := time.Now()
	return &Rig{
		sce: sce, cas: cas, seed: seed, began: began,
		gat: gate.New(sce.policy(con)),
		ser: &server{sce: sce, cas: cas, began: began},
		tal: newTally(sce),
	}
}

// Run makes all requests of the case, waits until they have ended and returns the report without the scenario, case,
// control and seed.
func (rig *Rig) Run(ctx context.Context) Report {
	ran := rand.New(rand.NewPCG(rig.seed, 0))
	end := rig.sce.Before.Duration + rig.sce.During.Duration + rig.sce.After.Duration
	for number := uint64(1); ; number++ {
		at := time.Since(rig.began)
		rates, total := rig.rates(at)
		time.Sleep(time.Duration(ran.ExpFloat64() / total * float64(time.Second)))
		at = time.Since(rig.began)
		if at >= end {
			break
		}
		req := request{number: number, account: pickWeighted(ran.Float64()*total, rates), began: at}
		req.priority = rig.drawPriority(ran.Float64())
		rig.wait.Go(func() { rig.runRequest(ctx, req) })
	}
	rig.wait.Wait()
	return rig.tal.report(rig.sce, rig.cas, rig.gat.Stats())
}

func (rig *Rig) rates(at time.Duration) (rates []float64, total float64) {
	for account := range rig.sce.Accounts {
		rate := rig.sce.demand(rig.cas, account, at)
		rates = append(rates, rate)
		total += rate
	}
	return rates, total
}

func pickWeighted(at float64, weights []float64) int {
	for index, weight := range weights {
		if at -= weight; at < 0 {
			return index
		}
	}
	return len(weights) - 1
}

func (rig *Rig) drawPriority(at float64) int {
	var weights []float64
	for _, pri := range rig.sce.Priorities {
		weights = append(weights, pri.DemandFraction)
	}
	return rig.sce.Priorities[pickWeighted(at, weights)].Value
}

// runRequest makes the attempts of one request. The caller retries after any failure, whatever the refusal says.
func (rig *Rig) runRequest(ctx context.Context, req request) {
	ran := rand.New(rand.NewPCG(rig.seed, req.number))
	served := false
	for attempt := 0; attempt < rig.sce.Attempts && !served; attempt++ {
		if attempt > 0 {
			time.Sleep(time.Duration((0.5 + ran.Float64()) * float64(rig.sce.RetryPause.Duration)))
		}
		served = rig.attempt(ctx, req, ran)
	}
	rig.mut.Lock()
	defer rig.mut.Unlock()
	rig.tal.count(req, served)
}

// attempt reports whether the caller got an answer without a refusal before its timeout.
func (rig *Rig) attempt(ctx context.Context, req request, ran *rand.Rand) bool {
	cal := call.Call{
		ID: newID(ran), Service: rig.sce.Name, Account: rig.sce.Accounts[req.account].Name,
		Priority: req.priority, Deadline: time.Now().Add(rig.sce.CallerTimeout.Duration),
	}
	// The size is a multiple of the mean service time; its mean is 1.
	size := 0.2 + 0.8*ran.ExpFloat64()
	ctx, cancel := context.WithDeadline(ctx, cal.Deadline)
	defer cancel()
	ans, _ := rig.gat.Run(ctx, cal, func(ctx context.Context) (answer.Answer, any) {
		return rig.ser.execute(ctx, size)
	})
	return ans.Refusal == nil
}

// newID returns a version 7 UUID with the simulated time and random bits that derive from the seed.
func newID(ran *rand.Rand) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16|0x7000|ran.Uint64()&0x0fff)
	binary.BigEndian.PutUint64(id[8:], 1<<63|ran.Uint64()>>2)
	return id
}
