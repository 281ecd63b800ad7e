package ingressrig

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"flamingoreach/core/allowance"
	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/member"
	"flamingoreach/core/reason"
)

const (
	// queueLength and queueWait are the defaults of a configuration.
	queueLength = 256
	queueWait   = 250 * time.Millisecond
	// refusalBytes is the size of an answer that is a refusal.
	refusalBytes = 300
	// burstSeconds is the burst of an account, in seconds at the account's rate.
	burstSeconds = 0.5
	// crashSends is the number of times that a crashing request is sent, with crashPause between them.
	crashSends = 40
	crashPause = time.Second
)

// Rig runs one case of a scenario under one control.
type Rig struct {
	sce     Scenario
	cas     Case
	con     Control
	seed    uint64
	network *link

	began      time.Time
	hosts      map[string]*host
	members    map[string][]member.Member
	frontHosts []*host
	buckets    []*bucket
	wait       sync.WaitGroup
	mut        sync.Mutex
	tal        tally
}

// request is one request of a caller, who may make several attempts.
type request struct {
	number   uint64
	account  int
	priority Priority
	// front is the host to which the caller sends the request. deep says that the request makes a deeper call, crashing
	// that it crashes each backend server that runs it.
	front    *host
	deep     bool
	crashing bool
	// size is the service time as a multiple of the service's mean; the mean of all sizes is 1.
	size float64
	// began is counted from the start of the run.
	began time.Duration
	// withinRate says that the latest attempt was within the account's rate and burst.
	withinRate bool
	// executions and deliveries count the executions and the deliveries to gates of the current attempt's root call and
	// its deeper calls. mostExecutions and mostDeliveries are their highest values over all attempts; sumExecutions is
	// the sum of the executions.
	executions, deliveries         atomic.Int64
	mostExecutions, mostDeliveries int64
	sumExecutions                  int64
	// refusals holds the reasons of the refusals that the caller received.
	refusals []reason.Reason
	mut      sync.Mutex
	ran      *rand.Rand
}

// New returns a rig; it must be created and run in the same testing/synctest bubble.
func New(sce Scenario, cas Case, con Control, seed uint64) *Rig {
	rig := &Rig{
		sce: sce, cas: cas, con: con, seed: seed, began: time.Now(), hosts: map[string]*host{},
		members: map[string][]member.Member{}, tal: newTally(sce),
	}
	rig.network = &link{
		bytesPerSecond: sce.LinkBits / 8 * sce.Scale, freeAt: map[string]time.Time{},
		partitioned: func() bool { return cas.Partition && sce.duringTrigger(rig.elapsed()) },
	}
	for index, dac := range sce.DataCentres {
		rig.frontHosts = append(rig.frontHosts, rig.addHost(2*index, dac, sce.Front, func() time.Duration { return rig.frontServiceTime(index) }))
		rig.addHost(2*index+1, dac, sce.Deep, func() time.Duration {
			return time.Duration(float64(sce.Deep.ServiceTime.Duration) * sce.deepTimeFactor(cas, rig.elapsed()))
		})
	}
	for account := range sce.Accounts {
		rate := sce.accountRate(account)
		rig.buckets = append(rig.buckets, &bucket{rate: rate, burst: rate * burstSeconds, tokens: rate * burstSeconds, refilledAt: rig.began})
	}
	return rig
}

func (rig *Rig) addHost(number int, dac DataCentre, ser Service, serviceTime func() time.Duration) *host {
	hos := newHost(rig, number, dac, ser, serviceTime)
	rig.hosts[hos.member.ID] = hos
	rig.members[ser.Name] = append(rig.members[ser.Name], hos.member)
	return hos
}

func (rig *Rig) elapsed() time.Duration { return time.Since(rig.began) }

func (rig *Rig) frontServiceTime(index int) time.Duration {
	span := float64(rig.sce.Front.ServiceTime.Duration)
	if index == 0 {
		span *= rig.sce.coldFactor(rig.cas, rig.elapsed())
	}
	return time.Duration(span)
}

// hostsIn returns the number of hosts in a region; each of its data centres has one host of each of the two services.
func (rig *Rig) hostsIn(region string) int {
	count := 0
	for _, dac := range rig.sce.DataCentres {
		if dac.Region == region {
			count += 2
		}
	}
	return count
}

// Run makes all requests of the case, waits until they have ended and returns the report.
func (rig *Rig) Run(ctx context.Context) Report {
	rig.sendCrashing(ctx)
	ran := rand.New(rand.NewPCG(rig.seed, 0))
	end := rig.sce.Before.Duration + rig.sce.During.Duration + rig.sce.After.Duration
	for number := uint64(1); ; number++ {
		demand, total := rig.demand()
		time.Sleep(time.Duration(ran.ExpFloat64() / total * float64(time.Second)))
		if rig.elapsed() >= end {
			break
		}
		req := rig.newRequest(number)
		req.account = pickWeighted(ran.Float64()*total, demand)
		req.withinRate = rig.buckets[req.account].take(time.Now())
		rig.wait.Go(func() { rig.runRequest(ctx, req) })
	}
	rig.wait.Wait()
	rep := rig.tal.report(rig.cas)
	rep.Scenario, rep.Case, rep.Control, rep.Seed = rig.sce.Name, rig.cas.Name, rig.con.Name, rig.seed
	return rep
}

