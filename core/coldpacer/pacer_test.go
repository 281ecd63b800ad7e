package coldpacer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/announcement"
	"flamingoreach/core/backendservice"
	"flamingoreach/core/coldpacer"
)

const (
	coldRate  = 7.8
	coldStart = 3 * time.Second
	factor    = 1.5
	slack     = 8.0
	// usable is the bound less the quarter that is kept as a margin.
	usable = (coldRate*factor + slack) * 0.75
)

func newPacer() *coldpacer.Pacer {
	pac := coldpacer.New()
	pac.Configure(backendservice.Service{Name: "s", ColdStart: coldStart, ColdRate: coldRate}, factor, slack)
	return pac
}

// report returns the announcement with a sequence number of a process that started at a time and remains cold for a time.
func report(started time.Time, sequence uint64, coldFor time.Duration) announcement.Announcement {
	return announcement.Announcement{ID: "i", Numbered: true, Sequence: sequence, Started: started, ColdFor: coldFor, ColdKnown: true}
}

// flood takes as many calls as pass within a time, at most one each millisecond, and returns when they passed.
func flood(pac *coldpacer.Pacer, span time.Duration) []time.Time {
	var passed []time.Time
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if pac.Take(time.Now()) <= 0 {
			passed = append(passed, time.Now())
		}
	}
	return passed
}

// most returns the largest number of calls within any second.
func most(passed []time.Time) int {
	largest, first := 0, 0
	for index, at := range passed {
		for at.Sub(passed[first]) > time.Second {
			first++
		}
		largest = max(largest, index-first+1)
	}
	return largest
}

func state(pac *coldpacer.Pacer) string {
	sta, _ := pac.State(time.Now())
	return sta
}

// Guards against a burst, or a sum of burst and rate, that comes near the bound, and against a pace below the cold rate.
func TestACallRateStaysBelowTheBoundAndAtTheColdRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pac := newPacer()
		pac.Announced(report(time.Now(), 1, time.Minute))
		passed := flood(pac, 30*time.Second)
		require.LessOrEqual(t, float64(most(passed)), usable)
		require.InDelta(t, coldRate*30, float64(len(passed)), usable)
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, float64(most(flood(pac, 5*time.Second))), usable, "after a pause")
	})
}

// Guards against a node that forgets the calls that it sent just before it learned that the server is cold.
func TestCallsFromBeforeTheReportCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pac := newPacer()
		started := time.Now().Add(-time.Hour)
		pac.Announced(report(started, 1, 0))
		require.Len(t, flood(pac, 40*time.Millisecond), 40, "a warm server is not paced")
		learned := time.Now()
		pac.Announced(report(started, 2, 3*time.Second))
		passed := flood(pac, 3*time.Second)
		require.Greater(t, passed[0].Sub(learned), 900*time.Millisecond)
		require.LessOrEqual(t, float64(most(passed)), usable)
	})
}

// Guards against a jump of the pace at the end of the cold time, and against a server that stays paced.
func TestThePaceRisesWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pac := newPacer()
		pac.Announced(report(time.Now(), 1, coldStart))
		flood(pac, coldStart)
		early := flood(pac, 250*time.Millisecond)
		require.LessOrEqual(t, float64(len(early)), usable)
		middle := flood(pac, 500*time.Millisecond)
		late := flood(pac, 250*time.Millisecond)
		require.Greater(t, 2*len(late), len(middle))
		require.Equal(t, coldpacer.Warm, state(pac))
		require.Len(t, flood(pac, 100*time.Millisecond), 100)
	})
}

// Guards against a start of the fleet that makes warm servers cold, and against a server that was just started and is taken
// to be warm.
func TestReportAndStartTimeDecideAtTheFirstHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pac := newPacer()
		pac.Announced(report(time.Now(), 1, 0))
		require.Equal(t, coldpacer.Warm, state(pac), "the report precedes the start time")
		silent := report(time.Now().Add(time.Millisecond), 1, 0)
		silent.ColdKnown = false
		pac.Announced(silent)
		require.Equal(t, coldpacer.Cold, state(pac), "a new process that does not report")
		pac = newPacer()
		silent.Started = time.Now().Add(-time.Minute)
		pac.Announced(silent)
		require.Equal(t, coldpacer.Warm, state(pac), "it started long ago")
		pac = coldpacer.New()
		silent.Started = time.Now()
		pac.Announced(silent)
		pac.Configure(backendservice.Service{ColdStart: coldStart, ColdRate: coldRate}, factor, slack)
		require.Equal(t, coldpacer.Cold, state(pac), "the configuration came after the heartbeat")
	})
}

