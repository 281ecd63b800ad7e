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
	"flamingoreach/core/crash/record"
	"flamingoreach/core/gate"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

// off lists mechanisms to switch off. Set it by hand to check that a test fails without the mechanism that it tests.
const off = gatepolicy.Mechanism(0)

const (
	slots       = 20
	serviceTime = 50 * time.Millisecond
)

// demand is the rate of one account's calls at one priority, which does not depend on their answers (open loop).
type demand struct {
	account  string
	priority int
	rate     float64
}

// offerLoad sends calls at the rates of the demands for a time and returns the numbers of served and of offered calls
// of each demand.
func offerLoad(ctx context.Context, gat *gate.Gate, span time.Duration, demands []demand) (served, offered []int) {
	counts := make([]atomic.Int64, len(demands))
	offered = make([]int, len(demands))
	var wait sync.WaitGroup
	for index, dem := range demands {
		wait.Go(func() {
			ran := rand.New(rand.NewPCG(1, uint64(index)))
			for began := time.Now(); time.Since(began) < span; {
				time.Sleep(time.Duration(ran.ExpFloat64() / dem.rate * float64(time.Second)))
				offered[index]++
				cal := newCall(dem.account, dem.priority)
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

func newLoadedGate() *gate.Gate {
	return gate.New(gatepolicy.Policy{Slots: slots, QueueLength: 2 * slots, QueueWait: 200 * time.Millisecond, Off: off})
}

// Calls of the top priority take half of the capacity; lower priorities of the same accounts cause the overload.
func TestTheMostImportantCallsAreShedLast(t *testing.T) {
	capacity := slots / serviceTime.Seconds()
	for _, factor := range []float64{2, 5} {
		synctest.Test(t, func(t *testing.T) {
			var demands []demand
			for _, account := range []string{"a", "b"} {
				demands = append(demands, demand{account, 9, capacity / 4},
					demand{account, 5, capacity / 8}, demand{account, 1, capacity * (factor/2 - 3.0/8)})
			}
			gat := newLoadedGate()
			offerLoad(t.Context(), gat, 2*time.Second, demands)
			served, offered := offerLoad(t.Context(), gat, 10*time.Second, demands)
			for index, dem := range demands {
				share := float64(served[index]) / float64(offered[index])
				switch dem.priority {
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
		gat := newLoadedGate()
		offerLoad(t.Context(), gat, 5*time.Second, []demand{{"a", 9, capacity / 4}, {"a", 1, 4 * capacity}})
		require.Positive(t, gat.Stats().Refused[reason.AdmissionLevel])
		offerLoad(t.Context(), gat, 5*time.Second, []demand{{"a", 9, capacity / 4}, {"a", 1, capacity / 4}})
		require.Zero(t, gat.Stats().Level)
	})
}

// The backend server's latency rises with more than a tenth of its announced slots in use. Only the adaptive limit
// reacts to that.
func TestTheAdaptiveLimitBoundsCallsThatOnlyWaitInTheBackendServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := gate.New(gatepolicy.Policy{Slots: 10 * slots, Off: off})
		var running, peak atomic.Int64
		congested := func(ctx context.Context) (answer.Answer, any) {
			concurrent := running.Add(1)
			defer running.Add(-1)
			peak.Store(max(peak.Load(), concurrent))
			return sleeping(serviceTime * time.Duration(max(concurrent, slots)) / slots)(ctx)
		}
		var wait sync.WaitGroup
		for index := range 4000 {
			if index == 2000 {
				peak.Store(0)
			}
			time.Sleep(serviceTime / slots / 2)
			wait.Go(func() { gat.Run(t.Context(), newCall("a", 1), congested) })
		}
		wait.Wait()
		require.Less(t, peak.Load(), int64(5*slots))
	})
}

func TestAStandingBacklogShortensTheQueue(t *testing.T) {
	capacity := slots / serviceTime.Seconds()
	synctest.Test(t, func(t *testing.T) {
		gat := newLoadedGate()
		ended := make(chan struct{})
		go func() {
			offerLoad(t.Context(), gat, 5*time.Second, []demand{{"a", 1, 5 * capacity}})
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
		demands := []demand{{"flood", 9, 8 * capacity}, {"top", 9, capacity / 4}, {"low", 1, capacity / 20}}
		gat := newLoadedGate()
		offerLoad(t.Context(), gat, 2*time.Second, demands)
		served, offered := offerLoad(t.Context(), gat, 10*time.Second, demands)
		require.Greater(t, float64(served[1])/float64(offered[1]), 0.9, "the account within its share")
		require.Greater(t, float64(served[2])/float64(offered[2]), 0.9, "the account within its guarantee")
	})
}

// Deliveries of the same calls arrive at random times, some of them duplicates, and some are cancelled. No call may
// run twice, and a call that was refused as not run must not have run.
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

// deliver makes the deliveries and returns how often each call ran and the answer to each delivery.
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

func TestADuplicateIdempotencyKeyGetsTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := gate.New(gatepolicy.Policy{IdempotencyRetention: time.Second, Off: off})
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

// A caller retries a call that crashes the backend server over and over, and the process restarts after each crash.
// Quarantine must refuse the call after its second crash.
func TestACrashingCallKillsABackendServerTwiceAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := gate.New(gatepolicy.Policy{Slots: 4, Off: off})
		count := 0
		for range 10 {
			cal := newCall("a", 1)
			cal.Fingerprint = 42
			ans, _ := gat.Run(t.Context(), cal, func(context.Context) (answer.Answer, any) {
				count++
				gat.Crashed()
				gat.SetState(gate.Warming)
				return answer.Answer{Refusal: refusal.Unknown(reason.BackendServerFailed, "test")}, nil
			})
			require.Equal(t, reason.Quarantined, ans.Refusal.Reason, "a suspect is not retried")
		}
		require.Equal(t, 2, count)
		other := newCall("a", 1)
		other.Fingerprint = 43
		ans, _ := gat.Run(t.Context(), other, sleeping(0))
		require.Nil(t, ans.Refusal)
		require.Len(t, crashes(gat), 2)
	})
}

func TestAWaitingCallIsRefusedIfItsFingerprintIsQuarantinedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := oneSlotGate(4)
		running := start(gat, newCall("a", 1), sleeping(100*time.Millisecond))
		cal := newCall("a", 1)
		cal.Fingerprint = 42
		waiting := start(gat, cal, sleeping(0))
		gat.AddCrashRecords([]record.Record{{Fingerprint: 42, Crashes: []crash.Crash{
			{ID: uuid.New(), Fingerprint: 42, At: time.Now()},
			{ID: uuid.New(), Fingerprint: 42, At: time.Now()},
		}}})
		require.Nil(t, (<-running).ans.Refusal)
		require.Equal(t, reason.Quarantined, (<-waiting).ans.Refusal.Reason)
		require.Equal(t, 1, gat.Stats().Quarantined)
	})
}

