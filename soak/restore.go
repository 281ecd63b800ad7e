package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"flamingoreach/io/dispatcher"
	"flamingoreach/platform/standin"
)

// copyAges are the ages of the copies from which the store comes back.
var copyAges = [...]time.Duration{time.Second, 5 * time.Second, 20 * time.Second}

const (
	// restoreTime is the argument of randomDuration for the time for which the store is unavailable before it comes back.
	restoreTime = time.Second
	// rewriteTime is that for the time until the operators have written again what the store has lost.
	rewriteTime = time.Second
)

// restoreStore makes the store unavailable to all hosts and brings it back from an older copy. The operators then write the
// newest configuration again.
var restoreStore = fault{"restoreStore", func(ctx context.Context, fle *Fleet, _ *host, ran *rand.Rand) {
	fle.restoring.Lock()
	defer fle.restoring.Unlock()
	fle.setStoreFault(standin.Unavailable)
	dispatcher.Wait(ctx, randomDuration(ran, restoreTime))
	fle.store.Restore(copyAges[ran.IntN(len(copyAges))])
	fle.setStoreFault(standin.NoFault)
	dispatcher.Wait(ctx, randomDuration(ran, rewriteTime))
	fle.mut.Lock()
	fle.store.PutConfiguration(fle.written)
	fle.mut.Unlock()
	for _, hos := range fle.hosts {
		hos.recordFault()
	}
}}

// setStoreFault changes the fault of the store for all hosts.
func (fle *Fleet) setStoreFault(storeFault standin.Fault) {
	for _, hos := range fle.hosts {
		hos.recordFault()
		hos.endpoint.SetFault(storeFault)
	}
}
