package grant

import (
	"time"

	"flamingoreach/core/allocation"
)

// bucket holds one account's tokens in the data centre. Available and outstanding tokens together stay within the
// burst, unless nodes still hold more after the allocation was lowered.
type bucket struct {
	allocation allocation.Allocation
	available  float64
	// outstanding counts the tokens that nodes may still spend according to their last reports.
	outstanding uint64
	// demand is the sum of the nodes' demands in calls per second.
	demand    float64
	accruedAt time.Time
	// shortage is set when there were not enough tokens for the waiting calls of a node.
	shortage bool
	// exhausted is set while the account exceeds its rate in all data centres together.
	exhausted bool
}

// accrue adds the tokens that the rate has yielded since the last call, up to the burst.
func (buc *bucket) accrue(now time.Time) {
	gain := buc.allocation.Rate * now.Sub(buc.accruedAt).Seconds()
	buc.accruedAt = now
	room := buc.allocation.Burst - float64(buc.outstanding) - buc.available
	if gain = min(gain, room); gain > 0 {
		buc.available += gain
	}
}

// capToBurst drops the available tokens in excess of the burst.
func (buc *bucket) capToBurst() {
	buc.available = max(0, min(buc.available, buc.allocation.Burst-float64(buc.outstanding)))
}

// withinBurst reports whether available and outstanding tokens are within the burst. After the allocation was lowered,
// nodes may hold more until they spend or return tokens.
func (buc *bucket) withinBurst() bool {
	return buc.available+float64(buc.outstanding) <= buc.allocation.Burst
}
