package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"flamingoreach/io/dispatcher"
	"flamingoreach/platform/standin"
)

// reloadTime is ample for a process that a signal ends.
const reloadTime = 200 * time.Millisecond

// fault is one kind of trouble that may befall a host, or the fleet.
type fault struct {
	name string
	// strike runs until the fault has passed.
	strike func(ctx context.Context, fle *Fleet, hos *host, ran *rand.Rand)
}

// faults lists all kinds.
func faults() []fault {
	return []fault{
		{"stop", func(ctx context.Context, _ *Fleet, hos *host, _ *rand.Rand) {
			began := time.Now()
			if node := hos.signal(syscall.SIGTERM); node != nil {
				<-node.Ended()
				if took := time.Since(began); took > graceTime {
					hos.ledger.violate("stop", "%s ended after %s", hos.name, took)
				}
			}
			_ = hos.start(ctx)
		}},
		{"kill", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			if node := hos.signal(syscall.SIGKILL); node != nil {
				<-node.Ended()
			}
			dispatcher.Wait(ctx, span(ran, time.Second))
			_ = hos.start(ctx)
		}},
		{"pause", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			hos.signal(syscall.SIGSTOP)
			dispatcher.Wait(ctx, span(ran, 2*time.Second))
			hos.signal(syscall.SIGCONT)
		}},
		{"reload", func(ctx context.Context, _ *Fleet, hos *host, _ *rand.Rand) {
			hos.signal(syscall.SIGHUP)
			// The platform starts a process again that was ended before it could ask for the signal.
			dispatcher.Wait(ctx, reloadTime)
			_ = hos.start(ctx)
		}},
		{"store", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			ways := []standin.Fault{standin.Unavailable, standin.NoAnswer, standin.ConnectionReset, standin.SlowAnswer, standin.LostAnswer}
			hos.harm()
			hos.door.SetFault(ways[ran.IntN(len(ways))])
			dispatcher.Wait(ctx, span(ran, 4*time.Second))
			hos.door.SetFault(standin.NoFault)
			hos.harm()
		}},
		{"storeForAll", func(ctx context.Context, fle *Fleet, _ *host, ran *rand.Rand) {
			way := []standin.Fault{standin.Unavailable, standin.NoAnswer, standin.ConnectionReset, standin.SlowAnswer}[ran.IntN(4)]
			for _, hos := range fle.hosts {
				hos.harm()
				hos.door.SetFault(way)
			}
			dispatcher.Wait(ctx, span(ran, 3*time.Second))
			for _, hos := range fle.hosts {
				hos.door.SetFault(standin.NoFault)
				hos.harm()
			}
		}},
		{"callersLink", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			hos.callersLink.disturb(ctx, ran, 2*time.Second)
		}},
		{"backendLink", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			hos.backendLink.disturb(ctx, ran, 2*time.Second)
		}},
		{"storeLink", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			hos.harm()
			hos.storeLink.disturb(ctx, ran, 4*time.Second)
			hos.harm()
		}},
		{"history", func(_ context.Context, fle *Fleet, _ *host, _ *rand.Rand) { fle.store.DeleteHistory() }},
		{"keys", func(_ context.Context, fle *Fleet, _ *host, _ *rand.Rand) { fle.changeVersion() }},
		{"lostAnswers", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			hos.backend.LoseAnswers(30)
			dispatcher.Wait(ctx, span(ran, 2*time.Second))
			hos.backend.LoseAnswers(0)
		}},
		{"release", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			hos.backend.Drain()
			dispatcher.Wait(ctx, drainTime+span(ran, 2*time.Second))
			hos.backend.Restart()
		}},
	}
}

func span(ran *rand.Rand, most time.Duration) time.Duration {
	return most/10 + time.Duration(ran.Int64N(int64(most)))
}

// describe names a fault as it is written down.
func describe(at time.Duration, fau fault, hos *host) string {
	return fmt.Sprintf("%6.2f s %s at %s", at.Seconds(), fau.name, hos.name)
}
