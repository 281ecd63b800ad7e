package deepercalls

import (
	"math"
	"time"
)

// fallTime is the time in which the remembered peak halves; it spans the pauses between the calls of one caller.
const fallTime = 500 * time.Millisecond

// Count is the number of deeper calls that run and its recent peak; the gate calls it under its mutex.
type Count struct {
	running int
	peak    float64
	at      time.Time
}

// Began counts a call that has got a slot.
func (cou *Count) Began(now time.Time) {
	cou.fall(now)
	cou.running++
	cou.peak = max(cou.peak, float64(cou.running))
}

// Ended counts a call that has given its slot back.
func (cou *Count) Ended() { cou.running-- }

// Kept returns the slots to keep free for deeper calls, beyond those that they use.
func (cou *Count) Kept(now time.Time) int {
	cou.fall(now)
	return max(int(math.Round(cou.peak))-cou.running, 0)
}

// fall lets the peak approach what runs.
func (cou *Count) fall(now time.Time) {
	if past := now.Sub(cou.at); past > 0 {
		cou.peak *= math.Exp2(-float64(past) / float64(fallTime))
	}
	cou.at = now
	cou.peak = max(cou.peak, float64(cou.running))
}
