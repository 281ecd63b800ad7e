package limit

import (
	"math"
	"time"
)

const (
	// minWindow is the shortest window over which latency is averaged. minSamples and maxSamples bound the number of
	// calls that a window needs; a low limit needs fewer.
	minWindow = 100 * time.Millisecond
	// windowLatencies is the shortest window in multiples of the mean latency, so that long calls are in it too.
	windowLatencies = 2
	minSamples      = 8
	maxSamples      = 120
	// windowCallsPerLimit times the limit is the number of calls that a window needs. startCallsPerLimit and
	// maxStartSamples apply during the slow start, which has to be quick.
	windowCallsPerLimit = 8
	startCallsPerLimit  = 2
	maxStartSamples     = 30
	// latencyTolerance times the base latency is the highest latency that does not lower the limit.
	latencyTolerance = 1.5
	// minDecreaseFactor is the smallest factor by which the limit is multiplied when a window lowers it.
	minDecreaseFactor = 0.5
	// floorFraction is the fraction of the slots below which latency does not lower the limit.
	floorFraction = 0.1
	// startFraction is the fraction of the slots with which the slow start begins.
	startFraction = 0.125
	// startGrowth is the factor by which the limit grows in each window of the slow start.
	startGrowth = 2
	// maxDecreaseFactor is the largest factor by which the limit is multiplied when a window lowers it. It makes each
	// decrease large enough that its effect on latency can be measured.
	maxDecreaseFactor = 0.6
	// maxConclusiveRatio is the highest ratio of calls that ran after a decrease of the limit to calls that ran before
	// it at which the effect of the decrease on latency is assessed.
	maxConclusiveRatio = 0.85
	// baseRetestWindows is the number of windows after which a raised base latency is tested again.
	baseRetestWindows = 50
)

// Limit is the adaptive concurrency limit of one backend server; it is not safe for concurrent use.
type Limit struct {
	slots int
	value float64
	// starting is set during the slow start, which ends when the limit reaches the slots or latency shows queueing.
	starting bool
	// lowestLatency is the lowest mean latency of any window, baseLatency the one that is assumed to be free of
	// queueing.
	lowestLatency, baseLatency time.Duration
	// baseAge is the number of windows since baseLatency was raised or reset to lowestLatency.
	baseAge int
	// beforeDecrease and limitBeforeDecrease are the window and the limit before the last decrease; beforeDecrease is
	// zero once the effect of the decrease was assessed.
	beforeDecrease      window
	limitBeforeDecrease float64

	// The current window: its start, and the sums over its samples.
	windowStart time.Time
	latencySum  time.Duration
	samples     int
	runningSum  int
}

// window holds the mean latency and the mean number of running calls of a window.
type window struct {
	latency time.Duration
	running float64
}

// New returns a limit at the beginning of its slow start.
func New(slots int) *Limit {
	lim := &Limit{slots: slots}
	lim.Restart()
	return lim
}

// Restart begins the slow start again, after the backend server has restarted.
func (lim *Limit) Restart() {
	lim.starting = true
	lim.value = math.Max(1, float64(lim.slots)*startFraction)
	lim.lowestLatency, lim.baseLatency, lim.baseAge, lim.beforeDecrease = 0, 0, 0, window{}
	lim.windowStart = time.Time{}
	lim.latencySum, lim.samples, lim.runningSum = 0, 0, 0
}

// SetSlots changes the upper bound.
func (lim *Limit) SetSlots(slots int) {
	lim.slots = slots
	lim.value = lim.clamp(lim.value)
}

// Value returns the number of calls that may run, at least 1 and at most the slots.
func (lim *Limit) Value() int { return int(lim.clamp(lim.value)) }

// Starting reports whether the limit is in its slow start.
func (lim *Limit) Starting() bool { return lim.starting }

