package tally

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/io/load/account"
	"flamingoreach/io/load/arrival"
	"flamingoreach/io/load/attempt"
	"flamingoreach/io/load/kind"
	"flamingoreach/io/load/report"
)

var (
	notRun  = attempt.Attempt{Reason: reason.QueueFull, Outcome: outcome.NotRun}
	unknown = attempt.Attempt{Reason: reason.PeerUnreachable, Outcome: outcome.Unknown}
	answer  = attempt.Attempt{Complete: true}
	unsent  = attempt.Attempt{Error: "connectionRefused", Unsent: true}
)

func TestCheckExecutionsComparesThemWithAnswers(t *testing.T) {
	once, keyed, idempotent := kind.Kind{}, kind.Kind{IdempotencyKey: true}, kind.Kind{Idempotent: true}
	for name, tc := range map[string]struct {
		kind        kind.Kind
		attempts    []attempt.Attempt
		runs        int
		duplicates  int
		falseNotRun int
	}{
		"one answer, one run":                {once, []attempt.Attempt{notRun, answer}, 1, 0, 0},
		"one answer, two runs":               {once, []attempt.Attempt{notRun, answer}, 2, 1, 0},
		"caller retries what may have run":   {once, []attempt.Attempt{unknown, answer}, 2, 0, 0},
		"what was not sent cannot have run":  {once, []attempt.Attempt{unsent, answer}, 2, 1, 0},
		"key bounds the executions":          {keyed, []attempt.Attempt{unknown, answer}, 2, 1, 0},
		"executed though refused as not run": {idempotent, []attempt.Attempt{notRun, notRun}, 1, 0, 1},
		"idempotent requests may run twice":  {idempotent, []attempt.Attempt{answer}, 2, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tal := New(1)
			due := arrival.Arrival{ID: uuid.New(), Kind: tc.kind}
			tal.Add(report.Report{Arrival: due, Attempts: tc.attempts, FinalState: "whole"})
			tal.CheckExecutions(map[string]int{due.ID.String(): tc.runs, "of another run": 9}, 1, 0)
			res := tal.Result(time.Second)
			require.Equal(t, tc.duplicates, res.Duplicates)
			require.Equal(t, tc.falseNotRun, res.FalseNotRun)
		})
	}
}

func TestResultNamesTheWorstServedAccount(t *testing.T) {
	tal := New(1)
	finish := func(name, end string) {
		tal.Add(report.Report{Arrival: arrival.Arrival{ID: uuid.New(), Account: account.Account{Name: name}}, FinalState: end, Elapsed: time.Second})
	}
	finish("one", "whole")
	finish("two", "whole")
	finish("two", "refused")
	res := tal.Result(2 * time.Second)
	name, share := res.WorstServed()
	require.Equal(t, "two", name)
	require.InDelta(t, 0.5, share, 0)
	require.InDelta(t, 1, res.Goodput, 0)
	require.InEpsilon(t, time.Second, res.Latency.P50, 0.01)
}

func TestRefusalWithinTheAllowedRateIsWrongful(t *testing.T) {
	tal := New(1)
	for _, within := range []bool{true, false} {
		due := arrival.Arrival{ID: uuid.New(), WithinRate: within}
		tal.Add(report.Report{Arrival: due, Attempts: []attempt.Attempt{notRun}, FinalState: "refused"})
	}
	total := tal.Result(time.Second).Total
	require.Equal(t, []int{2, 1, 1}, []int{total.Refused, total.WithinRate, total.WrongfulRefusals})
}

func TestReusedCallIDIsViolation(t *testing.T) {
	tal := New(1)
	for range 2 {
		att := attempt.Attempt{Complete: true, CallID: "same"}
		tal.Add(report.Report{Arrival: arrival.Arrival{ID: uuid.New()}, Attempts: []attempt.Attempt{att}, FinalState: "whole"})
	}
	require.True(t, tal.Result(time.Second).HasViolations())
}