// crashes returns the crashes that the gate has recorded.
func crashes(gat *gate.Gate) []crash.Crash {
	var all []crash.Crash
	records, _ := gat.CrashRecords(0, gat.CrashRevision())
	for _, rec := range records {
		all = append(all, rec.Crashes...)
	}
	return all
}

// endWith runs a call with a fingerprint that ends with a refusal.
func endWith(t *testing.T, gat *gate.Gate, fingerprint uint64, ref *refusal.Refusal) {
	t.Helper()
	cal := newCall("a", 1)
	cal.Fingerprint = fingerprint
	gat.Run(t.Context(), cal, func(context.Context) (answer.Answer, any) { return answer.Answer{Refusal: ref}, nil })
}

func TestACallThatFailedJustBeforeTheCrashWasNoticedIsASuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := gate.New(gatepolicy.Policy{Slots: 4, Off: off})
		endWith(t, gat, 42, refusal.Unknown(reason.BackendServerFailed, "test"))
		time.Sleep(time.Second)
		gat.Crashed()
		require.Len(t, crashes(gat), 1)
	})
}

// Guards against deaths without suspects, which a failed call of any reason may have caused however late they are noticed.
func TestACallWithoutAnAnswerIsASuspectUntilTheProcessIsKnownToLive(t *testing.T) {
	for why, expected := range map[reason.Reason]int{
		reason.BackendServerFailed: 1, reason.AnswerTruncated: 1, reason.AnswerMismatched: 1, reason.Cancelled: 1, reason.DeadlineExceeded: 1,
		reason.BackendServerError: 0,
	} {
		synctest.Test(t, func(t *testing.T) {
			gat := gate.New(gatepolicy.Policy{Slots: 4, Off: off})
			endWith(t, gat, 42, refusal.Unknown(why, "test"))
			endWith(t, gat, 43, refusal.NotRun(reason.BackendServerDown, "test"))
			time.Sleep(4 * time.Second)
			gat.ConfirmAlive()
			time.Sleep(time.Minute)
			gat.Crashed()
			require.Len(t, crashes(gat), expected, "%s: an announcement may be older than the failure", why)
			require.Equal(t, uint64(1-expected), gat.Stats().UnattributedDeaths)
		})
		synctest.Test(t, func(t *testing.T) {
			gat := gate.New(gatepolicy.Policy{Slots: 4, Off: off})
			endWith(t, gat, 42, refusal.Unknown(why, "test"))
			time.Sleep(6 * time.Second)
			gat.ConfirmAlive()
			gat.Crashed()
			require.Empty(t, crashes(gat), "%s: the process was heard from after the failure", why)
		})
	}
}

func TestACallThatRunsAtADeathIsASuspectOnlyIfItEndsWithoutAnAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		ref      *refusal.Refusal
		expected int
	}{
		"answered": {nil, 0},
		"not sent": {refusal.NotRun(reason.BackendServerDown, "test"), 0},
		"lost":     {refusal.Unknown(reason.AnswerTruncated, "test"), 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gat := gate.New(gatepolicy.Policy{Slots: 4, Off: off})
				cal := newCall("a", 1)
				cal.Fingerprint = 42
				gat.Run(t.Context(), cal, func(context.Context) (answer.Answer, any) {
					gat.Crashed()
					time.Sleep(time.Second)
					return answer.Answer{Refusal: test.ref}, nil
				})
				require.Len(t, crashes(gat), test.expected)
			})
		})
	}
}