// Observe records the latency of a call that ended, and the number of calls that ran at that time, itself included.
// It ignores a call that began before the current window, because its latency belongs to the previous limit.
func (lim *Limit) Observe(now time.Time, latency time.Duration, running int) {
	if now.Add(-latency).Before(lim.windowStart) {
		return
	}
	if lim.windowStart.IsZero() {
		lim.windowStart = now.Add(-latency)
	}
	lim.latencySum += latency
	lim.samples++
	lim.runningSum += running
	mean := lim.latencySum / time.Duration(lim.samples)
	if lim.samples < lim.windowSize() || now.Sub(lim.windowStart) < max(minWindow, windowLatencies*mean) {
		return
	}
	lim.adapt(window{mean, float64(lim.runningSum) / float64(lim.samples)})
	lim.windowStart, lim.latencySum, lim.samples, lim.runningSum = now, 0, 0, 0
}

// windowSize returns the number of calls that a window needs; the mean of fewer calls is too noisy.
func (lim *Limit) windowSize() int {
	if lim.starting {
		return min(max(startCallsPerLimit*lim.Value(), minSamples), maxStartSamples)
	}
	return min(max(windowCallsPerLimit*lim.Value(), minSamples), maxSamples)
}

// adapt adjusts the limit after a window. It first undoes the last decrease if that had too little effect, and updates
// the base latency. It then lowers the limit if the window's latency is above latencyTolerance times the base latency,
// and otherwise raises it, unless less than half of it is used.
func (lim *Limit) adapt(win window) {
	lim.reviewDecrease(win)
	lim.updateBase(win.latency)
	// latencyRatio is the highest latency that does not lower the limit, divided by the window's latency.
	latencyRatio := latencyTolerance * float64(lim.baseLatency) / float64(win.latency)
	switch {
	case latencyRatio < 1:
		lim.decrease(win, latencyRatio)
	case 2*win.running < lim.value:
	case lim.starting:
		lim.value = lim.clamp(lim.value * startGrowth)
		lim.starting = lim.value < float64(lim.slots)
	default:
		lim.value = lim.clamp(lim.value + math.Sqrt(lim.value))
	}
}

// updateBase lowers the base latency to the window's latency if that is lower. After baseRetestWindows it resets a
// raised base latency to the lowest one, to test whether it still holds.
func (lim *Limit) updateBase(latency time.Duration) {
	if lim.lowestLatency == 0 || latency < lim.lowestLatency {
		lim.lowestLatency = latency
	}
	if lim.baseAge++; lim.baseAge >= baseRetestWindows || lim.baseLatency == 0 {
		lim.baseLatency, lim.baseAge = lim.lowestLatency, 0
	}
	lim.baseLatency = min(lim.baseLatency, latency)
}

// decrease lowers the limit and stores the previous one, so that the effect can be assessed after the next window.
func (lim *Limit) decrease(win window, latencyRatio float64) {
	lim.starting = false
	lim.beforeDecrease, lim.limitBeforeDecrease = win, lim.value
	lim.value = lim.clamp(lim.value * math.Min(math.Max(minDecreaseFactor, latencyRatio), maxDecreaseFactor))
}

// reviewDecrease checks after the window that follows a decrease of the limit whether latency fell too. It undoes the
// decrease if the number of running calls fell to at most maxConclusiveRatio times that before, but latency fell by
// less than a third of the percentage by which the running calls fell. Such latency does not come from queueing at the
// backend server but, for example, from a slow service that it calls, so it becomes the base latency.
func (lim *Limit) reviewDecrease(win window) {
	before := lim.beforeDecrease
	lim.beforeDecrease = window{}
	if before.latency == 0 {
		return
	}
	ratio := win.running / before.running
	if ratio <= maxConclusiveRatio && float64(win.latency) > (2+ratio)/3*float64(before.latency) {
		lim.baseLatency, lim.baseAge, lim.value = win.latency, 0, lim.limitBeforeDecrease
	}
}

func (lim *Limit) clamp(value float64) float64 {
	floor := math.Max(1, float64(lim.slots)*floorFraction)
	return math.Min(math.Max(value, floor), float64(lim.slots))
}
