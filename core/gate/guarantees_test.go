package gate_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/crash"
	"flamingoreach/core/gate"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

// off is set by hand to see a test fail with a mechanism switched off.
const off = gatepolicy.Mechanism(0)

const (
	slots       = 20
	serviceTime = 50 * time.Millisecond
)

// source is one account's open-loop demand at one priority.
type source struct {
	account  string
	priority int
	rate     float64
}

// offer runs the demand for a time and returns the served and the offered calls of each source.
func offer(ctx context.Context, gat *gate.Gate, span time.Duration, sources []source) (served, offered []int) {
	counts := make([]atomic.Int64, len(sources))
	offered = make([]int, len(sources))
	var wait sync.WaitGroup
	for index, sou := range sources {
		wait.Go(func() {
			ran := rand.New(rand.NewPCG(1, uint64(index)))
			for began := time.Now(); time.Since(began) < span; {
				time.Sleep(time.Duration(ran.ExpFloat64() / sou.rate * float64(time.Second)))
				offered[index]++
				cal := newCall(sou.account, sou.priority)
				cal.Deadline = time.Now().Add(time.Second)
				taken := time.Duration((0.5 + ran.Float64()) * float64(serviceTime))
				wait.Go(func() {
					if ans, _ := gat.Run(ctx, cal, sleeping(taken)); ans.Refusal == nil {
						counts[index].Add(1)
					}
				})
			}
		})
	}
	wait.Wait()
	for index := range counts {
		served = append(served, int(counts[index].Load()))
	}
	return served, offered
}

func loaded() *gate.Gate {
	return gate.New(gatepolicy.Policy{Slots: slots, QueueLength: 2 * slots, QueueWait: 200 * time.Millisecond, Off: off})
}

// The top priority asks for half of the capacity, and the rest comes from lower priorities of the same accounts.
func TestTheMostImportantCallsAreShedLast(t *testing.T) {
	capacity := slots / serviceTime.Seconds()
	for _, factor := range []float64{2, 5} {
		synctest.Test(t, func(t *testing.T) {
			var sources []source
			for _, account := range []string{"a", "b"} {
				sources = append(sources, source{account, 9, capacity / 4},
					source{account, 5, capacity / 8}, source{account, 1, capacity * (factor/2 - 3.0/8)})
			}
			gat := loaded()
			offer(t.Context(), gat, 2*time.Second, sources)
			served, offered := offer(t.Context(), gat, 10*time.Second, sources)
			for index, sou := range sources {
				share := float64(served[index]) / float64(offered[index])
				switch sou.priority {
				case 9:
					require.Greater(t, share, 0.99)
				case 5:
					require.Greater(t, share, 0.9)
				}
			}
		})
	}
}

func TestTheAdmissionLevelTellsCallersOfOverloadAndFallsAfterIt(t *testing.T) {
	capacity := slots / serviceTime.Seconds()
	synctest.Test(t, func(t *testing.T) {
		gat := loaded()
		offer(t.Context(), gat, 5*time.Second, []source{{"a", 9, capacity / 4}, {"a", 1, 4 * capacity}})
		require.Positive(t, gat.Stats().Refused[reason.AdmissionLevel])
		offer(t.Context(), gat, 5*time.Second, []source{{"a", 9, capacity / 4}, {"a", 1, capacity / 4}})
		require.Zero(t, gat.Stats().Level)
	})
}

// The limit is the only mechanism that knows of a backend server that slows down below its announced slots.
func TestCallsThatOnlyWaitInTheBackendServerAreHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := gate.New(gatepolicy.Policy{Slots: 10 * slots, Off: off})
		var running, peak atomic.Int64
		crowded := func(ctx context.Context) (answer.Answer, any) {
			beside := running.Add(1)
			defer running.Add(-1)
			peak.Store(max(peak.Load(), beside))
			return sleeping(serviceTime * time.Duration(max(beside, slots)) / slots)(ctx)
		}
		var wait sync.WaitGroup
		for index := range 4000 {
			if index == 2000 {
				peak.Store(0)
			}
			time.Sleep(serviceTime / slots / 2)
			wait.Go(func() { gat.Run(t.Context(), newCall("a", 1), crowded) })
		}
		wait.Wait()
		require.Less(t, peak.Load(), int64(5*slots))
	})
}

func TestAStandingBacklogShortensTheQueue(t *testing.T) {
	capacity := slots / serviceTime.Seconds()
	synctest.Test(t, func(t *testing.T) {
		gat := loaded()
		ended := make(chan struct{})
		go func() {
			offer(t.Context(), gat, 5*time.Second, []source{{"a", 1, 5 * capacity}})
			close(ended)
		}()
		time.Sleep(4 * time.Second)
		require.LessOrEqual(t, gat.Stats().Waiting, slots, "the places are twice the slots")
		require.Positive(t, gat.Stats().Refused[reason.Shed])
		<-ended
	})
}

func TestAFloodOfTopPriorityStarvesNobody(t *testing.T) {
	capacity := slots / serviceTime.Seconds()
	synctest.Test(t, func(t *testing.T) {
		sources := []source{{"flood", 9, 8 * capacity}, {"top", 9, capacity / 4}, {"low", 1, capacity / 20}}
		gat := loaded()
		offer(t.Context(), gat, 2*time.Second, sources)
		served, offered := offer(t.Context(), gat, 10*time.Second, sources)
		require.Greater(t, float64(served[1])/float64(offered[1]), 0.9, "the account within its share")
		require.Greater(t, float64(served[2])/float64(offered[2]), 0.9, "the account within its guarantee")
	})
}

