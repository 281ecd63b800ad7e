package pick

import "time"

const (
	// coldPenalty makes a cold member that has received this node's part of the calls that it can handle the choice after all
	// members that are not, and before those of last resort.
	coldPenalty = time.Minute
	// coldRefusalTime is how long a member that has refused a call because it is cold is not chosen before others. It is the
	// time between two calls at a rate of five per second.
	coldRefusalTime = 200 * time.Millisecond
	// startFractions is the number of different fractions of a call with which the parts of a member's nodes begin.
	startFractions = 1024
)

// coldShare is this node's part of the calls that a cold member can handle, a token bucket for one call. It begins with a
// random fraction of a call: if all nodes began with a whole one, the member would receive a call of each at the same time.
type coldShare struct {
	// rate is the number of calls per second, or 0 while the member is not cold.
	rate       float64
	tokens     float64
	refilledAt time.Time
	// refusedUntil is the time until which a refusal because the member is cold counts.
	refusedUntil time.Time
}

// SetCallers sets the number of nodes, this one included, that may send calls to the members of this region. A cold member's
// rate is divided by it.
func (pic *Picker) SetCallers(count int) { pic.callers.Store(int64(max(count, 1))) }

// coldRate returns this node's part of a member's cold rate.
func (pic *Picker) coldRate(rate float64) float64 { return rate / float64(max(pic.callers.Load(), 1)) }

// usedUp reports whether the member should receive no more calls of this node for the moment. The rate is this node's part
// of the member's cold rate, and random a number from 0 to 1, which is used when the member becomes cold.
func (sha *coldShare) usedUp(rate float64, now time.Time, random func() float64) bool {
	switch {
	case rate <= 0:
		sha.rate = 0
		return now.Before(sha.refusedUntil)
	case sha.rate == 0:
		sha.tokens = random()
	default:
		sha.tokens = min(1, sha.tokens+sha.rate*now.Sub(sha.refilledAt).Seconds())
	}
	sha.rate, sha.refilledAt = rate, now
	return sha.tokens < 1 || now.Before(sha.refusedUntil)
}

// sent counts a call to the member.
func (sha *coldShare) sent() {
	if sha.rate > 0 {
		sha.tokens = max(sha.tokens-1, -1)
	}
}

// random returns a random number from 0 to 1.
func (pic *Picker) random() float64 { return float64(pic.Random(startFractions)) / startFractions }
