package coldpacer

import (
	"math"
	"sync"
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/announcement"
	"flamingoreach/core/backendservice"
	"flamingoreach/core/localserver"
	"flamingoreach/core/machine"
)

const (
	// usableBound is the part of the bound that is used. The rest is for requests that leave the gate at different times
	// and reach the backend server together.
	usableBound = 0.75
	// windowTime is the time in which no more than usableBound of the bound may pass. It exceeds the second to which the
	// bound applies by the time for which a request may be held up between the gate and the backend server.
	windowTime = 1100 * time.Millisecond
	// maxWindow bounds the requests that are remembered to keep the bound in each window. A backend server with a higher
	// bound is paced by its rate alone.
	maxWindow = 4096
	// reportDelay is how late a heartbeat may arrive and still be used: the sender gives up after a second, and the next
	// heartbeat has a higher sequence number. A report that arrives within this time after an assumption may be older.
	reportDelay = time.Second
	// warmUpTime is the time in which the pace rises from the cold rate to the usual one, by the factor warmUpFactor. At the
	// end, the usual rate of a backend server whose cold rate is a few percent of it is reached.
	warmUpTime   = time.Second
	warmUpFactor = 64
	// rounding absorbs errors of floating point: a call is not held up for a billionth of a token.
	rounding = 1e-9
)

// The states of the chart coldStart.
const (
	Warm        = "warm"
	Cold        = "cold"
	AssumedCold = "assumedCold"
	WarmingUp   = "warmingUp"
)

// The sources of a state.
const (
	fromHeartbeat  = "heartbeat"
	fromStartTime  = "startTime"
	fromAssumption = "assumption"
	fromTime       = "timeOver"
)

// Pacer tracks how cold one backend server is and hands out the calls that it may receive.
type Pacer struct {
	mut sync.Mutex
	// service and bound are what Configure set; bound is 0 if it is unlimited.
	service backendservice.Service
	bound   float64

	state string
	// source says what led to the state.
	source string
	// now is the time of the event that is being handled.
	now time.Time
	// latest is the last announcement, which was received at heardAt.
	latest  announcement.Announcement
	heardAt time.Time
	// coldUntil is the end of the state Cold, warmUpAt the beginning of the state WarmingUp and assumedAt the time of the
	// last assumption.
	coldUntil, warmUpAt, assumedAt time.Time

	// tokens is the number of calls that may pass at once, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// window holds the times of the latest calls, cold or not, as a ring whose oldest entry is at the index next. It is as
	// long as the number of calls that may pass within windowTime, or empty if that is not limited.
	window []time.Time
	next   int
}

var chart = machine.MustNew(charts.MustLoad("coldStart"),
	[]string{"started", "reportedCold", "reportedWarm", "unreported", "assumed", "elapsed"},
	map[string]func(*Pacer) bool{
		"startedAfterAssumption": func(pac *Pacer) bool { return pac.latest.Started.After(pac.assumedAt) },
		"reportIsLater":          func(pac *Pacer) bool { return pac.now.Sub(pac.assumedAt) > reportDelay },
		"coldStartOver":          func(pac *Pacer) bool { return pac.now.Sub(pac.assumedAt) >= pac.service.ColdStart },
	},
	map[string]func(*Pacer){
		"noteAssumption": func(pac *Pacer) { pac.assumedAt = pac.now },
		"beginWarmUp":    func(pac *Pacer) { pac.warmUpAt = pac.now },
	})

// New returns a pacer that lets all calls pass until it is configured. It starts without tokens, because a former process of
// the node may have sent calls until a moment ago.
func New() *Pacer { return &Pacer{state: chart.Initial(), refilledAt: time.Now()} }

// Configure sets what the configuration states about the backend server's service, and the bound on the requests that it may
// receive in a second while it is cold: factor times its cold rate plus slack. With a factor of 0, only the rate applies.
func (pac *Pacer) Configure(ser backendservice.Service, factor, slack float64) {
	pac.mut.Lock()
	defer pac.mut.Unlock()
	now := time.Now()
	pac.refill(now)
	pac.service, pac.bound = ser, 0
	if factor > 0 {
		pac.bound = ser.ColdRate*factor + slack
	}
	pac.resizeWindow()
	pac.applyStartTime(now)
}

// Paces reports whether calls to the backend server are paced while it is cold.
func (pac *Pacer) Paces() bool {
	pac.mut.Lock()
	defer pac.mut.Unlock()
	return pac.service.ColdRate > 0
}

// Announced handles an announcement of the backend server at its arrival. It ignores one that is not newer than the latest
// one of the same process.
func (pac *Pacer) Announced(ann announcement.Announcement) {
	pac.mut.Lock()
	defer pac.mut.Unlock()
	now := time.Now()
	another := !pac.latest.SameProcess(ann)
	if !another && !pac.heardAt.IsZero() && (ann.Numbered || ann.Sequence != 0) && ann.Sequence <= pac.latest.Sequence {
		return
	}
	silent := !another && now.Sub(pac.heardAt) > localserver.SilenceLimit
	pac.latest, pac.heardAt = ann, now
	pac.advance(now)
	switch {
	case another:
		clear(pac.window)
		pac.fire(now, "started", fromStartTime)
	case silent:
		pac.fire(now, "assumed", fromAssumption)
	}
	switch {
	case !ann.ColdKnown:
		pac.fire(now, "unreported", fromTime)
		pac.applyStartTime(now)
	case ann.ColdFor > 0:
		pac.coldUntil = now.Add(ann.ColdFor)
		pac.fire(now, "reportedCold", fromHeartbeat)
	default:
		pac.fire(now, "reportedWarm", fromHeartbeat)
	}
}