// Deliveries of the same calls come at any time and in any number, and some are cancelled.
func TestACallRunsAtMostOnceAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		calls := rapid.IntRange(1, 8).Draw(rt, "calls")
		deliveries := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) delivery {
			return delivery{
				call:   rapid.IntRange(0, calls-1).Draw(rt, "call"),
				at:     time.Duration(rapid.IntRange(0, 400).Draw(rt, "at")) * time.Millisecond,
				cancel: time.Duration(rapid.IntRange(1, 2000).Draw(rt, "cancel")) * time.Millisecond,
			}
		}), 1, 30).Draw(rt, "deliveries")
		var ran []int64
		var answers []answer.Answer
		synctest.Test(t, func(*testing.T) { ran, answers = deliver(calls, deliveries) })
		for index, del := range deliveries {
			require.LessOrEqual(rt, ran[del.call], int64(1))
			ref := answers[index].Refusal
			if ref == nil {
				require.Equal(rt, int64(1), ran[del.call])
			} else if ref.Outcome == outcome.NotRun {
				require.Zero(rt, ran[del.call], ref.Error())
			}
		}
	})
}

type delivery struct {
	call       int
	at, cancel time.Duration
}

// deliver returns how often each call ran and the answer of each delivery.
func deliver(calls int, deliveries []delivery) (counts []int64, answers []answer.Answer) {
	gat := gate.New(gatepolicy.Policy{Slots: 2, QueueLength: 2, QueueWait: 100 * time.Millisecond, Off: off})
	all := make([]call.Call, calls)
	for index := range all {
		all[index] = newCall("a", index%3)
	}
	ran := make([]atomic.Int64, calls)
	answers = make([]answer.Answer, len(deliveries))
	var wait sync.WaitGroup
	for index, del := range deliveries {
		wait.Go(func() {
			time.Sleep(del.at)
			ctx, cancel := context.WithTimeout(context.Background(), del.cancel)
			defer cancel()
			answers[index], _ = gat.Run(ctx, all[del.call], func(ctx context.Context) (answer.Answer, any) {
				ran[del.call].Add(1)
				return sleeping(90 * time.Millisecond)(ctx)
			})
		})
	}
	wait.Wait()
	for index := range ran {
		counts = append(counts, ran[index].Load())
	}
	return counts, answers
}

func TestARepeatByIdempotencyKeyGetsTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := gate.New(gatepolicy.Policy{IdempotencyKeep: time.Second, Off: off})
		time.Sleep(2 * time.Second)
		first, second := newCall("a", 1), newCall("a", 1)
		first.IdempotencyKey, second.IdempotencyKey = "order-17", "order-17"
		second.Deadline = time.Now().Add(10 * time.Millisecond)
		running := start(gat, first, sleeping(100*time.Millisecond))
		ans, _ := gat.Run(t.Context(), second, sleeping(0))
		require.Equal(t, reason.RepeatInProgress, ans.Refusal.Reason)
		require.Equal(t, outcome.Unknown, ans.Refusal.Outcome)
		require.Nil(t, (<-running).ans.Refusal)
		second.ID, second.Deadline = uuid.New(), time.Now().Add(time.Second)
		ans, payload := gat.Run(t.Context(), second, sleeping(0))
		require.Nil(t, ans.Refusal)
		require.Equal(t, second.ID, ans.CallID)
		require.Equal(t, "whole", payload)
		require.Equal(t, uint64(1), gat.Stats().Executed)
	})
}

// The caller of a crashing call sends it again without end; the process starts again after each crash.
func TestACrashingCallKillsABackendServerTwiceAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := gate.New(gatepolicy.Policy{Slots: 4, Off: off})
		crashes := 0
		for range 10 {
			cal := newCall("a", 1)
			cal.Fingerprint = 42
			ans, _ := gat.Run(t.Context(), cal, func(context.Context) (answer.Answer, any) {
				crashes++
				gat.Crashed()
				gat.SetState(gate.Warming)
				return answer.Answer{Refusal: refusal.Unknown(reason.BackendServerFailed, "test")}, nil
			})
			require.Equal(t, reason.Quarantined, ans.Refusal.Reason, "a suspect is not retried")
		}
		require.Equal(t, 2, crashes)
		other := newCall("a", 1)
		other.Fingerprint = 43
		ans, _ := gat.Run(t.Context(), other, sleeping(0))
		require.Nil(t, ans.Refusal)
		require.Len(t, gat.Crashes(), 2)
	})
}

func TestAWaitingCallIsRefusedWhoseContentIsQuarantinedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := oneSlot(4)
		running := start(gat, newCall("a", 1), sleeping(100*time.Millisecond))
		cal := newCall("a", 1)
		cal.Fingerprint = 42
		waiting := start(gat, cal, sleeping(0))
		gat.AddCrashes([]crash.Crash{
			{ID: uuid.New(), Fingerprint: 42, At: time.Now()},
			{ID: uuid.New(), Fingerprint: 42, At: time.Now()},
		})
		require.Nil(t, (<-running).ans.Refusal)
		require.Equal(t, reason.Quarantined, (<-waiting).ans.Refusal.Reason)
		require.Equal(t, 1, gat.Stats().Quarantined)
	})
}

func TestACallThatFailedJustBeforeTheCrashWasNoticedIsASuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := gate.New(gatepolicy.Policy{Slots: 4, Off: off})
		cal := newCall("a", 1)
		cal.Fingerprint = 42
		gat.Run(t.Context(), cal, func(context.Context) (answer.Answer, any) {
			return answer.Answer{Refusal: refusal.Unknown(reason.BackendServerFailed, "test")}, nil
		})
		time.Sleep(time.Second)
		gat.Crashed()
		require.Len(t, gat.Crashes(), 1)
	})
}
