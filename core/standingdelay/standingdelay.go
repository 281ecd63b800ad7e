package standingdelay

import "time"

// Interval is the time over which the minimum delay is taken.
const Interval = 100 * time.Millisecond

// maxIntervals bounds how many past intervals one call of EndIntervals ends after a time without calls.
const maxIntervals = 50

// Delay tracks the minimum queue delay in each interval.
type Delay struct {
	// Target is the minimum delay above which an interval counts as delayed.
	Target time.Duration

	intervalEnd time.Time
	minimum     time.Duration
	observed    bool
}

// Observe records the time until the calls that wait now have left the queue, zero if none waits.
func (del *Delay) Observe(drain time.Duration) {
	if !del.observed || drain < del.minimum {
		del.minimum = drain
	}
	del.observed = true
}

// EndIntervals calls onInterval for each interval that has ended by now. For an interval without an observation it
// uses the current delay.
func (del *Delay) EndIntervals(now time.Time, current time.Duration, onInterval func(delayed bool)) {
	if del.intervalEnd.IsZero() {
		del.intervalEnd = now.Add(Interval)
	}
	for count := 0; !now.Before(del.intervalEnd) && count < maxIntervals; count++ {
		if !del.observed {
			del.minimum = current
		}
		onInterval(del.minimum > del.Target)
		del.intervalEnd = del.intervalEnd.Add(Interval)
		del.observed = false
	}
	if !now.Before(del.intervalEnd) {
		del.intervalEnd = now.Add(Interval)
	}
}
