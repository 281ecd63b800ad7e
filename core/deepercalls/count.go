package deepercalls

import (
	"math"
	"time"
)

// peakHalfLife is the time in which the remembered peak halves; it is long enough to span the pauses between the calls
// of one caller.
const peakHalfLife = 500 * time.Millisecond

// Count holds the number of running deeper calls and its recent peak. It is not safe for concurrent use; the gate
// calls it under its mutex.
type Count struct {
	running   int
	peak      float64
	decayedAt time.Time
}

// Begin counts a deeper call that was given a slot.
func (cou *Count) Begin(now time.Time) {
	cou.decay(now)
	cou.running++
	cou.peak = max(cou.peak, float64(cou.running))
}

// End counts a deeper call that released its slot.
func (cou *Count) End() { cou.running-- }

// Reserved returns the number of slots to reserve for deeper calls, in addition to those that they use.
func (cou *Count) Reserved(now time.Time) int {
	cou.decay(now)
	return max(int(math.Round(cou.peak))-cou.running, 0)
}

// decay lowers the peak exponentially, but not below the number of running calls.
func (cou *Count) decay(now time.Time) {
	if past := now.Sub(cou.decayedAt); past > 0 {
		cou.peak *= math.Exp2(-float64(past) / float64(peakHalfLife))
	}
	cou.decayedAt = now
	cou.peak = max(cou.peak, float64(cou.running))
}
