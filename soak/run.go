package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"flamingoreach/io/dispatcher"
	"flamingoreach/platform/standin"
)

const (
	// recoveryTimeout is the time after the last fault within which awaitService must see requests served again.
	recoveryTimeout = 15 * time.Second
	clientsPerHost  = 3
	// faultGap is the argument of randomDuration for the time between the beginnings of two faults.
	faultGap     = 800 * time.Millisecond
	startTimeout = 20 * time.Second
	// Of restoreEvery faults one comes with a restore of the store, on average.
	restoreEvery = 5
	// maxConcurrentFaults is the largest number of faults that overlap.
	maxConcurrentFaults = 3
)

// Plan describes one run.
type Plan struct {
	Program string
	// Folder receives the settings and the logs of the processes.
	Folder string
	Seed   uint64
	// Number, from 0 to 99, selects the loopback addresses; runs on one machine at the same time need different numbers.
	Number int
	Hosts  int
	// Span is the time within which faults begin.
	Span time.Duration
}

// Result is the result of one run.
type Result struct {
	Seed       uint64
	Violations []Violation
	// Faults describes the injected faults, each with the time since the start of the injection.
	Faults []string
	// Requests is the number of requests that callers of all accounts sent.
	Requests int
}

// Run starts a fleet, injects the faults of the plan's seed and checks the guarantees. It fails if the processes cannot
// be started.
func Run(ctx context.Context, pla Plan) (Result, error) {
	res := Result{Seed: pla.Seed}
	fle, err := newFleet(ctx, pla.Program, pla.Folder, pla.Number, pla.Hosts)
	if err != nil {
		return res, err
	}
	defer fle.close()
	sending, stop := context.WithCancel(ctx)
	var loops sync.WaitGroup
	for _, hos := range fle.hosts {
		loops.Go(func() { hos.backend.Announce(sending) })
		for number := range clientsPerHost {
			cli := &client{name: fmt.Sprintf("%d-%s-%d", pla.Seed, hos.name, number), host: hos, fleet: fle, caller: standin.NewCaller(hos.callers)}
			loops.Go(func() { cli.run(sending) })
		}
		pipelined := &pipelinedClient{name: fmt.Sprintf("%d-%s-pipelined", pla.Seed, hos.name), address: hos.callers, fleet: fle}
		loops.Go(func() { pipelined.run(sending) })
		greedy := &greedyClient{name: fmt.Sprintf("%s-%d-%s", greedyName, pla.Seed, hos.name), ledger: fle.ledger, caller: standin.NewCaller(hos.callers)}
		loops.Go(func() { greedy.run(sending) })
	}
	if err := fle.awaitService(ctx, startTimeout); err != nil {
		fle.ledger.addViolation("start", "%v", err)
	}
	evacuations := make(chan []string, 1)
	go func() { evacuations <- fle.injectEvacuations(ctx, pla) }()
	res.Faults = fle.injectFaults(ctx, pla)
	res.Faults = append(res.Faults, <-evacuations...)
	if err := fle.awaitService(ctx, recoveryTimeout); err != nil {
		fle.ledger.addViolation("recovery", "%v", err)
	}
	// While faults go on, a restart or the next change soon hides a change that was missed. After the last one nothing does.
	fle.restoreStore(ctx, rand.New(rand.NewPCG(pla.Seed, 2)), true)
	dispatcher.Wait(ctx, lastChangeTime)
	stop()
	loops.Wait()
	for _, hos := range fle.hosts {
		hos.endBackend()
	}
	res.Violations = fle.ledger.check()
	res.Requests = len(fle.ledger.answers)
	return res, nil
}

// injectFaults injects random faults at random hosts, up to maxConcurrentFaults at a time. When all are over, it
// returns their descriptions.
func (fle *Fleet) injectFaults(ctx context.Context, pla Plan) []string {
	ran := rand.New(rand.NewPCG(pla.Seed, 0))
	// Restores come in addition and from a source of their own, so that the other faults of a seed stay what they were.
	restores := rand.New(rand.NewPCG(pla.Seed, 1))
	kinds := faults()
	began := time.Now()
	slots := make(chan struct{}, maxConcurrentFaults)
	var injected []string
	var running sync.WaitGroup
	for time.Since(began) < pla.Span && ctx.Err() == nil {
		fau, hos := kinds[ran.IntN(len(kinds))], fle.hosts[ran.IntN(len(fle.hosts))]
		// Faults run concurrently, so each has its own source of random numbers.
		faultRandom := rand.New(rand.NewPCG(ran.Uint64(), 0))
		slots <- struct{}{}
		injected = append(injected, describe(time.Since(began), fau, hos))
		running.Go(func() {
			defer func() { <-slots }()
			fau.inject(ctx, fle, hos, faultRandom)
		})
		if restores.IntN(restoreEvery) == 0 {
			injected = append(injected, describe(time.Since(began), restoreStore, hos))
			restoreRandom := rand.New(rand.NewPCG(restores.Uint64(), 0))
			running.Go(func() { restoreStore.inject(ctx, fle, hos, restoreRandom) })
		}
		dispatcher.Wait(ctx, randomDuration(ran, faultGap))
	}
	running.Wait()
	return injected
}
