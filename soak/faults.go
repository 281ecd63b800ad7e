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

// reloadWait is longer than a process needs to end after a signal.
const reloadWait = 200 * time.Millisecond

// fault is a kind of fault that a run injects at one host or at all hosts.
type fault struct {
	name string
	// inject returns when the fault is over.
	inject func(ctx context.Context, fle *Fleet, hos *host, ran *rand.Rand)
}

// faults returns all kinds of faults.
func faults() []fault {
	return []fault{
		{"stop", func(ctx context.Context, _ *Fleet, hos *host, _ *rand.Rand) {
			began := time.Now()
			if node := hos.signal(syscall.SIGTERM); node != nil {
				<-node.Ended()
				if took := time.Since(began); took > graceTime {
					hos.ledger.addViolation("stop", "%s ended after %s", hos.name, took)
				}
			}
			_ = hos.start(ctx)
		}},
		{"kill", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			if node := hos.signal(syscall.SIGKILL); node != nil {
				<-node.Ended()
			}
			dispatcher.Wait(ctx, randomDuration(ran, time.Second))
			_ = hos.start(ctx)
		}},
		{"pause", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			hos.signal(syscall.SIGSTOP)
			dispatcher.Wait(ctx, randomDuration(ran, 2*time.Second))
			hos.signal(syscall.SIGCONT)
		}},
		{"reload", func(ctx context.Context, _ *Fleet, hos *host, _ *rand.Rand) {
			hos.signal(syscall.SIGHUP)
			// SIGHUP ends a process that has not yet installed its handler; it is then restarted, as the platform does.
			dispatcher.Wait(ctx, reloadWait)
			_ = hos.start(ctx)
		}},
		{"store", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			storeFaults := []standin.Fault{standin.Unavailable, standin.NoAnswer, standin.ConnectionReset, standin.SlowAnswer, standin.LostAnswer}
			hos.recordFault()
			hos.endpoint.SetFault(storeFaults[ran.IntN(len(storeFaults))])
			dispatcher.Wait(ctx, randomDuration(ran, 4*time.Second))
			hos.endpoint.SetFault(standin.NoFault)
			hos.recordFault()
		}},
		{"storeForAll", func(ctx context.Context, fle *Fleet, _ *host, ran *rand.Rand) {
			storeFault := []standin.Fault{standin.Unavailable, standin.NoAnswer, standin.ConnectionReset, standin.SlowAnswer}[ran.IntN(4)]
			fle.setStoreFault(storeFault)
			dispatcher.Wait(ctx, randomDuration(ran, 3*time.Second))
			fle.setStoreFault(standin.NoFault)
		}},
		{"callersLink", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			hos.callersLink.disturb(ctx, ran, 2*time.Second)
		}},
		{"backendLink", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			hos.backendLink.disturb(ctx, ran, 2*time.Second)
		}},
		{"storeLink", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			hos.recordFault()
			hos.storeLink.disturb(ctx, ran, 4*time.Second)
			hos.recordFault()
		}},
		{"history", func(_ context.Context, fle *Fleet, _ *host, _ *rand.Rand) { fle.store.DeleteHistory() }},
		{"keys", func(_ context.Context, fle *Fleet, _ *host, _ *rand.Rand) { fle.changeConfiguration() }},
		{"lostAnswers", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			hos.backend.LoseAnswers(30)
			dispatcher.Wait(ctx, randomDuration(ran, 2*time.Second))
			hos.backend.LoseAnswers(0)
		}},
		{"crashingRequest", func(ctx context.Context, fle *Fleet, _ *host, ran *rand.Rand) {
			fle.sendCrashingRequests(ctx, ran)
		}},
		{"release", func(ctx context.Context, _ *Fleet, hos *host, ran *rand.Rand) {
			hos.backend.Drain()
			dispatcher.Wait(ctx, drainTime+randomDuration(ran, 2*time.Second))
			hos.backend.Restart()
		}},
	}
}

// randomDuration returns a duration between a tenth of span and 1.1 times span.
func randomDuration(ran *rand.Rand, span time.Duration) time.Duration {
	return span/10 + time.Duration(ran.Int64N(int64(span)))
}

// describe formats a fault for Result.Faults.
func describe(at time.Duration, fau fault, hos *host) string {
	return fmt.Sprintf("%6.2f s %s at %s", at.Seconds(), fau.name, hos.name)
}
