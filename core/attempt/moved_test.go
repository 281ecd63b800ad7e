package attempt_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/allowance"
	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/locality"
	"flamingoreach/core/member"
	"flamingoreach/core/outcome"
	"flamingoreach/core/pick"
	"flamingoreach/core/reason"
)

// Guards against a call that is lost because it had left the other gates, which were full, for one that then closes, and
// against an ID that is sent again to a gate that has refused it.
func TestACallThatWaitedInAnEvacuatedDataCentreAsksTheFullMembersAgain(t *testing.T) {
	run := newRunner(3)
	run.FreeGates, run.NewID = 4, uuid.New
	// The members are in three data centres, so that an evacuation concerns one of them.
	members := slices.Clone(run.Candidates(call.Call{}))
	for index := range members {
		members[index].DataCentre = fmt.Sprint("d", index)
	}
	run.Candidates = func(call.Call) []member.Member { return members }
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

// Guards against a call that is lost because its node has not heard of the evacuation: the gate that it leaves for was
// asked not to let it wait while members of the evacuated data centre are untried.
func TestACallThatLeavesAnEvacuatedDataCentreWaitsElsewhere(t *testing.T) {
	run := newRunner(0)
	members := []member.Member{
		{ID: "full", Region: "r", DataCentre: "d"},
		{ID: "closed", Region: "r", DataCentre: "e"},
		{ID: "closed too", Region: "r", DataCentre: "e"},
	}
	run.FreeGates, run.NewID = 4, uuid.New
	run.Candidates = func(call.Call) []member.Member { return members }
	run.Choose = func(_ call.Call, candidates []member.Member, tried []string) (member.Member, bool) {
		for _, mem := range candidates {
			if !slices.Contains(tried, mem.ID) {
				return mem, true
			}
		}
		return member.Member{}, false
	}
	pic := pick.New(locality.Locality{Region: "r", DataCentre: "d"})
	run.RefuseWhenFull = pic.RefuseWhenFull
	ans := run.Run(t.Context(), newCall(false), allowance.New(0), func(_ context.Context, mem member.Member, cal call.Call) (answer.Answer, error) {
		ans := refused(cal, outcome.NotRun, true)
		switch {
		case mem.DataCentre == "e":
			ans.Refusal.Reason = reason.DataCentreEvacuated
		case cal.RefuseWhenFull:
			ans.Refusal.Reason = reason.SlotsInUse
		default:
			ans.Refusal = nil
		}
		return ans, nil
	})
	require.Nil(t, ans.Refusal)
	require.Len(t, members, 3, "the candidates are shared")
	require.Equal(t, "closed", members[1].ID, "the candidates are shared")
}
