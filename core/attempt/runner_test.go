package attempt_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/allowance"
	"flamingoreach/core/answer"
	"flamingoreach/core/attempt"
	"flamingoreach/core/call"
	"flamingoreach/core/locality"
	"flamingoreach/core/member"
	"flamingoreach/core/outcome"
	"flamingoreach/core/pick"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

type sender func(ctx context.Context, mem member.Member, cal call.Call) (answer.Answer, error)

func newRunner(members int) *attempt.Runner {
	pic := pick.New(locality.Locality{Region: "r", DataCentre: "d"})
	var list []member.Member
	for index := range members {
		list = append(list, member.Member{ID: fmt.Sprint("m", index), Region: "r", DataCentre: "d", Slots: 10})
	}
	return &attempt.Runner{
		Candidates: func(call.Call) []member.Member { return list },
		Choose:     pic.Choose,
		OnSend:     pic.RecordSent,
		OnAnswer:   pic.RecordAnswer,
		OnLost:     pic.RecordLost,
		OnCancel:   pic.RecordCancelled,
		SpendRetry: func(string) bool { return true },
		EarnRetry:  func(string) {},
		OnRetry:    func(reason.Reason) {},
	}
}

func newCall(idempotent bool) call.Call {
	return call.Call{ID: uuid.New(), Idempotent: idempotent, Deadline: time.Now().Add(time.Second)}
}

func refused(cal call.Call, oc outcome.Outcome, elsewhere bool) answer.Answer {
	return answer.Answer{CallID: cal.ID, AllowanceLeft: cal.Allowance, Refusal: &refusal.Refusal{Reason: reason.QueueFull, Outcome: oc, Elsewhere: elsewhere}}
}

func TestAttemptsByOutcome(t *testing.T) {
	cases := map[string]struct {
		idempotent, elsewhere bool
		first                 outcome.Outcome
		attempts              int
		last                  outcome.Outcome
	}{
		"not run, elsewhere":         {false, true, outcome.NotRun, 3, outcome.NotRun},
		"not run, nowhere":           {true, false, outcome.NotRun, 1, outcome.NotRun},
		"unknown, not idempotent":    {false, true, outcome.Unknown, 1, outcome.Unknown},
		"unknown, idempotent":        {true, true, outcome.Unknown, 3, outcome.Unknown},
		"unknown, then only not run": {true, true, outcome.Unknown, 3, outcome.Unknown},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			sent := 0
			send := func(_ context.Context, _ member.Member, cal call.Call) (answer.Answer, error) {
				sent++
				if sent > 1 && name == "unknown, then only not run" {
					return refused(cal, outcome.NotRun, true), nil
				}
				return refused(cal, cas.first, cas.elsewhere), nil
			}
			ans := newRunner(4).Run(t.Context(), newCall(cas.idempotent), allowance.New(2), send)
			require.Equal(t, cas.attempts, sent)
			require.Equal(t, cas.last, ans.Refusal.Outcome)
		})
	}
}

func TestACallWithIdempotencyKeyIsRetriedOnlyIfTheOwnerRefusesAllCalls(t *testing.T) {
	for why, attempts := range map[reason.Reason]int{
		reason.QueueFull: 1, reason.PeerUnreachable: 1, reason.Draining: 3, reason.BackendServerDown: 3,
	} {
		sent := 0
		send := func(_ context.Context, _ member.Member, cal call.Call) (answer.Answer, error) {
			sent++
			ans := refused(cal, outcome.NotRun, true)
			ans.Refusal.Reason = why
			return ans, nil
		}
		cal := newCall(false)
		cal.IdempotencyKey = "k"
		newRunner(4).Run(t.Context(), cal, allowance.New(2), send)
		require.Equal(t, attempts, sent, why)
	}
}

func TestADeniedRetryIsReportedWithItsReason(t *testing.T) {
	for why, extra := range map[reason.Reason]int{reason.AllowanceSpent: 0, reason.RetryBudgetSpent: 2} {
		run := newRunner(4)
		var denied []reason.Reason
		run.OnRetryDenied = func(why reason.Reason) { denied = append(denied, why) }
		run.SpendRetry = func(string) bool { return false }
		run.Run(t.Context(), newCall(true), allowance.New(extra), func(_ context.Context, _ member.Member, cal call.Call) (answer.Answer, error) {
			return refused(cal, outcome.NotRun, true), nil
		})
		require.Equal(t, []reason.Reason{why}, denied)
	}
}

func TestAnswerWithAnotherCallIDIsNotPassedOn(t *testing.T) {
	send := func(context.Context, member.Member, call.Call) (answer.Answer, error) {
		return answer.Answer{CallID: uuid.New()}, nil
	}
	ans := newRunner(1).Run(t.Context(), newCall(false), allowance.New(0), send)
	require.Equal(t, reason.AnswerMismatched, ans.Refusal.Reason)
	require.Equal(t, outcome.Unknown, ans.Refusal.Outcome)
}

func TestCallWithoutCandidatesIsNotRun(t *testing.T) {
	ans := newRunner(0).Run(t.Context(), newCall(true), allowance.New(2), nil)
	require.Equal(t, reason.NoBackendServer, ans.Refusal.Reason)
	require.Equal(t, outcome.NotRun, ans.Refusal.Outcome)
}

func TestCancelledCallMakesNoFurtherAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		sent := 0
		send := func(ctx context.Context, _ member.Member, _ call.Call) (answer.Answer, error) {
			sent++
			<-ctx.Done()
			return answer.Answer{}, ctx.Err()
		}
		ans := newRunner(4).Run(ctx, newCall(true), allowance.New(2), send)
		require.Equal(t, 1, sent)
		require.Equal(t, reason.DeadlineExceeded, ans.Refusal.Reason)
		require.Equal(t, outcome.Unknown, ans.Refusal.Outcome)
	})
}

// chain is a call tree in which each backend server makes one deeper call, and every execution fails after it.
type chain struct {
	depth      int
	executions int
	run        *attempt.Runner
	// lend returns the allowance for a deeper call. The test replaces it by one that gives each level an allowance of
	// its own, to show that the bound then does not hold.
	lend func(alw *allowance.Allowance) int
}

func (cha *chain) send(level int) sender {
	return func(ctx context.Context, _ member.Member, cal call.Call) (answer.Answer, error) {
		cha.executions++
		below := allowance.New(cal.Allowance)
		if level < cha.depth {
			lent := cha.lend(below)
			ans := cha.run.Run(ctx, newCall(true), allowance.New(lent), cha.send(level+1))
			below.Return(ans.AllowanceLeft)
		}
		ans := refused(cal, outcome.Unknown, true)
		ans.AllowanceLeft = below.Left()
		return ans, nil
	}
}

func TestExecutionsAreBoundedByTheRootAllowance(t *testing.T) {
	const depth, extra = 12, 2
	cha := &chain{depth: depth, run: newRunner(8), lend: (*allowance.Allowance).Lend}
	cha.run.Run(t.Context(), newCall(true), allowance.New(extra), cha.send(1))
	require.LessOrEqual(t, cha.executions, depth*(1+extra))
	require.Greater(t, cha.executions, depth)

	mutant := &chain{depth: 8, run: newRunner(8), lend: func(*allowance.Allowance) int { return extra }}
	mutant.run.Run(t.Context(), newCall(true), allowance.New(extra), mutant.send(1))
	require.Greater(t, mutant.executions, 8*(1+extra), "without a common allowance of the request tree, retries multiply by level")
}
