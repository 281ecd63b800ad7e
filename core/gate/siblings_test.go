package gate_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/answer"
	"flamingoreach/core/gate"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

const (
	siblingSeed      = 9
	siblingTime      = 20 * time.Millisecond
	crashingInterval = 500 * time.Millisecond
	crashDownTime    = 2 * time.Second
	crashPlayTime    = 60 * time.Second
	// hearInterval is how often nodes hear of each other's crashes.
	hearInterval = time.Second
	// A request that has crashed the third backend server may reach lateRetries more later than contactTime after it.
	contactTime = 3 * time.Second
	lateRetries = 3
	// The crashing request and its siblings have one fingerprint; the variants of the siblings follow its own.
	siblingsFingerprint, crashingVariant = 1, 2
)

// backend is a gate with a backend server that a request can crash.
type backend struct {
	*gate.Gate
	mut  sync.Mutex
	died chan struct{}
}

// run runs a request of a variant, which ends without an answer if the backend server dies meanwhile.
func (bac *backend) run(variant uint64, execute func(ctx context.Context, died <-chan struct{}) *refusal.Refusal) *refusal.Refusal {
	cal := newCall("a", 1)
	cal.Fingerprint, cal.Variant = siblingsFingerprint, variant
	ans, _ := bac.Run(context.Background(), cal, func(ctx context.Context) (answer.Answer, any) {
		bac.mut.Lock()
		died := bac.died
		bac.mut.Unlock()
		return answer.Answer{Refusal: execute(ctx, died)}, nil
	})
	return ans.Refusal
}

// crash ends the backend server, which is back after crashDownTime.
func (bac *backend) crash(context.Context, <-chan struct{}) *refusal.Refusal {
	bac.mut.Lock()
	close(bac.died)
	bac.died = make(chan struct{})
	bac.mut.Unlock()
	bac.Crashed()
	time.AfterFunc(crashDownTime, func() { bac.SetState(gate.Warming) })
	return refusal.Unknown(reason.AnswerTruncated, "test")
}

func serveSibling(_ context.Context, died <-chan struct{}) *refusal.Refusal {
	select {
	case <-died:
		return refusal.Unknown(reason.AnswerTruncated, "test")
	case <-time.After(siblingTime):
		return nil
	}
}

// Guards against a crashing request that goes on to reach backend servers beside siblings that are answered, at one node and
// at six that hear of each other's crashes late, and against siblings that are refused with it.
func TestACrashingRequestIsRefusedBesideItsSiblings(t *testing.T) {
	for _, test := range []struct {
		nodes     int
		perSecond int
	}{{1, 20}, {1, 200}, {1, 2000}, {6, 20}, {6, 200}, {6, 2000}} {
		synctest.Test(t, func(t *testing.T) {
			ran := rand.New(rand.NewPCG(siblingSeed, uint64(test.perSecond)))
			backends := make([]*backend, test.nodes)
			for index := range backends {
				backends[index] = &backend{Gate: gate.New(gatepolicy.Policy{Slots: 200, QuarantineTime: time.Minute, Off: off}), died: make(chan struct{})}
			}
			ctx, cancel := context.WithTimeout(t.Context(), crashPlayTime)
			defer cancel()
			var playing sync.WaitGroup
			playing.Go(func() { hear(ctx, backends) })
			var answered, quarantined atomic.Int64
			playing.Go(func() {
				for number := range int(crashPlayTime.Seconds()) * test.perSecond {
					bac := backends[ran.IntN(len(backends))]
					playing.Go(func() {
						switch ref := bac.run(crashingVariant+1+uint64(number), serveSibling); {
						case ref == nil:
							answered.Add(1)
						case ref.Reason == reason.Quarantined && ref.Step != "gate.suspect":
							quarantined.Add(1)
						}
					})
					time.Sleep(time.Second / time.Duration(test.perSecond))
				}
			})
			var reached []time.Time
			for number := 0; ctx.Err() == nil; number++ {
				bac := backends[number%len(backends)]
				_ = bac.run(crashingVariant, func(ctx context.Context, died <-chan struct{}) *refusal.Refusal {
					reached = append(reached, time.Now())
					return bac.crash(ctx, died)
				})
				time.Sleep(crashingInterval)
			}
			playing.Wait()
			late := 0
			for index, at := range reached {
				if index > 2 && at.Sub(reached[2]) > contactTime {
					late++
				}
			}
			t.Logf("%d nodes, %d siblings a second: %d crashes, %d late; %d answered", test.nodes, test.perSecond, len(reached), late, answered.Load())
			require.LessOrEqual(t, late, lateRetries)
			require.Zero(t, quarantined.Load(), "siblings are not refused")
			require.Greater(t, answered.Load(), int64(crashPlayTime.Seconds())*int64(test.perSecond)*3/4)
		})
	}
}

// hear tells all nodes of the crashes that the others know, until the context ends.
func hear(ctx context.Context, backends []*backend) {
	for ctx.Err() == nil {
		time.Sleep(hearInterval)
		for _, from := range backends {
			records, _ := from.CrashRecords(0, from.CrashRevision())
			for _, to := range backends {
				to.AddCrashRecords(records)
			}
		}
	}
}
