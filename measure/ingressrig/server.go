package ingressrig

import (
	"context"
	"math"
	"sync"
	"time"
)

// restartTime is the time that a crashed backend server takes to restart.
const restartTime = 2 * time.Second

// server simulates a backend server that can crash, and whose running calls slow each other above its slots.
type server struct {
	slots              int
	contentionExponent float64
	// serviceTime returns the current service time of a call of size 1.
	serviceTime func() time.Duration

	mut     sync.Mutex
	running int
	// runningBefore is the number of calls that ran just before instant, the time of the latest change. Service times
	// depend on it rather than on running, so that the order of calls within one instant makes no difference.
	instant       time.Time
	runningBefore int
	// died is closed when the process crashes; a restart replaces it.
	died chan struct{}
	down bool
}

func newServer(slots int, contentionExponent float64, serviceTime func() time.Duration) *server {
	return &server{slots: slots, contentionExponent: contentionExponent, serviceTime: serviceTime, died: make(chan struct{})}
}

// enter adds a running call. It returns the factor by which the running calls slow each other, the channel that a crash
// closes, and false if the process is down.
func (ser *server) enter() (factor float64, died chan struct{}, up bool) {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	if ser.down {
		return 0, nil, false
	}
	ser.snapshotRunning()
	ser.running++
	return math.Pow(max(1, float64(ser.runningBefore+1)/float64(ser.slots)), ser.contentionExponent), ser.died, true
}

func (ser *server) leave() {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	ser.snapshotRunning()
	ser.running--
}

// snapshotRunning sets runningBefore to the number of running calls if the clock has advanced since the latest change.
// It must be called before each change of running.
func (ser *server) snapshotRunning() {
	if now := time.Now(); !now.Equal(ser.instant) {
		ser.instant, ser.runningBefore = now, ser.running
	}
}

// work blocks for the service time of a call of the given size and reports whether the process is still alive. It
// returns early when the process crashes or the context ends.
func (ser *server) work(ctx context.Context, died chan struct{}, size float64) (alive bool, err error) {
	timer := time.NewTimer(time.Duration(size * float64(ser.serviceTime())))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true, nil
	case <-died:
		return false, nil
	case <-ctx.Done():
		return true, ctx.Err()
	}
}

// crash ends the process and reports whether it was running.
func (ser *server) crash() bool {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	if ser.down {
		return false
	}
	ser.down = true
	close(ser.died)
	return true
}

func (ser *server) restart() {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	ser.down = false
	ser.died = make(chan struct{})
}
