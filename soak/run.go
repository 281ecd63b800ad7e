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
	// recoverTime is the time after the last fault in which most requests are served again.
	recoverTime   = 15 * time.Second
	clientsAHost  = 3
	longestGap    = 800 * time.Millisecond
	startPatience = 20 * time.Second
	// faultsAtATime bounds the faults that overlap.
	faultsAtATime = 3
)

// Plan is what one run does.
type Plan struct {
	Program string
	// Folder receives the settings and the logs of the processes.
	Folder string
	Seed   uint64
	// Number sets the addresses of runs on one machine at the same time apart, from 0 to 99.
	Number int
	Hosts  int
	// Span is the time in which faults begin.
	Span time.Duration
}

// Result is what a run found.
type Result struct {
	Seed       uint64
	Violations []Violation
	Faults     []string
	Asked      int
}

// Run plays one seed; it fails if the processes cannot be started.
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
		for number := range clientsAHost {
			cli := &client{name: fmt.Sprintf("%d-%s-%d", pla.Seed, hos.name, number), host: hos, fleet: fle, caller: standin.NewCaller(hos.callers)}
			loops.Go(func() { cli.run(sending) })
		}
		greedy := &greedyClient{name: fmt.Sprintf("%s-%d-%s", greedyName, pla.Seed, hos.name), ledger: fle.ledger, caller: standin.NewCaller(hos.callers)}
		loops.Go(func() { greedy.run(sending) })
	}
	if err := fle.awaitService(ctx, startPatience); err != nil {
		fle.ledger.violate("start", "%v", err)
	}
	res.Faults = fle.strikeAll(ctx, pla)
	if err := fle.awaitService(ctx, recoverTime); err != nil {
		fle.ledger.violate("recovery", "%v", err)
	}
	stop()
	loops.Wait()
	res.Violations = fle.ledger.check()
	res.Asked = len(fle.ledger.told)
	return res, nil
}

// strikeAll lets faults befall hosts, some at a time, and returns once all have passed.
func (fle *Fleet) strikeAll(ctx context.Context, pla Plan) []string {
	ran := rand.New(rand.NewPCG(pla.Seed, 0))
	kinds := faults()
	began := time.Now()
	places := make(chan struct{}, faultsAtATime)
	var struck []string
	var under sync.WaitGroup
	for time.Since(began) < pla.Span && ctx.Err() == nil {
		fau, hos := kinds[ran.IntN(len(kinds))], fle.hosts[ran.IntN(len(fle.hosts))]
		own := rand.New(rand.NewPCG(ran.Uint64(), 0))
		places <- struct{}{}
		struck = append(struck, describe(time.Since(began), fau, hos))
		under.Go(func() {
			defer func() { <-places }()
			fau.strike(ctx, fle, hos, own)
		})
		dispatcher.Wait(ctx, span(ran, longestGap))
	}
	under.Wait()
	return struck
}
