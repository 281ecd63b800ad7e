package gate_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/announcement"
	"flamingoreach/core/answer"
	"flamingoreach/core/backendservice"
	"flamingoreach/core/call"
	"flamingoreach/core/coldpacer"
	"flamingoreach/core/gate"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
)

const (
	coldRate  = 7.8
	coldStart = 3 * time.Second
	// usableBound is the bound of 19.7 requests per second less the quarter that is kept as a margin.
	usableBound = (coldRate*1.5 + 8) * 0.75
)

// coldServer is a backend server that records when calls reach it, beside a gate that paces them.
type coldServer struct {
	gate  *gate.Gate
	pacer *coldpacer.Pacer

	mut     sync.Mutex
	arrived []time.Time
	// deeper counts the deeper calls that arrived.
	deeper  int
	refused map[reason.Reason]int
	calls   sync.WaitGroup
}

func newColdServer() *coldServer {
	ser := &coldServer{
		gate:  gate.New(gatepolicy.Policy{Slots: 100, QueueLength: 200, QueueWait: time.Second, MaxDeeperReserve: 0.5, Off: gatepolicy.AdaptiveLimit | gatepolicy.QueueDelay | gatepolicy.AdmissionLevel}),
		pacer: coldpacer.New(), refused: map[reason.Reason]int{},
	}
	ser.pacer.Configure(backendservice.Service{ColdStart: coldStart, ColdRate: coldRate}, 1.5, 8)
	ser.gate.SetPace(ser.pacer.Take, ser.pacer.Rate)
	return ser
}

func (ser *coldServer) report(started time.Time, sequence uint64, coldFor time.Duration) {
	ser.pacer.Announced(announcement.Announcement{ID: "i", Numbered: true, Sequence: sequence, Started: started, ColdFor: coldFor, ColdKnown: true})
}

// surge sends calls at a rate for a time, whatever their answers are.
func (ser *coldServer) surge(rate int, span time.Duration, change func(cal *call.Call, number int)) {
	for number := range int(span.Seconds() * float64(rate)) {
		cal := newCall("a", 0)
		change(&cal, number)
		ser.calls.Go(func() { ser.send(cal) })
		time.Sleep(time.Second / time.Duration(rate))
	}
}

func (ser *coldServer) send(cal call.Call) {
	ans, _ := ser.gate.Run(context.Background(), cal, func(context.Context) (answer.Answer, any) {
		ser.mut.Lock()
		ser.arrived = append(ser.arrived, time.Now())
		if cal.Depth > 0 {
			ser.deeper++
		}
		ser.mut.Unlock()
		time.Sleep(50 * time.Millisecond)
		return answer.Answer{}, nil
	})
	if ans.Refusal != nil {
		ser.mut.Lock()
		ser.refused[ans.Refusal.Reason]++
		ser.mut.Unlock()
	}
}

// most returns the largest number of calls that arrived within any second.
func (ser *coldServer) most() float64 {
	largest, first := 0, 0
	for index, at := range ser.arrived {
		for at.Sub(ser.arrived[first]) > time.Second {
			first++
		}
		largest = max(largest, index-first+1)
	}
	return float64(largest)
}

func unchanged(*call.Call, int) {}

func mayQueueOrNot(cal *call.Call, number int) { cal.RefuseWhenFull = number%2 == 0 }

// Guards against a surge that reaches a server which has just started. Without the pace, 200 requests a second reach it.
func TestASurgeAtAServerThatHasJustStartedStaysBelowTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ser := newColdServer()
		ser.report(time.Now(), 1, coldStart)
		ser.surge(200, coldStart, mayQueueOrNot)
		ser.mut.Lock()
		count, most := len(ser.arrived), ser.most()
		ser.mut.Unlock()
		ser.calls.Wait()
		require.GreaterOrEqual(t, float64(count), coldRate*coldStart.Seconds()-1, "the server is used at its cold rate")
		require.LessOrEqual(t, most, usableBound)
		require.Positive(t, ser.refused[reason.BackendServerCold])
	})
}

// Guards against calls that are spent or lost when they are refused as cold, and against a load that makes the gate look
// idle.
func TestACallAboveThePaceIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ser := newColdServer()
		ser.report(time.Now(), 1, coldStart)
		cal := newCall("a", 0)
		cal.RefuseWhenFull = true
		ans, _ := ser.gate.Run(t.Context(), cal, sleeping(0))
		require.Equal(t, reason.BackendServerCold, ans.Refusal.Reason)
		require.Equal(t, outcome.NotRun, ans.Refusal.Outcome)
		require.True(t, ans.Refusal.Elsewhere)
		require.False(t, ans.Refusal.Offered, "it costs no retry")
		require.GreaterOrEqual(t, ans.Load, 1.0)
		began := time.Now()
		ans, _ = ser.gate.Run(t.Context(), newCall("a", 0), sleeping(0))
		require.Nil(t, ans.Refusal, "a call that may wait gets the next turn")
		require.InDelta(t, 1/coldRate, time.Since(began).Seconds(), 0.001)
		cal = newCall("a", 0)
		cal.QueueWait = time.Millisecond
		ans, _ = ser.gate.Run(t.Context(), cal, sleeping(0))
		require.Equal(t, reason.BackendServerCold, ans.Refusal.Reason, "its turn comes too late")
		require.Positive(t, ans.Refusal.RetryAfter)
	})
}

