package room

import (
	"context"
	"math"
	"time"
)

const (
	// progressHalfLife is the time after which an earlier progress of a client counts half.
	progressHalfLife = 2 * time.Second
	// leastProgress is the progress that every client is taken to have made, in bytes, so that holders without any compare
	// by what they hold.
	leastProgress = 4 << 10
)

// Holder is one taker of room, such as a request; its methods are safe for concurrent use.
type Holder struct {
	room *Room
	kind string

	// The room's mutex guards the following fields.
	held int64
	// progress is a decaying sum of the bytes that the client has sent or read, as of progressAt.
	progress   float64
	progressAt time.Time
	// pacedAt is when the client began to set the pace, and giveWay makes the holder give back its room soon.
	pacedAt time.Time
	giveWay func()
	asked   bool
}

// Open returns a holder without room; its kind is for metrics and logs.
func (roo *Room) Open(kind string) *Holder {
	if roo == nil {
		roo = New(math.MaxInt64 / 2)
	}
	return &Holder{room: roo, kind: kind, progressAt: time.Now()}
}

// Held returns the number of bytes that the holder has taken.
func (hol *Holder) Held() int64 {
	hol.room.mut.Lock()
	defer hol.room.mut.Unlock()
	return hol.held
}

// Take reports whether there was room for a number of bytes, and takes it.
func (hol *Holder) Take(bytes int64) bool {
	if !hol.room.Take(bytes) {
		return false
	}
	hol.add(bytes)
	return true
}

// Await takes room for a number of bytes once there is some; holders that hold more for less progress give way. It fails if
// the room is smaller, or with the context's error.
func (hol *Holder) Await(ctx context.Context, bytes int64) error {
	if err := hol.room.await(ctx, bytes, hol); err != nil {
		return err
	}
	hol.add(bytes)
	return nil
}

// Force takes a small number of bytes whether or not there is room; others give way for it.
func (hol *Holder) Force(bytes int64) {
	hol.room.mut.Lock()
	defer hol.room.mut.Unlock()
	hol.room.used += bytes
	hol.held += bytes
	hol.room.askToGiveWay(hol.room.used-hol.room.max, hol)
}

func (hol *Holder) add(bytes int64) {
	hol.room.mut.Lock()
	defer hol.room.mut.Unlock()
	hol.held += bytes
}

// GiveBack returns bytes that were taken.
func (hol *Holder) GiveBack(bytes int64) {
	hol.add(-bytes)
	hol.room.GiveBack(bytes)
}

// Advance records that the client has sent or read a number of bytes.
func (hol *Holder) Advance(bytes int64) {
	hol.room.mut.Lock()
	defer hol.room.mut.Unlock()
	now := time.Now()
	hol.progress, hol.progressAt = hol.progressBy(now)+float64(bytes), now
}

// Pace says that from now on the client sets the pace. If others need the room that the holder has, giveWay is called once,
// with the room locked, and must make the holder give it back soon.
func (hol *Holder) Pace(giveWay func()) {
	hol.room.mut.Lock()
	defer hol.room.mut.Unlock()
	hol.giveWay, hol.pacedAt = giveWay, time.Now()
	hol.room.paced[hol] = struct{}{}
}

// EndPace says that the client no longer sets the pace, and reports whether the holder was asked to give way.
func (hol *Holder) EndPace() (asked bool) {
	hol.room.mut.Lock()
	defer hol.room.mut.Unlock()
	delete(hol.room.paced, hol)
	return hol.asked
}

// Close gives back all room that the holder has.
func (hol *Holder) Close() {
	hol.EndPace()
	hol.GiveBack(hol.Held())
}

// load returns what a holder takes for the progress of its client. The room must be locked.
func (hol *Holder) load(now time.Time) float64 {
	return float64(hol.held) / (hol.progressBy(now) + leastProgress)
}

// progressBy returns the decayed progress at a time. The room must be locked.
func (hol *Holder) progressBy(now time.Time) float64 {
	return hol.progress * math.Exp2(-now.Sub(hol.progressAt).Seconds()/progressHalfLife.Seconds())
}
