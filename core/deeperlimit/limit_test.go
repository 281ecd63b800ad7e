package deeperlimit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/answer"
	"flamingoreach/core/deeperlimit"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

// enter enters calls until the first refusal and returns how many were admitted.
func enter(lim *deeperlimit.Limit, priority int) int {
	count := 0
	for lim.Enter("deep", priority) == nil {
		count++
	}
	return count
}

func TestCallsToAServiceThatShedsLeaveSlotsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 40
		lim := deeperlimit.New(slots)
		require.Equal(t, slots, enter(lim, 1), "the bound is the number of slots until the service sheds")
		shed := answer.Answer{Refusal: refusal.NotRun(reason.QueueTimeout, "test")}
		for range slots {
			time.Sleep(200 * time.Millisecond)
			lim.Leave("deep", shed)
		}
		important := enter(lim, 2)
		require.Equal(t, slots*35/100, important, "calls of the highest priority keep their fraction of the slots")
		require.Error(t, lim.Enter("deep", 1))
		require.NoError(t, asError(lim.Enter("other", 1)), "another service has a bound of its own")
		for range important {
			lim.Leave("deep", answer.Answer{})
		}
		few := enter(lim, 1)
		require.Positive(t, few)
		require.Less(t, few, slots/4)
		for range 5000 {
			lim.Leave("deep", answer.Answer{})
			require.NoError(t, asError(lim.Enter("deep", 1)))
		}
		require.Greater(t, few+enter(lim, 1), slots/2, "the bound grows when the service answers again")
	})
}

func asError(ref *refusal.Refusal) error {
	if ref == nil {
		return nil
	}
	return ref
}
