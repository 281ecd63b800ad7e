package timeline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/io/demo/observation"
	"flamingoreach/io/load/account"
	"flamingoreach/io/load/arrival"
	"flamingoreach/io/load/attempt"
)

func observed(offset time.Duration, att attempt.Attempt) observation.Observation {
	return observation.Observation{
		Arrival: arrival.Arrival{Offset: offset, Account: account.Account{Name: "steady"}, WithinRate: true}, Attempt: att,
	}
}

func TestRecoveryEndsWithTheLastUnderservedBin(t *testing.T) {
	tim := New("steady")
	refused := attempt.Attempt{Reason: reason.QueueTimeout, Outcome: outcome.NotRun}
	for offset := time.Duration(0); offset < 4*time.Second; offset += 10 * time.Millisecond {
		att := attempt.Attempt{Complete: true}
		if offset >= time.Second && offset < 1600*time.Millisecond {
			att = refused
		}
		tim.Add(observed(offset, att))
	}
	span, recovered := tim.Recovery(1250*time.Millisecond, 4*time.Second)
	require.True(t, recovered)
	require.Equal(t, 500*time.Millisecond, span)
	_, recovered = tim.Recovery(time.Second, 1500*time.Millisecond)
	require.False(t, recovered)
	require.Equal(t, 60, tim.WrongfulRefusals[reason.QueueTimeout])
	require.Len(t, tim.executed["steady"], 340)
}

func TestLostAnswersCountAsLostAndAsExecuted(t *testing.T) {
	tim := New("steady")
	tim.Add(observed(0, attempt.Attempt{Reason: reason.BackendServerDown, Outcome: outcome.Unknown}))
	tim.Add(observed(0, attempt.Attempt{Reason: reason.BackendServerDown, Outcome: outcome.NotRun}))
	tim.Add(observed(0, attempt.Attempt{Reason: reason.DeadlineExceeded, Outcome: outcome.Unknown}))
	tim.Add(observed(0, attempt.Attempt{Error: "connectionReset"}))
	tim.Add(observed(0, attempt.Attempt{Reason: reason.Quarantined, Outcome: outcome.Unknown}))
	require.Equal(t, 3, tim.AnswersLost)
	require.Len(t, tim.executed["steady"], 3)
}

func TestExcessFindsTheWorstInterval(t *testing.T) {
	tim, start := New("steady"), time.Now()
	run := func(from time.Time, count int, gap time.Duration) {
		for index := range count {
			obs := observed(0, attempt.Attempt{Complete: true})
			obs.Sent = from.Add(time.Duration(index) * gap)
			obs.Done = obs.Sent.Add(time.Millisecond)
			tim.Add(obs)
		}
	}
	run(start, 100, 100*time.Millisecond)
	require.LessOrEqual(t, tim.Excess(10, 5, "steady"), 0.0)
	run(start.Add(20*time.Second), 12, time.Millisecond)
	require.InDelta(t, 12-5, tim.Excess(10, 5, "steady"), 0.2)
	require.Less(t, tim.Excess(10, 5, "other"), 0.0)
}
