package gaterig

import (
	"context"
	"math"
	"sync"
	"time"

	"flamingoreach/core/answer"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

// server simulates a backend server whose running calls slow each other above the knee.
type server struct {
	sce   Scenario
	cas   Case
	began time.Time

	mut     sync.Mutex
	running int
	// runningBefore is the number of calls that ran just before instant, the time of the latest change. Service times
	// depend on it rather than on running, so that the order of calls within one instant makes no difference.
	instant       time.Time
	runningBefore int
}

// execute blocks for the service time of a call of the given size, a multiple of the mean, or until the context ends.
func (ser *server) execute(ctx context.Context, size float64) (answer.Answer, any) {
	timer := time.NewTimer(ser.enter(size))
	defer timer.Stop()
	defer ser.leave()
	select {
	case <-timer.C:
		return answer.Answer{}, nil
	case <-ctx.Done():
		return answer.Answer{Refusal: refusal.Unknown(reason.DeadlineExceeded, "gaterig.server")}, nil
	}
}

func (ser *server) enter(size float64) time.Duration {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	now := ser.snapshotRunning()
	ser.running++
	contention := math.Pow(max(1, float64(ser.runningBefore+1)/ser.sce.knee(ser.cas)), ser.sce.ContentionExponent)
	factor := size * contention * ser.sce.serviceTimeFactor(ser.cas, now.Sub(ser.began))
	return time.Duration(factor * float64(ser.sce.ServiceTime.Duration))
}

func (ser *server) leave() {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	ser.snapshotRunning()
	ser.running--
}

// snapshotRunning sets runningBefore to the number of running calls if the clock has advanced since the latest change.
// It must be called before each change of running, and returns the current time.
func (ser *server) snapshotRunning() time.Time {
	now := time.Now()
	if !now.Equal(ser.instant) {
		ser.instant, ser.runningBefore = now, ser.running
	}
	return now
}
