package dedupe_test

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/dedupe"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

func newTable(calls int) *dedupe.Table {
	tab := dedupe.New(time.Now())
	tab.KeyRetention, tab.ClockSkew, tab.MaxCalls, tab.MaxBytes = 10*time.Minute, 5*time.Second, calls, 100
	return tab
}

// newID returns a UUID of version 7 with the time of the synctest bubble's clock. uuid.NewV7 cannot be used, as its
// time never goes back, not even from one bubble to the next.
func newID() uuid.UUID {
	id := uuid.New()
	millis := time.Now().UnixMilli()
	for at := range 6 {
		id[at] = byte(millis >> (8 * (5 - at)))
	}
	id[6] = id[6]&0x0f | 0x70
	return id
}

func newCall(key string) call.Call {
	id := newID()
	return call.Call{ID: id, IdempotencyKey: key, Deadline: time.Now().Add(2 * time.Second)}
}

func freshKey() string { return newID().String() }

func TestAnExecutedCallIsRememberedUntilItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(2)
		first, second, third := newCall(""), newCall(""), newCall("")
		for _, cal := range []call.Call{first, second} {
			ent, fresh, ref := tab.Begin(cal, time.Now())
			require.True(t, fresh)
			require.Nil(t, ref)
			tab.Settle(ent, answer.Answer{}, "x", 80, time.Now())
		}
		_, fresh, ref := tab.Begin(third, time.Now())
		require.False(t, fresh)
		require.Equal(t, outcome.NotRun, ref.Outcome)
		ent, fresh, _ := tab.Begin(first, time.Now())
		require.False(t, fresh)
		ans, _ := ent.Result()
		require.Equal(t, outcome.Ran, ans.Refusal.Outcome, "its answer was evicted to keep the table within MaxBytes")
		time.Sleep(4 * time.Second)
		_, _, ref = tab.Begin(first, time.Now())
		require.Equal(t, outcome.Unknown, ref.Outcome)
		_, fresh, _ = tab.Begin(newCall(""), time.Now())
		require.True(t, fresh)
		calls, bytes := tab.Len()
		require.Equal(t, 1, calls)
		require.Zero(t, bytes)
	})
}

func TestAnEvictedRefusedCallIsStillRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(1)
		first := newCall("")
		ent, _, _ := tab.Begin(first, time.Now())
		tab.Settle(ent, answer.Answer{Refusal: refusal.NotRun(reason.Shed, "test")}, nil, 0, time.Now())
		time.Sleep(10 * time.Millisecond)
		ent, fresh, _ := tab.Begin(newCall(""), time.Now())
		require.True(t, fresh)
		tab.Settle(ent, answer.Answer{Refusal: refusal.NotRun(reason.Shed, "test")}, nil, 0, time.Now())
		_, fresh, ref := tab.Begin(first, time.Now())
		require.False(t, fresh)
		require.Equal(t, outcome.NotRun, ref.Outcome)
	})
}

func TestCallsWithTheSameIdempotencyKeyRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(10)
		// A key made within ClockSkew (5 s) of the gate's start may have been used before it and is refused.
		time.Sleep(6 * time.Second)
		key := freshKey()
		ent, fresh, _ := tab.Begin(newCall(key), time.Now())
		require.True(t, fresh)
		running, fresh, _ := tab.Begin(newCall(key), time.Now())
		require.False(t, fresh)
		require.False(t, running.Settled())
		tab.Settle(ent, answer.Answer{}, "whole", 5, time.Now())
		time.Sleep(9 * time.Minute)
		again, fresh, _ := tab.Begin(newCall(key), time.Now())
		require.False(t, fresh)
		_, payload := again.Result()
		require.Equal(t, "whole", payload)
		// A different request must not use the same key.
		other := newCall(key)
		other.Fingerprint = 1
		_, _, ref := tab.Begin(other, time.Now())
		require.Equal(t, reason.HeaderInvalid, ref.Reason)
	})
}

func TestAKeyWhoseCallDidNotRunMayBeUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := newTable(10)
		// A key made within ClockSkew (5 s) of the gate's start may have been used before it and is refused.
		time.Sleep(6 * time.Second)
		key := freshKey()
		ent, _, _ := tab.Begin(newCall(key), time.Now())
		tab.Settle(ent, answer.Answer{Refusal: refusal.NotRun(reason.Shed, "test")}, nil, 0, time.Now())
		_, fresh, ref := tab.Begin(newCall(key), time.Now())
		require.True(t, fresh)
		require.Nil(t, ref)
	})
}

func TestAKeyThatMayPredateTheGateIsRefusedAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, early := freshKey(), newCall("")
		time.Sleep(time.Minute)
		tab := newTable(10)
		for _, key := range []string{old, "order-17"} {
			_, fresh, ref := tab.Begin(newCall(key), time.Now())
			require.False(t, fresh)
			require.Equal(t, reason.HomeLost, ref.Reason)
			require.Equal(t, outcome.Unknown, ref.Outcome)
		}
		early.Deadline = time.Now().Add(time.Second)
		_, fresh, ref := tab.Begin(early, time.Now())
		require.False(t, fresh)
		require.Equal(t, outcome.Unknown, ref.Outcome)
		time.Sleep(11 * time.Minute)
		_, fresh, _ = tab.Begin(newCall("order-17"), time.Now())
		require.True(t, fresh)
		_, _, ref = tab.Begin(newCall(old), time.Now())
		require.Equal(t, reason.HomeLost, ref.Reason)
	})
}

// Guards against evicted calls that take memory until their deadlines.
func TestAnEvictedCallTakesNoMemory(t *testing.T) {
	const calls = 100
	tab := newTable(calls)
	var entries []weak.Pointer[dedupe.Entry]
	for range 3 * calls {
		cal := newCall("")
		cal.Idempotent = true
		ent, fresh, ref := tab.Begin(cal, time.Now())
		require.True(t, fresh)
		require.Nil(t, ref)
		tab.Settle(ent, answer.Answer{Refusal: refusal.NotRun(reason.QueueFull, "t")}, nil, 0, time.Now())
		entries = append(entries, weak.Make(ent))
	}
	runtime.GC()
	held := 0
	for _, ent := range entries {
		if ent.Value() != nil {
			held++
		}
	}
	require.LessOrEqual(t, held, calls+1)
	runtime.KeepAlive(tab)
}
