package processes_test

import (
	"context"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/load"
	"flamingoreach/io/load/account"
	"flamingoreach/io/load/kind"
	"flamingoreach/io/load/plan"
	"flamingoreach/io/load/result"
	"flamingoreach/io/load/retrypolicy"
)

const (
	// stopBound bounds the stops and restarts at all sites together.
	stopBound = 40 * time.Second
	// stopRequests is more than the calls of one run, so that stopSlice ends the run. stopRate is in calls per second.
	stopRequests = 100_000
	stopRate     = 150
	stopSlice    = 4 * time.Second
	// secondSignalAfter is the time from a SIGTERM to a second one, while the node drains.
	secondSignalAfter = 300 * time.Millisecond
)

// Guards against calls that fail because of a planned stop: at one site after the other, the node and then the backend
// server is stopped by SIGTERM and started again, under load.
func TestPlannedStopsCutNoCall(t *testing.T) {
	fix := startFleet(t, unlimitedAccount("bankA", keyA))
	var targets []netip.AddrPort
	for _, sit := range fix.Sites {
		targets = append(targets, sit.Addresses.Callers)
	}
	done := make(chan struct{})
	results := make(chan []result.Result, 1)
	go func() { results <- sendUntil(done, targets) }()
	ctx := timeoutContext(t, stopBound)
	began := time.Now()
	for number, sit := range fix.Sites {
		t.Logf("%s: stop %s", time.Since(began), sit.Name)
		if number%2 == 1 {
			// A second signal during the stop must not hasten it.
			sit.Node.Signal(syscall.SIGTERM)
			time.Sleep(secondSignalAfter)
		}
		require.NoError(t, sit.Node.Stop(ctx), sit.Node.Log())
		require.NoError(t, fix.StartNode(ctx, sit))
		fix.awaitServing(1, fix.Sites...)
		t.Logf("%s: node back %s", time.Since(began), sit.Name)
		require.NoError(t, sit.Backend.Stop(ctx))
		require.NoError(t, fix.StartBackend(ctx, sit))
		fix.awaitServing(1, fix.Sites...)
	}
	close(done)
	completed := 0
	for _, res := range <-results {
		completed += res.Total.Complete
		t.Logf("slice %d: refused %d, refusals %v, errors %v", res.Seed, res.Total.Refused, res.Refusals, res.Errors)
		require.Zero(t, res.Total.Failed, "%+v", res)
		require.Zero(t, res.Total.Refused, "%+v", res)
		require.False(t, res.HasViolations(), "%+v", res)
		for kind := range res.Errors {
			require.Equal(t, "connectionRefused", kind, "only connections that a stopped node refuses may fail: %+v", res)
		}
	}
	t.Logf("%d calls answered completely", completed)
	require.Positive(t, completed)
}

// sendUntil sends load in runs of stopSlice until done is closed; the last run is completed.
func sendUntil(done <-chan struct{}, targets []netip.AddrPort) []result.Result {
	var results []result.Result
	for seed := uint64(1); ; seed++ {
		select {
		case <-done:
			return results
		default:
		}
		gen, err := load.New(plan.Plan{
			Seed: seed, Targets: targets, Requests: stopRequests, Duration: stopSlice, Connections: 64, Deadline: 4 * time.Second,
			Retry:    retrypolicy.RetryPolicy{Attempts: 4, Backoff: 50 * time.Millisecond, Jitter: 0.5},
			Accounts: []account.Account{{Name: "bankA", Key: keyA, Rate: stopRate}},
			Kinds:    []kind.Kind{{Name: "confirms", Method: "POST", Path: "/confirms?sleep=30ms", BodyBytes: 100, Weight: 1}},
		})
		if err != nil {
			return results
		}
		res, err := gen.Run(context.Background())
		if err != nil {
			return results
		}
		results = append(results, res)
	}
}
