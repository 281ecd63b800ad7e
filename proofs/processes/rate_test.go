package processes_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// rate is in calls per second, burst in calls.
	rate     = 60
	burst    = 60
	loadTime = 10 * time.Second
	// rateCallers is the number of callers at each node, ratePause the pause of a caller between two calls.
	rateCallers     = 3
	ratePause       = 30 * time.Millisecond
	killLeaderAfter = 3 * time.Second
	// minAdmittedRatio is the fraction of rate*time that must be admitted: a fleet that refuses nearly all calls would
	// not test the upper bound.
	minAdmittedRatio = 0.3
)

// Guards against an account that gets more than its rate and burst while leaders change: it sends several times its rate
// at all nodes, and the leader of a data centre is killed meanwhile.
func TestAccountGetsNoMoreThanRateAndBurst(t *testing.T) {
	fix := startFleet(t, testAccount{"bankA", keyA, rate, burst})
	running, stop := context.WithTimeout(context.Background(), loadTime)
	defer stop()
	leader := fix.leader("westA")
	var offered atomic.Int64
	var callers sync.WaitGroup
	began := time.Now()
	for _, sit := range fix.Sites {
		for range rateCallers {
			cli := newClient(t, sit.Addresses.Callers)
			callers.Go(func() {
				for running.Err() == nil {
					offered.Add(1)
					cli.call(keyA, "/confirms", "")
					time.Sleep(ratePause)
				}
			})
		}
	}
	time.Sleep(killLeaderAfter)
	fix.Sites[leader].Node.Kill()
	callers.Wait()
	elapsed := time.Since(began)
	executions, err := fix.Executions()
	require.NoError(t, err)
	allowed := rate*elapsed.Seconds() + burst
	t.Logf("offered %d, ran %d, allowed %.0f in %s", offered.Load(), len(executions), allowed, elapsed)
	require.Greater(t, float64(offered.Load()), 2*allowed, "the load was too small to reach the bound")
	require.LessOrEqual(t, float64(len(executions)), allowed)
	require.Greater(t, float64(len(executions)), minAdmittedRatio*rate*elapsed.Seconds())
}