// Guards against new calls that take the turns of calls which running requests wait for.
func TestDeeperCallsGoFirstWhileTheServerIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ser := newColdServer()
		ser.report(time.Now(), 1, time.Minute)
		ser.surge(100, 10*time.Second, func(cal *call.Call, number int) {
			if number%20 == 0 {
				cal.Depth, cal.Account = 1, ""
			}
		})
		ser.calls.Wait()
		require.GreaterOrEqual(t, ser.deeper, 48, "nearly all of 50 deeper calls at 5 a second have a turn at 7.8 a second")
		require.LessOrEqual(t, ser.most(), usableBound)
	})
}

// Guards against a server that becomes cold during an evacuation, reports it late, and gets the load of its data centre.
func TestAServerThatIsAssumedColdIsPacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ser := newColdServer()
		started := time.Now().Add(-time.Hour)
		ser.report(started, 1, 0)
		ser.surge(100, time.Second, unchanged)
		ser.calls.Wait()
		require.Greater(t, ser.most(), 90.0, "a warm server is not paced")
		time.Sleep(2 * time.Second)
		ser.arrived = nil
		ser.pacer.AssumeCold()
		ser.surge(100, 700*time.Millisecond, mayQueueOrNot)
		ser.report(started, 2, 2*time.Second)
		ser.surge(100, 1500*time.Millisecond, mayQueueOrNot)
		ser.report(started, 3, 500*time.Millisecond)
		ser.surge(100, 400*time.Millisecond, mayQueueOrNot)
		ser.mut.Lock()
		most := ser.most()
		ser.mut.Unlock()
		time.Sleep(2 * time.Second)
		ser.calls.Wait()
		require.LessOrEqual(t, most, usableBound)
		ser.arrived = nil
		ser.surge(100, time.Second, unchanged)
		ser.calls.Wait()
		require.Greater(t, ser.most(), 90.0, "the server is warm again")
	})
}

// Guards against waiting calls that stay behind when the server turns out to be warm, or when the pace is switched off.
func TestWaitingCallsRunWhenThePaceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ser := newColdServer()
		ser.report(time.Now(), 1, time.Minute)
		ser.surge(1000, 6*time.Millisecond, unchanged)
		require.Less(t, len(ser.arrived), 2)
		ser.gate.SetPace(nil, nil)
		synctest.Wait()
		require.Len(t, ser.arrived, 6)
		ser.calls.Wait()
		require.Empty(t, ser.refused)
	})
}

// Guards against a timer of the former pace, up to a second long, that holds up the waiting calls of a server which warms up.
func TestAFasterPaceDoesNotWaitForTheTimerOfTheFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ser := newColdServer()
		rate := func(time.Time) (float64, bool) { return coldRate, true }
		paceFrom := func(from time.Time) func(now time.Time) time.Duration {
			return func(now time.Time) time.Duration { return max(0, from.Sub(now)) }
		}
		began := time.Now()
		ser.gate.SetPace(paceFrom(began.Add(700*time.Millisecond)), rate)
		ser.surge(1000, 2*time.Millisecond, unchanged)
		ser.gate.SetPace(paceFrom(began.Add(50*time.Millisecond)), rate)
		ser.calls.Wait()
		require.Empty(t, ser.refused)
		require.Equal(t, []time.Time{began.Add(50 * time.Millisecond), began.Add(50 * time.Millisecond)}, ser.arrived)
	})
}

// Guards against a planned stop that waits for calls which the pace holds up for too long, or loses them.
func TestADrainEndsThePacedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ser := newColdServer()
		ser.report(time.Now(), 1, time.Minute)
		ser.surge(1000, 5*time.Millisecond, unchanged)
		began := time.Now()
		require.NoError(t, ser.gate.Drain(t.Context()))
		require.LessOrEqual(t, time.Since(began), 1100*time.Millisecond)
		ser.calls.Wait()
		require.Len(t, ser.arrived, 5)
	})
}

// Guards against a jump of the load when many servers become warm at the same moment.
func TestManyServersThatBecomeWarmAtOnceTakeTheirLoadGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, rate, interval = 20, 200, 100 * time.Millisecond
		began := time.Now()
		var surges sync.WaitGroup
		servers := make([]*coldServer, count)
		for index := range servers {
			servers[index] = newColdServer()
			servers[index].report(began, 1, coldStart)
			surges.Go(func() { servers[index].surge(rate, coldStart+2*time.Second, mayQueueOrNot) })
		}
		surges.Wait()
		arrived := make([]int, int((coldStart+2*time.Second)/interval))
		for _, ser := range servers {
			ser.calls.Wait()
			for _, at := range ser.arrived {
				if index := int(at.Sub(began) / interval); index < len(arrived) {
					arrived[index]++
				}
			}
		}
		// All servers together get 16 calls in an interval at the cold rate and 400 when they are warm.
		warm := int(coldStart / interval)
		require.LessOrEqual(t, arrived[warm], 60, "at the end of the cold time")
		for index := warm + 1; index < warm+10; index++ {
			require.LessOrEqual(t, arrived[index], 3*max(arrived[index-1], count), "interval %d of %v", index, arrived)
		}
		require.GreaterOrEqual(t, arrived[len(arrived)-1], count*int(rate*interval/time.Second))
	})
}
