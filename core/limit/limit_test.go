package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/limit"
)

// drive keeps the limit fully used for a time and returns it; latency is a function of the number of running calls.
func drive(lim *limit.Limit, now *time.Time, span time.Duration, latency func(running int) time.Duration) int {
	for end := now.Add(span); now.Before(end); {
		running := lim.Value()
		taken := latency(running)
		*now = now.Add(taken)
		for range running {
			lim.Observe(*now, taken, running)
		}
	}
	return lim.Value()
}

// kneeLatency returns a latency that is constant up to knee running calls and proportional to their number above.
func kneeLatency(knee int) func(int) time.Duration {
	return func(running int) time.Duration {
		return 20 * time.Millisecond * time.Duration(max(running, knee)) / time.Duration(knee)
	}
}

func TestTheLimitReachesTheSlotsAfterASlowStart(t *testing.T) {
	lim, now := limit.New(90), time.Unix(0, 0)
	require.Less(t, lim.Value(), 30)
	require.True(t, lim.Starting())
	require.Equal(t, 90, drive(lim, &now, time.Second, kneeLatency(90)))
	require.False(t, lim.Starting())
}

func TestTheLimitFallsIfMoreCallsOnlyAddLatency(t *testing.T) {
	lim, now := limit.New(200), time.Unix(0, 0)
	value := drive(lim, &now, 30*time.Second, kneeLatency(20))
	require.Less(t, value, 80)
	require.GreaterOrEqual(t, value, 20)
}

func TestASlowDeeperServiceDoesNotKeepTheLimitDown(t *testing.T) {
	lim, now := limit.New(90), time.Unix(0, 0)
	drive(lim, &now, 5*time.Second, kneeLatency(90))
	slow := func(int) time.Duration { return 200 * time.Millisecond }
	require.Equal(t, 90, drive(lim, &now, 20*time.Second, slow))
	require.Equal(t, 90, drive(lim, &now, 5*time.Second, kneeLatency(90)))
}
