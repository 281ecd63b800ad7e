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
	// changeTime is that for the times between a change of the configuration, the copy and a change that the copy lacks. The
	// hosts have read the changes by then.
	changeTime = 500 * time.Millisecond
	// lastChangeTime is the time for which clients send after the restore at the end of a run, so that the change is judged.
	lastChangeTime = 2 * configurationDeadline
	// rewriteTime is that for the time until the operators have written again what the store has lost.
	rewriteTime = time.Second
)

// restoreStore is the fault that the store comes back from an older copy.
var restoreStore = fault{"restoreStore", func(ctx context.Context, fle *Fleet, _ *host, ran *rand.Rand) {
	fle.restoreStore(ctx, ran, ran.IntN(2) == 0)
}}

// restoreStore makes the store unavailable to all hosts and brings it back from an older copy, which lacks at least one
// change of the configuration. The operators then write the newest configuration again a moment later. If overtaken is set,
// they have changed it once more and write it before the store serves again, so that the change has a revision that was
// given out before.
func (fle *Fleet) restoreStore(ctx context.Context, ran *rand.Rand, overtaken bool) {
	fle.restoring.Lock()
	defer fle.restoring.Unlock()
	fle.changeConfiguration()
	dispatcher.Wait(ctx, randomDuration(ran, changeTime))
	restore := fle.store.Copy()
	fle.changeConfiguration()
	dispatcher.Wait(ctx, randomDuration(ran, changeTime))
	fle.setStoreFault(standin.Unavailable)
	dispatcher.Wait(ctx, randomDuration(ran, restoreTime))
	if overtaken {
		restore()
		fle.changeConfiguration()
		fle.writeEvacuationsAgain()
		fle.setStoreFault(standin.NoFault)
		return
	}
	fle.store.Restore(copyAges[ran.IntN(len(copyAges))])
	fle.setStoreFault(standin.NoFault)
	dispatcher.Wait(ctx, randomDuration(ran, rewriteTime))
	fle.mut.Lock()
	fle.store.PutConfiguration(fle.written)
	fle.mut.Unlock()
	fle.writeEvacuationsAgain()
	for _, hos := range fle.hosts {
		hos.recordFault()
	}
}

// setStoreFault changes the fault of the store for all hosts.
func (fle *Fleet) setStoreFault(storeFault standin.Fault) {
	for _, hos := range fle.hosts {
		hos.recordFault()
		hos.endpoint.SetFault(storeFault)
	}
}
