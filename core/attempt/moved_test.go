package attempt_test

import (
	"context"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/allowance"
	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/member"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
)

// Guards against a call that is lost because it had left the other gates, which were full, for one that then closes, and
// against an ID that is sent again to a gate that has refused it.
func TestACallThatWaitedInAnEvacuatedDataCentreAsksTheFullMembersAgain(t *testing.T) {
	run := newRunner(3)
	run.FreeGates, run.NewID = 4, uuid.New
	cal := newCall(false)
	delivered := map[string]bool{}
	var tried []string
	ans := run.Run(t.Context(), cal, allowance.New(0), func(_ context.Context, mem member.Member, cal call.Call) (answer.Answer, error) {
		require.False(t, delivered[mem.ID+cal.ID.String()])
		delivered[mem.ID+cal.ID.String()] = true
		tried = append(tried, mem.ID)
		ans := refused(cal, outcome.NotRun, true)
		switch len(tried) {
		case 1, 2:
			ans.Refusal.Reason = reason.SlotsInUse
		case 3:
			ans.Refusal.Reason = reason.DataCentreEvacuated
		default:
			ans.Refusal = nil
		}
		return ans, nil
	})
	require.Nil(t, ans.Refusal)
	require.Equal(t, cal.ID, ans.CallID)
	require.Len(t, tried, 4)
	require.NotEqual(t, tried[2], tried[3])

	run.Candidates = func(call.Call) []member.Member { return nil }
	run.WhyNone = func(call.Call) reason.Reason { return reason.DataCentreEvacuated }
	ans = run.Run(t.Context(), newCall(true), allowance.New(0), nil)
	require.Equal(t, reason.DataCentreEvacuated, ans.Refusal.Reason)
	require.Positive(t, ans.Refusal.RetryAfter)
}
