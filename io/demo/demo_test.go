package demo

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/control"
	"flamingoreach/io/demo/observation"
	"flamingoreach/io/load/account"
	"flamingoreach/io/load/arrival"
	"flamingoreach/io/load/attempt"
	"flamingoreach/io/load/result"
	"flamingoreach/io/localfleet"
)

func TestDemoFindsNoViolation(t *testing.T) {
	lines := 0
	dem := New(func(time.Duration, string) { lines++ }, log.New(io.Discard))
	sum, err := dem.Run(context.Background())
	require.NoError(t, err)
	require.Empty(t, sum.Violations)
	require.Equal(t, len(sites()), sum.Load.RecordsRead)
	require.Positive(t, sum.Load.Total.Complete)
	require.Positive(t, sum.Load.Refusals["keyWithdrawn"], "the key was in use")
	require.Positive(t, lines)
}

func TestDemoReportsEachViolation(t *testing.T) {
	dem := New(func(time.Duration, string) {}, log.New(io.Discard))
	dem.fleet = &localfleet.Fleet{}
	dem.withdrawnAt = time.Now()
	late := dem.withdrawnAt.Add(maxWithdrawnKeyUse + time.Second)
	dem.timeline.Add(observation.Observation{
		Arrival: arrival.Arrival{Account: account.Account{Name: withdrawnKeyAccount}},
		Attempt: attempt.Attempt{Complete: true}, Sent: late, Done: late,
	})
	dem.timeline.Add(observation.Observation{Attempt: attempt.Attempt{Error: "truncated"}})
	for range 50 {
		dem.timeline.Add(observation.Observation{
			Arrival: arrival.Arrival{Account: account.Account{Name: "bank-c"}}, Attempt: attempt.Attempt{Complete: true},
		})
	}
	dem.summary.Load = result.Result{Elapsed: time.Second, Duplicates: 1, Mismatched: 1, FalseNotRun: 1, RecordsFailed: 1}
	dem.thread = control.New(1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- dem.thread.Run(ctx) }()
	require.NoError(t, dem.checkGuarantees(ctx))
	cancel()
	require.NoError(t, <-ended)
	require.Len(t, dem.summary.Violations, 7)
}
