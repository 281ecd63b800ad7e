package hostswait

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// longestWait is how long a call waits until the hosts are known, which takes some round trips after the start of the
	// process. maxWaiting bounds the calls that do.
	longestWait = time.Second
	maxWaiting  = 256
)

// Wait holds up calls until the hosts are known; it is safe for concurrent use.
type Wait struct {
	known   chan struct{}
	once    sync.Once
	waiting atomic.Int64
}

// New returns a wait for hosts that are not known yet.
func New() *Wait { return &Wait{known: make(chan struct{})} }

// End ends the wait for good.
func (wai *Wait) End() { wai.once.Do(func() { close(wai.known) }) }

// Over reports whether the hosts are known.
func (wai *Wait) Over() bool {
	select {
	case <-wai.known:
		return true
	default:
		return false
	}
}

// Await waits up to longestWait until the hosts are known, and reports whether they are.
func (wai *Wait) Await(ctx context.Context) bool {
	defer wai.waiting.Add(-1)
	if wai.waiting.Add(1) > maxWaiting {
		return false
	}
	timer := time.NewTimer(longestWait)
	defer timer.Stop()
	select {
	case <-wai.known:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