func (rig *Rig) demand() (rates []float64, total float64) {
	at := rig.elapsed()
	for account := range rig.sce.Accounts {
		rate := rig.sce.demand(rig.cas, account, at)
		rates = append(rates, rate)
		total += rate
	}
	return rates, total
}

// newRequest returns a request whose random properties derive from the seed and its number, so that they are the same
// under each control.
func (rig *Rig) newRequest(number uint64) *request {
	ran := rand.New(rand.NewPCG(rig.seed, number))
	req := &request{number: number, ran: ran, began: rig.elapsed(), size: 0.2 + 0.8*ran.ExpFloat64()}
	var weights []float64
	for _, pri := range rig.sce.Priorities {
		weights = append(weights, pri.DemandFraction)
	}
	req.priority = rig.sce.Priorities[pickWeighted(ran.Float64(), weights)]
	weights = nil
	for _, dac := range rig.sce.DataCentres {
		weights = append(weights, dac.DemandFraction)
	}
	req.front = rig.frontHosts[pickWeighted(ran.Float64(), weights)]
	req.deep = ran.Float64() < rig.sce.DeepFraction
	return req
}

func pickWeighted(at float64, weights []float64) int {
	for index, weight := range weights {
		if at -= weight; at < 0 {
			return index
		}
	}
	return len(weights) - 1
}

// runRequest makes the attempts of one request. The caller retries after any failure, whatever the refusal says.
func (rig *Rig) runRequest(ctx context.Context, req *request) {
	served := false
	for sent := 0; sent < rig.sce.Attempts && !served; sent++ {
		if sent > 0 {
			time.Sleep(time.Duration((0.5 + req.random()) * float64(rig.sce.RetryPause.Duration)))
			req.withinRate = rig.buckets[req.account].take(time.Now())
		}
		if !req.withinRate && rig.con.RateLimits {
			req.refusals = append(req.refusals, reason.RateExceeded)
			continue
		}
		served = rig.attempt(ctx, req)
	}
	rig.mut.Lock()
	defer rig.mut.Unlock()
	rig.tal.count(req, served)
}

// attempt reports whether the caller got a complete answer without an error before its timeout.
func (rig *Rig) attempt(ctx context.Context, req *request) bool {
	cal := call.Call{
		ID: req.newID(), Service: rig.sce.Front.Name, Account: rig.sce.Accounts[req.account].Name,
		Priority: req.priority.Value, Idempotent: req.priority.Idempotent, Allowance: extraAttempts,
		Deadline: time.Now().Add(rig.sce.CallerTimeout.Duration),
	}
	cal.Root = cal.ID
	if req.crashing {
		cal.Fingerprint = req.number
	}
	req.executions.Store(0)
	req.deliveries.Store(0)
	// The context ends callerDelay after the deadline. If both ended at the same instant, it would be random which of
	// the two a waiting call sees first.
	ctx, cancel := context.WithDeadline(ctx, cal.Deadline.Add(callerDelay))
	defer cancel()
	good := sleep(ctx, callerDelay) == nil
	if good {
		var ans answer.Answer
		ans, good = req.front.send(ctx, req, cal, allowance.New(extraAttempts))
		if ans.Refusal != nil {
			req.refusals = append(req.refusals, ans.Refusal.Reason)
		}
	}
	executions := req.executions.Load()
	req.mostExecutions = max(req.mostExecutions, executions)
	req.mostDeliveries = max(req.mostDeliveries, req.deliveries.Load())
	req.sumExecutions += executions
	return good && sleep(ctx, callerDelay) == nil
}

// sendCrashing sends each crashing request of the case crashSends times, to one host of the first service after
// another. The report does not count these requests.
func (rig *Rig) sendCrashing(ctx context.Context) {
	for index := range rig.cas.Crashes {
		rig.wait.Go(func() {
			time.Sleep(rig.sce.Before.Duration)
			for repeat := range crashSends {
				req := rig.newRequest(1<<32 + uint64(index))
				req.priority.Idempotent = true
				req.crashing = true
				req.front = rig.frontHosts[repeat%len(rig.frontHosts)]
				rig.attempt(ctx, req)
				time.Sleep(crashPause)
			}
		})
	}
}

// offset returns a delay below 0.11 ms that differs between requests that are in progress at the same time.
func (req *request) offset() time.Duration {
	const factor, modulus = 7919, 100_003
	return time.Duration(req.number * factor % modulus)
}

func (req *request) random() float64 {
	req.mut.Lock()
	defer req.mut.Unlock()
	return req.ran.Float64()
}

// newID returns a version 7 UUID with the simulated time and random bits that derive from the seed.
func (req *request) newID() uuid.UUID {
	req.mut.Lock()
	defer req.mut.Unlock()
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16|0x7000|req.ran.Uint64()&0x0fff)
	binary.BigEndian.PutUint64(id[8:], 1<<63|req.ran.Uint64()>>2)
	return id
}
