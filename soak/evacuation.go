package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"flamingoreach/io/dispatcher"
)

const (
	// dataCentreCount is the number of data centres; each has two hosts in turn, one of each service.
	dataCentreCount = 2
	// evacuationDeadline is the time after which no request may reach a backend server of an evacuated data centre. It is
	// longer by evacuationStretch while the store turns hosts away.
	evacuationDeadline = 5 * time.Second
	evacuationStretch  = 5 * time.Second
	// contactTime is the time for which a host must have been free of faults for the deadline to hold.
	contactTime = 3 * time.Second
	// leastEvacuation and evacuationSpan (see randomDuration) give the length of an evacuation; it exceeds the stretched
	// deadline in about half of the cases.
	leastEvacuation = 7 * time.Second
	evacuationSpan  = 5 * time.Second
)

func dataCentreOf(number int) string { return fmt.Sprint("z", number/2%dataCentreCount) }

// injectEvacuations evacuates random data centres one after another, and sometimes for a moment only, as long as faults
// begin. Its random numbers are its own, so that a seed gives the same order of the other faults as without evacuations.
func (fle *Fleet) injectEvacuations(ctx context.Context, pla Plan) []string {
	ran := rand.New(rand.NewPCG(pla.Seed, 1))
	began := time.Now()
	var injected []string
	for time.Since(began) < pla.Span && ctx.Err() == nil {
		dispatcher.Wait(ctx, randomDuration(ran, time.Second))
		dataCentre := dataCentreOf(2 * ran.IntN(dataCentreCount))
		injected = append(injected, fmt.Sprintf("%6.2f s evacuate at %s", time.Since(began).Seconds(), dataCentre))
		for range ran.IntN(3) {
			fle.setEvacuated(dataCentre, true)
			dispatcher.Wait(ctx, randomDuration(ran, 200*time.Millisecond))
			fle.setEvacuated(dataCentre, false)
		}
		fle.setEvacuated(dataCentre, true)
		dispatcher.Wait(ctx, leastEvacuation+randomDuration(ran, evacuationSpan))
		fle.setEvacuated(dataCentre, false)
	}
	return injected
}

// setEvacuated creates or deletes the row of an evacuation.
func (fle *Fleet) setEvacuated(dataCentre string, evacuated bool) {
	fle.mut.Lock()
	defer fle.mut.Unlock()
	delete(fle.evacuatedAt, dataCentre)
	fle.store.SetEvacuated(dataCentre, evacuated)
	if evacuated {
		fle.evacuatedAt[dataCentre] = time.Now()
	}
}

// writeEvacuationsAgain brings the rows of evacuations back to what the operators wrote, after a restore of the store.
func (fle *Fleet) writeEvacuationsAgain() {
	fle.mut.Lock()
	defer fle.mut.Unlock()
	for _, hos := range fle.hosts {
		_, evacuated := fle.evacuatedAt[hos.dataCentre]
		fle.store.SetEvacuated(hos.dataCentre, evacuated)
	}
}

// checkEvacuation reports a request that reached the backend server of a host whose data centre must be evacuated by now.
func (fle *Fleet) checkEvacuation(hos *host, id string) {
	fle.mut.Lock()
	at, evacuated := fle.evacuatedAt[hos.dataCentre]
	fle.mut.Unlock()
	if !evacuated {
		return
	}
	since, deadline := time.Since(at), evacuationDeadline
	for _, other := range fle.hosts {
		if other.hadStoreFaultWithin(since + evacuationStretch) {
			deadline = evacuationDeadline + evacuationStretch
		}
	}
	if since > deadline && hos.faultFreeFor(contactTime) {
		fle.ledger.addViolation("evacuation", "%s reached %s %s after %s was evacuated", id, hos.name, since, hos.dataCentre)
	}
}

// hadStoreFaultWithin reports whether a fault of the store began or ended at this host within a time.
func (hos *host) hadStoreFaultWithin(span time.Duration) bool {
	hos.mut.Lock()
	defer hos.mut.Unlock()
	return time.Since(hos.lastStoreFault) <= span
}
