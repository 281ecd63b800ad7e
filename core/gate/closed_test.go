package gate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/gate"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
)

// Guards against a closed gate that opens because its backend server starts, and against waiting calls that are lost when
// it closes.
func TestAClosedGateRefusesAllCallsWhateverItsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := oneSlotGate(2)
		running := start(gat, newCall("a", 1), sleeping(time.Second))
		waiting := start(gat, newCall("a", 1), sleeping(time.Second))
		gat.SetClosed(reason.DataCentreEvacuated)
		requireClosed := func(ended <-chan result) {
			ref := (<-ended).ans.Refusal
			require.Equal(t, reason.DataCentreEvacuated, ref.Reason)
			require.Equal(t, outcome.NotRun, ref.Outcome)
			require.True(t, ref.Elsewhere)
			require.Positive(t, ref.RetryAfter)
		}
		requireClosed(waiting)
		require.Nil(t, (<-running).ans.Refusal, "running calls end")
		for _, state := range []string{gate.Down, gate.Warming, gate.Serving, gate.Draining, gate.Warming} {
			gat.SetState(state)
			requireClosed(start(gat, newCall("a", 1), sleeping(0)))
		}
		gat.SetClosed(reason.None)
		require.Nil(t, (<-start(gat, newCall("a", 1), sleeping(0))).ans.Refusal)
	})
}

// Guards against a call that runs twice: at the gate that acted for a closed one, and at the closed one once it opens.
func TestAGateThatOpensRefusesKeysThatAnotherGateMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := oneSlotGate(2)
		time.Sleep(time.Hour)
		gat.SetClosed(reason.DataCentreEvacuated)
		older := newCall("a", 0)
		older.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
		ans, _ := gat.Run(t.Context(), older, sleeping(0))
		require.Equal(t, reason.DataCentreEvacuated, ans.Refusal.Reason)
		time.Sleep(time.Second)
		gat.SetClosed(reason.None)
		older.ID = uuid.New()
		ans, _ = gat.Run(t.Context(), older, sleeping(0))
		require.NotNil(t, ans.Refusal, "it would run a second time")
		require.Equal(t, reason.HomeLost, ans.Refusal.Reason)
		require.Equal(t, outcome.Unknown, ans.Refusal.Outcome)
	})
}
