package gate_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/gate"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

type result struct {
	ans     answer.Answer
	payload any
}

// newCall returns a root call with a deadline in ten seconds.
func newCall(account string, priority int) call.Call {
	id := uuid.New()
	return call.Call{ID: id, Root: id, Account: account, Priority: priority, Deadline: time.Now().Add(10 * time.Second)}
}

// sleeping returns an execute function that answers after the given time, or fails when its context ends.
func sleeping(span time.Duration) func(context.Context) (answer.Answer, any) {
	return func(ctx context.Context) (answer.Answer, any) {
		select {
		case <-time.After(span):
			return answer.Answer{}, "whole"
		case <-ctx.Done():
			return answer.Answer{Refusal: refusal.Unknown(reason.Cancelled, "test")}, nil
		}
	}
}

// start runs a call in a new goroutine and returns when the call waits or has ended.
func start(gat *gate.Gate, cal call.Call, execute func(context.Context) (answer.Answer, any)) <-chan result {
	ended := make(chan result, 1)
	go func() {
		ans, payload := gat.Run(context.Background(), cal, execute)
		ended <- result{ans, payload}
	}()
	synctest.Wait()
	return ended
}

func oneSlotGate(length int) *gate.Gate {
	return gate.New(gatepolicy.Policy{Slots: 1, QueueLength: length, QueueWait: time.Second, Off: off})
}

func TestDrainRefusesNewCallsAndWaitsForAdmittedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := oneSlotGate(4)
		running := start(gat, newCall("a", 0), sleeping(500*time.Millisecond))
		waiting := start(gat, newCall("a", 0), sleeping(500*time.Millisecond))
		drained := make(chan error, 1)
		began := time.Now()
		go func() { drained <- gat.Drain(t.Context()) }()
		synctest.Wait()
		ans, _ := gat.Run(t.Context(), newCall("a", 0), sleeping(0))
		require.Equal(t, reason.Draining, ans.Refusal.Reason)
		require.Equal(t, outcome.NotRun, ans.Refusal.Outcome)
		require.True(t, ans.Refusal.Elsewhere)
		require.NoError(t, <-drained)
		require.Equal(t, time.Second, time.Since(began))
		require.Nil(t, (<-running).ans.Refusal)
		require.Nil(t, (<-waiting).ans.Refusal)
	})
}

func TestADrainedBackendServerServesAgainUnlessTheNodeLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := oneSlotGate(4)
		gat.SetState(gate.Draining)
		ans, _ := gat.Run(t.Context(), newCall("a", 0), sleeping(0))
		require.Equal(t, reason.Draining, ans.Refusal.Reason)
		gat.SetState(gate.Warming)
		ans, _ = gat.Run(t.Context(), newCall("a", 0), sleeping(0))
		require.Nil(t, ans.Refusal)
		require.NoError(t, gat.Drain(t.Context()))
		gat.SetState(gate.Warming)
		ans, _ = gat.Run(t.Context(), newCall("a", 0), sleeping(0))
		require.Equal(t, reason.Draining, ans.Refusal.Reason)
	})
}

func TestAGateThatRestartsRefusesKeysThatAnotherGateMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := oneSlotGate(4)
		gat.Crashed()
		time.Sleep(time.Hour)
		older := newCall("a", 0)
		older.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
		ans, _ := gat.Run(t.Context(), older, sleeping(0))
		require.Equal(t, reason.BackendServerDown, ans.Refusal.Reason, "another gate may run the call")
		time.Sleep(time.Second)
		gat.SetState(gate.Warming)
		older.ID = uuid.New()
		ans, _ = gat.Run(t.Context(), older, sleeping(0))
		require.Equal(t, reason.HomeLost, ans.Refusal.Reason)
		require.Equal(t, outcome.Unknown, ans.Refusal.Outcome)
	})
}

func TestRecheckStopsACallThatWaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := oneSlotGate(4)
		var withdrawn atomic.Bool
		gat.Recheck = func(call.Call) *refusal.Refusal {
			if withdrawn.Load() {
				return refusal.NotRun(reason.KeyWithdrawn, "test")
			}
			return nil
		}
		running := start(gat, newCall("a", 0), sleeping(500*time.Millisecond))
		waiting := start(gat, newCall("a", 0), sleeping(500*time.Millisecond))
		withdrawn.Store(true)
		require.Nil(t, (<-running).ans.Refusal)
		require.Equal(t, reason.KeyWithdrawn, (<-waiting).ans.Refusal.Reason)
		require.Equal(t, uint64(1), gat.Stats().Executed)
		require.NoError(t, gat.Drain(t.Context()))
	})
}

func TestACancelledWaitingCallIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := oneSlotGate(1)
		running := start(gat, newCall("a", 0), sleeping(500*time.Millisecond))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan answer.Answer, 1)
		go func() {
			ans, _ := gat.Run(ctx, newCall("a", 0), sleeping(0))
			ended <- ans
		}()
		synctest.Wait()
		cancel()
		require.Equal(t, reason.Cancelled, (<-ended).Refusal.Reason)
		waiting := start(gat, newCall("b", 1), sleeping(0))
		require.Nil(t, (<-running).ans.Refusal)
		require.Nil(t, (<-waiting).ans.Refusal)
	})
}

func TestACallThatCannotMeetItsDeadlineIsRefusedOnArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := oneSlotGate(8)
		<-start(gat, newCall("a", 0), sleeping(500*time.Millisecond))
		running := start(gat, newCall("a", 0), sleeping(500*time.Millisecond))
		late := newCall("a", 0)
		late.Deadline = time.Now().Add(800 * time.Millisecond)
		ans, _ := gat.Run(t.Context(), late, sleeping(0))
		require.Equal(t, reason.DeadlineTooShort, ans.Refusal.Reason)
		require.Nil(t, (<-running).ans.Refusal)
	})
}

func TestACrashRefusesWaitingCallsAndAStartServesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := oneSlotGate(8)
		running := start(gat, newCall("a", 0), sleeping(500*time.Millisecond))
		waiting := start(gat, newCall("a", 0), sleeping(0))
		gat.Crashed()
		require.Equal(t, reason.BackendServerDown, (<-waiting).ans.Refusal.Reason)
		ans, _ := gat.Run(t.Context(), newCall("a", 0), sleeping(0))
		require.Equal(t, outcome.NotRun, ans.Refusal.Outcome)
		<-running
		gat.SetState(gate.Warming)
		require.Nil(t, (<-start(gat, newCall("a", 0), sleeping(0))).ans.Refusal)
	})
}

func BenchmarkRunWithoutContention(b *testing.B) {
	gat := gate.New(gatepolicy.Policy{Slots: 90, MaxDedupeCalls: 4096})
	cal := newCall("a", 1)
	cal.Idempotent = true
	cal.Deadline = time.Now().Add(time.Hour)
	execute := func(context.Context) (answer.Answer, any) { return answer.Answer{}, nil }
	b.ReportAllocs()
	for b.Loop() {
		cal.ID = uuid.New()
		gat.Run(context.Background(), cal, execute)
	}
}