// Guards against an assumption that a heartbeat from before it ends, or that no heartbeat ends.
func TestAnAssumptionHoldsUntilALaterHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now().Add(-time.Hour)
		pac := newPacer()
		pac.Announced(report(started, 5, 0))
		pac.AssumeCold()
		require.Equal(t, coldpacer.AssumedCold, state(pac))
		time.Sleep(300 * time.Millisecond)
		pac.Announced(report(started, 6, 0))
		require.Equal(t, coldpacer.AssumedCold, state(pac), "the heartbeat may have been sent before")
		time.Sleep(1500 * time.Millisecond)
		pac.Announced(report(started, 4, 0))
		require.Equal(t, coldpacer.AssumedCold, state(pac), "the heartbeat is older than the assumption")
		pac.Announced(report(started, 7, 0))
		require.Equal(t, coldpacer.WarmingUp, state(pac))
		pac.AssumeCold()
		pac.Announced(report(started, 8, 2*time.Second))
		require.Equal(t, coldpacer.Cold, state(pac))
		pac.AssumeCold()
		time.Sleep(2 * time.Second)
		unreported := report(started, 9, 0)
		unreported.ColdKnown = false
		pac.Announced(unreported)
		require.Equal(t, coldpacer.AssumedCold, state(pac), "without reports, for the time of a cold start")
		time.Sleep(time.Second)
		unreported.Sequence = 10
		pac.Announced(unreported)
		require.Equal(t, coldpacer.WarmingUp, state(pac))
	})
}

// Guards against the first heartbeat after a silence, which may be old, being taken for the state of the server.
func TestAfterASilenceTheServerIsAssumedCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now().Add(-time.Hour)
		pac := newPacer()
		pac.Announced(report(started, 1, 0))
		time.Sleep(4 * time.Second)
		pac.Announced(report(started, 2, 0))
		require.Equal(t, coldpacer.Warm, state(pac), "two lost heartbeats are no silence")
		time.Sleep(6 * time.Second)
		pac.Announced(report(started, 3, 0))
		require.Equal(t, coldpacer.AssumedCold, state(pac))
		time.Sleep(1500 * time.Millisecond)
		pac.Announced(report(started, 4, 0))
		require.Equal(t, coldpacer.WarmingUp, state(pac))
	})
}

// Guards against a lost heartbeat that makes a server warm early or leaves it cold.
func TestALostHeartbeatLeavesTheLastReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pac := newPacer()
		pac.Announced(report(time.Now().Add(-time.Hour), 1, 2*time.Second))
		time.Sleep(1900 * time.Millisecond)
		rate, cold := pac.Rate(time.Now())
		require.True(t, cold)
		require.Equal(t, coldRate, rate)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, coldpacer.WarmingUp, state(pac))
		time.Sleep(10 * time.Second)
		require.Equal(t, coldpacer.Warm, state(pac))
	})
}

// Guards against a restarted node that sends a burst on top of that of its former process.
func TestARestartedNodeStartsWithoutABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		former := newPacer()
		started := time.Now()
		former.Announced(report(started, 1, coldStart))
		time.Sleep(time.Second)
		passed := flood(former, 200*time.Millisecond)
		pac := newPacer()
		time.Sleep(300 * time.Millisecond)
		pac.Announced(report(started, 2, 2*time.Second))
		passed = append(passed, flood(pac, 2*time.Second)...)
		require.LessOrEqual(t, float64(most(passed)), coldRate*factor+slack)
	})
}

// Guards against pacing where the configuration states no rate, and against an endless wait where it states no bound.
func TestWithoutARateNothingIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pac := coldpacer.New()
		pac.Configure(backendservice.Service{ColdStart: coldStart}, factor, slack)
		pac.Announced(report(time.Now(), 1, time.Minute))
		require.Len(t, flood(pac, 100*time.Millisecond), 100)
		require.False(t, pac.Paces())
		pac.Configure(backendservice.Service{ColdRate: coldRate}, 0, 0)
		time.Sleep(time.Second)
		require.InDelta(t, coldRate*10, float64(len(flood(pac, 10*time.Second))), 2)
		pac.Configure(backendservice.Service{ColdRate: 0.5}, 1, 0)
		require.InDelta(t, 5, float64(len(flood(pac, 10*time.Second))), 2)
	})
}
