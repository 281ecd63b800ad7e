package room

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// Room is a number of bytes that several bodies share; a nil *Room has no bound. It is safe for concurrent use.
type Room struct {
	max  int64
	free *semaphore.Weighted
	used atomic.Int64
}

// New returns a room of the given number of bytes.
func New(bytes int64) *Room { return &Room{max: bytes, free: semaphore.NewWeighted(bytes)} }

// Take reports whether there was room for a number of bytes, and takes it.
func (roo *Room) Take(bytes int64) bool {
	if roo == nil {
		return true
	}
	if !roo.free.TryAcquire(bytes) {
		return false
	}
	roo.used.Add(bytes)
	return true
}

// Await takes room for a number of bytes, at most the whole room, once there is some, in the order of the calls, and
// returns the number that it took; it fails with the context's error.
func (roo *Room) Await(ctx context.Context, bytes int64) (int64, error) {
	if roo == nil {
		return 0, nil
	}
	bytes = min(bytes, roo.max)
	if err := roo.free.Acquire(ctx, bytes); err != nil {
		return 0, err
	}
	roo.used.Add(bytes)
	return bytes, nil
}

// GiveBack returns bytes that were taken.
func (roo *Room) GiveBack(bytes int64) {
	if roo != nil && bytes > 0 {
		roo.used.Add(-bytes)
		roo.free.Release(bytes)
	}
}

// Used returns the number of bytes that are taken.
func (roo *Room) Used() int64 { return roo.used.Load() }
