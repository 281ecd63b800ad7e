package room

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// giveWayAfter is the time for which a holder may hold room at its client's pace before it can be asked to give way.
	giveWayAfter = 2 * time.Second
	// lookInterval is the interval at which a waiter looks for a holder that gives way.
	lookInterval = 100 * time.Millisecond
)

var errNoRoom = errors.New("there is no room")

// Room is a number of bytes that several bodies share; a nil *Room has no bound. It is safe for concurrent use.
type Room struct {
	// OnGiveWay, if set, is called for each holder that is asked to give way, with its kind, the bytes that it holds, and
	// those that are taken of the room and that it has. The room is locked meanwhile.
	OnGiveWay func(kind string, held, used, bytes int64)

	// whole is the room that this one is a part of, or nil.
	whole   *Room
	gaveWay atomic.Int64

	mut       sync.Mutex
	max, used int64
	// paced holds the holders whose clients set the pace.
	paced map[*Holder]struct{}
	// waiting holds those that wait for room, in the order in which they get it.
	waiting []*waiter
}

// waiter waits until a number of bytes was taken for it.
type waiter struct {
	bytes int64
	taken chan struct{}
}

// New returns a room of the given number of bytes.
func New(bytes int64) *Room { return &Room{max: bytes, paced: map[*Holder]struct{}{}} }

// Part returns a room of the given number of bytes whose bytes are taken from this room too.
func (roo *Room) Part(bytes int64) *Room {
	part := New(bytes)
	part.whole = roo
	return part
}

// Max returns the number of bytes of the room.
func (roo *Room) Max() int64 {
	if roo == nil {
		return math.MaxInt64
	}
	roo.mut.Lock()
	defer roo.mut.Unlock()
	return roo.max
}

// Resize changes the number of bytes. If more are taken, holders give way.
func (roo *Room) Resize(bytes int64) {
	roo.mut.Lock()
	defer roo.mut.Unlock()
	roo.max = bytes
	roo.askToGiveWay(roo.used-roo.max, nil)
	roo.serveWaiting()
}

// Used returns the number of bytes that are taken. It exceeds Max for a moment if holders take what they cannot wait for.
func (roo *Room) Used() int64 {
	roo.mut.Lock()
	defer roo.mut.Unlock()
	return roo.used
}

// GaveWay returns the number of holders that were asked to give way.
func (roo *Room) GaveWay() int64 { return roo.gaveWay.Load() }

// Take reports whether there was room for a number of bytes, and takes it.
func (roo *Room) Take(bytes int64) bool {
	if roo == nil {
		return true
	}
	if !roo.whole.Take(bytes) {
		return false
	}
	roo.mut.Lock()
	defer roo.mut.Unlock()
	if len(roo.waiting) > 0 || roo.used+bytes > roo.max {
		roo.whole.GiveBack(bytes)
		return false
	}
	roo.used += bytes
	return true
}

// Await takes room for a number of bytes once there is some, in the order of the calls. It fails if the room is smaller, or
// if the context ends first.
func (roo *Room) Await(ctx context.Context, bytes int64) error {
	if roo == nil {
		return nil
	}
	return roo.await(ctx, bytes, nil)
}

// await is Await for a holder, or for nil. A holder whose load is not lower than that of the one that waits can give way to it.
func (roo *Room) await(ctx context.Context, bytes int64, hol *Holder) error {
	roo.mut.Lock()
	if bytes > roo.max {
		roo.mut.Unlock()
		return errNoRoom
	}
	if len(roo.waiting) == 0 && roo.used+bytes <= roo.max {
		roo.used += bytes
		roo.mut.Unlock()
		return nil
	}
	wai := &waiter{bytes: bytes, taken: make(chan struct{})}
	roo.waiting = append(roo.waiting, wai)
	roo.askToGiveWay(roo.used+bytes-roo.max, hol)
	roo.mut.Unlock()
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-wai.taken:
			return nil
		case <-ctx.Done():
			return roo.abandon(wai, ctx.Err())
		case <-ticker.C:
			roo.mut.Lock()
			roo.askToGiveWay(roo.used+bytes-roo.max, hol)
			roo.mut.Unlock()
		}
	}
}

// abandon ends a wait, and gives back what was taken for it at the same time.
func (roo *Room) abandon(wai *waiter, err error) error {
	roo.mut.Lock()
	defer roo.mut.Unlock()
	for index, other := range roo.waiting {
		if other == wai {
			roo.waiting = append(roo.waiting[:index], roo.waiting[index+1:]...)
			roo.serveWaiting()
			return err
		}
	}
	roo.used -= wai.bytes
	roo.serveWaiting()
	return err
}

// GiveBack returns bytes that were taken.
func (roo *Room) GiveBack(bytes int64) {
	if roo == nil || bytes <= 0 {
		return
	}
	roo.whole.GiveBack(bytes)
	roo.mut.Lock()
	defer roo.mut.Unlock()
	roo.used -= bytes
	roo.serveWaiting()
}

// serveWaiting takes room for those that wait, as far as there is some.
func (roo *Room) serveWaiting() {
	for len(roo.waiting) > 0 && roo.used+roo.waiting[0].bytes <= roo.max {
		roo.used += roo.waiting[0].bytes
		close(roo.waiting[0].taken)
		roo.waiting = roo.waiting[1:]
	}
}

// askToGiveWay asks the holders with the highest loads to give way, until those that were asked hold the missing bytes. None
// has a lower load than the holder that needs the room, which is later than those of the same load.
func (roo *Room) askToGiveWay(missing int64, hol *Holder) {
	if missing <= 0 {
		return
	}
	now, bound := time.Now(), 0.0
	if hol != nil {
		bound = hol.load(now)
	}
	for other := range roo.paced {
		if other.asked {
			missing -= other.held
		}
	}
	for missing > 0 {
		var worst *Holder
		highest := bound
		for other := range roo.paced {
			if other == hol || other.asked || other.held == 0 || now.Sub(other.pacedAt) < giveWayAfter {
				continue
			}
			if load := other.load(now); load >= highest {
				worst, highest = other, load
			}
		}
		if worst == nil {
			return
		}
		worst.asked = true
		missing -= worst.held
		roo.gaveWay.Add(1)
		if roo.OnGiveWay != nil {
			roo.OnGiveWay(worst.kind, worst.held, roo.used, roo.max)
		}
		worst.giveWay()
	}
}
