package gate_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/gate"
	"flamingoreach/core/reason"
)

func TestGateServesABackendServerThatStartsAgainAfterItsDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := oneSlotGate(4)
		gat.SetState(gate.Draining)
		ans, _ := gat.Run(t.Context(), newCall("a", 0), sleeping(0))
		require.Equal(t, reason.Draining, ans.Refusal.Reason)
		gat.SetState(gate.Warming)
		ans, _ = gat.Run(t.Context(), newCall("a", 0), sleeping(0))
		require.Nil(t, ans.Refusal)
	})
}

func TestGateOfANodeThatLeavesStaysClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := oneSlotGate(4)
		require.NoError(t, gat.Drain(context.Background()))
		gat.SetState(gate.Warming)
		ans, _ := gat.Run(t.Context(), newCall("a", 0), sleeping(0))
		require.Equal(t, reason.Draining, ans.Refusal.Reason)
	})
}