// AssumeCold takes the backend server to be cold until a heartbeat that arrives later says otherwise.
func (pac *Pacer) AssumeCold() {
	pac.mut.Lock()
	defer pac.mut.Unlock()
	now := time.Now()
	pac.advance(now)
	pac.fire(now, "assumed", fromAssumption)
}

// Take lets one call pass and returns 0, or returns the time after which a call may pass.
func (pac *Pacer) Take(now time.Time) time.Duration {
	pac.mut.Lock()
	defer pac.mut.Unlock()
	if pac.service.ColdRate <= 0 {
		return 0
	}
	pac.advance(now)
	pac.refill(now)
	if pac.state != Warm {
		if wait := pac.wait(now); wait > 0 {
			return wait
		}
		pac.tokens--
	}
	if len(pac.window) > 0 {
		pac.window[pac.next] = now
		pac.next = (pac.next + 1) % len(pac.window)
	}
	return 0
}

// Rate returns the rate at which calls may pass, in calls per second, or 0 if it is unlimited, and whether the backend server
// is taken to be cold.
func (pac *Pacer) Rate(now time.Time) (rate float64, cold bool) {
	pac.mut.Lock()
	defer pac.mut.Unlock()
	pac.advance(now)
	if pac.state == Warm || pac.service.ColdRate <= 0 {
		return 0, false
	}
	return pac.rate(now), pac.state != WarmingUp
}

// State returns the state of the chart coldStart and what led to it.
func (pac *Pacer) State(now time.Time) (state, source string) {
	pac.mut.Lock()
	defer pac.mut.Unlock()
	pac.advance(now)
	return pac.state, pac.source
}

func (pac *Pacer) fire(now time.Time, event, source string) {
	pac.now = now
	former := pac.state
	if pac.state = chart.Fire(pac, pac.state, event); pac.state != former {
		pac.source = source
	}
}

// applyStartTime takes a backend server that does not report how cold it is to be cold for the usual time after its start.
func (pac *Pacer) applyStartTime(now time.Time) {
	if pac.latest.ColdKnown || pac.latest.Started.IsZero() || pac.state != Warm {
		return
	}
	if until := pac.latest.Started.Add(pac.service.ColdStart); now.Before(until) {
		pac.coldUntil = until
		pac.fire(now, "reportedCold", fromStartTime)
	}
}

// advance ends the states whose time is over.
func (pac *Pacer) advance(now time.Time) {
	if pac.state == Cold && !now.Before(pac.coldUntil) {
		pac.fire(pac.coldUntil, "elapsed", fromTime)
	}
	if pac.state == WarmingUp && now.Sub(pac.warmUpAt) >= warmUpTime {
		pac.fire(now, "elapsed", fromTime)
	}
}

// rate returns the present rate of calls.
func (pac *Pacer) rate(now time.Time) float64 {
	if pac.state != WarmingUp {
		return pac.service.ColdRate
	}
	return pac.service.ColdRate * math.Pow(warmUpFactor, now.Sub(pac.warmUpAt).Seconds()/warmUpTime.Seconds())
}

// burst returns the number of calls that may pass at once after a pause. Together with those of a second at the cold rate,
// they stay below the usable part of the bound.
func (pac *Pacer) burst() float64 {
	return math.Max(1, usableBound*pac.bound-pac.service.ColdRate)
}

// refill adds the tokens that have accrued.
func (pac *Pacer) refill(now time.Time) {
	if pac.service.ColdRate <= 0 || !now.After(pac.refilledAt) {
		return
	}
	pac.tokens = math.Min(pac.burst(), pac.tokens+pac.rate(now)*now.Sub(pac.refilledAt).Seconds())
	pac.refilledAt = now
}

// wait returns the time until a call may pass: there must be a token, and the bound must hold in the window that ends with
// the call, which also contains calls from before the backend server became cold.
func (pac *Pacer) wait(now time.Time) time.Duration {
	wait := time.Duration(0)
	if pac.tokens < 1-rounding {
		wait = time.Duration(math.Ceil((1 - pac.tokens) / pac.rate(now) * float64(time.Second)))
	}
	if len(pac.window) > 0 && pac.state != WarmingUp {
		wait = max(wait, pac.window[pac.next].Add(windowTime).Sub(now))
	}
	return wait
}

// resizeWindow makes the window as long as the number of calls that may pass in it, and keeps the latest calls.
func (pac *Pacer) resizeWindow() {
	length := 0
	if pac.service.ColdRate > 0 && pac.bound > 0 && usableBound*pac.bound < maxWindow {
		length = max(1, int(usableBound*pac.bound))
	}
	if length == len(pac.window) {
		return
	}
	former := append(append([]time.Time{}, pac.window[pac.next:]...), pac.window[:pac.next]...)
	pac.window, pac.next = make([]time.Time, length), 0
	kept := former[max(0, len(former)-length):]
	copy(pac.window[length-len(kept):], kept)
}
