package pick

import (
	"math"
	"sync"
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/answer"
	"flamingoreach/core/keyowner"
	"flamingoreach/core/machine"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

const (
	failuresToEject  = 5
	ejectionTime     = 2 * time.Second
	longestEjection  = 30 * time.Second
	latencyWeight    = 0.1
	reportLifetime   = 500 * time.Millisecond
	initialLatency   = time.Millisecond
	ejectedShareCap  = 0.34
	distancePenalty  = 4.0
	highLoad         = 0.8
	spillLoad        = 1.5
	ejectionDoubling = 4
	// awayTime is how long a member is left out after it said that it takes no calls.
	awayTime = 200 * time.Millisecond
	// failingWeight is the weight of one call in the average of failures, failingHalfLife the time in which that halves.
	failingWeight   = 0.05
	failingHalfLife = 3 * time.Second
)

// observation is what this node saw of one backend server.
type observation struct {
	pic *Picker

	mux          sync.Mutex
	state        string
	failures     int
	ejections    int
	ejectedUntil time.Time
	inFlight     int
	// quietFrom is when the member last answered, or when the first of the calls under way was sent after that.
	quietFrom time.Time
	latency   time.Duration
	load      float64
	reported  time.Time
	// levels holds the admission level that the gate last told for each client account.
	levels    map[string]levelReport
	capFree   bool
	awayUntil time.Time
	// failing is the moving average of the part of calls that failed, counted up to failingAt.
	failing   float64
	failingAt time.Time
	// routes holds the latency of each route's calls, which differ in their work.
	routes map[string]routeLatency
	// slowest is the latency of the member's slowest route.
	slowest routeLatency
}

type levelReport struct {
	level int
	at    time.Time
}

// Built once, as it is read-only.
var ejection = machine.MustNew(charts.Must("ejection"),
	[]string{"succeeded", "failed", "waited"},
	map[string]func(*observation) bool{
		"mayEject": func(obs *observation) bool { return obs.failures+1 >= failuresToEject && obs.capFree },
		"capFree":  func(obs *observation) bool { return obs.capFree },
	},
	map[string]func(*observation){
		"countFailure":   func(obs *observation) { obs.failures++ },
		"clearFailures":  func(obs *observation) { obs.failures = 0 },
		"clearEjections": func(obs *observation) { obs.ejections = 0 },
		"eject":          (*observation).eject,
	})

func (obs *observation) eject() {
	span := ejectionTime << min(obs.ejections, ejectionDoubling)
	obs.ejections++
	obs.failures = 0
	obs.ejectedUntil = time.Now().Add(min(span, longestEjection))
	obs.pic.ejections.Add(1)
}

// isFailure reports whether a refusal is the backend server's doing: its gate let the call through.
func isFailure(ref *refusal.Refusal) bool {
	if ref.Reason == reason.Cancelled || ref.Reason == reason.DeadlineExceeded {
		return false
	}
	return ref.Offered || ref.Outcome == outcome.Unknown
}

// countFailing counts one call into the moving average, a failed one as 1.
func (obs *observation) countFailing(failed float64) {
	now := time.Now()
	obs.failing = obs.failingAtTime(now)
	obs.failingAt = now
	obs.failing += (failed - obs.failing) * failingWeight
}

// failingAtTime returns the average, which falls with time, so that a member is tried again.
func (obs *observation) failingAtTime(now time.Time) float64 {
	return obs.failing * math.Exp2(-float64(now.Sub(obs.failingAt))/float64(failingHalfLife))
}

func (obs *observation) isEjected() bool {
	obs.mux.Lock()
	defer obs.mux.Unlock()
	return obs.ejectedAtTime(time.Now())
}

// ejectedAtTime ends an ejection whose time is over.
func (obs *observation) ejectedAtTime(now time.Time) bool {
	if obs.state == "ejected" && !now.Before(obs.ejectedUntil) {
		obs.state = ejection.Fire(obs, obs.state, "waited")
	}
	return obs.state == "ejected"
}

func (obs *observation) sent() {
	obs.mux.Lock()
	defer obs.mux.Unlock()
	if obs.inFlight == 0 {
		obs.quietFrom = time.Now()
	}
	obs.inFlight++
}

func (obs *observation) answered(account string, ans answer.Answer, elapsed time.Duration) {
	obs.mux.Lock()
	defer obs.mux.Unlock()
	obs.inFlight--
	obs.load = ans.Load
	obs.reported = time.Now()
	obs.quietFrom = obs.reported
	obs.levels[account] = levelReport{level: ans.AdmissionLevel, at: obs.reported}
	if ans.Refusal != nil {
		if keyowner.RefusesAllCalls(ans.Refusal.Reason) {
			obs.awayUntil = obs.reported.Add(awayTime)
		}
		if isFailure(ans.Refusal) {
			obs.countFailing(1)
			obs.state = ejection.Fire(obs, obs.state, "failed")
		}
		return
	}
	obs.countFailing(0)
	obs.latency += time.Duration(float64(elapsed-obs.latency) * latencyWeight)
	obs.state = ejection.Fire(obs, obs.state, "succeeded")
}

func (obs *observation) lost(capFree bool) {
	obs.mux.Lock()
	defer obs.mux.Unlock()
	obs.inFlight--
	obs.capFree = capFree
	obs.countFailing(1)
	obs.awayUntil = time.Now().Add(awayTime)
	obs.state = ejection.Fire(obs, obs.state, "failed")
}

func (obs *observation) cancelled() {
	obs.mux.Lock()
	defer obs.mux.Unlock()
	obs.inFlight--
}

// admits reports whether the gate's last fresh report for a client account admits a priority.
func (obs *observation) admits(account string, priority int) bool {
	obs.mux.Lock()
	defer obs.mux.Unlock()
	if time.Now().Before(obs.awayUntil) {
		return false
	}
	rep := obs.levels[account]
	return rep.level <= priority || time.Since(rep.at) > reportLifetime
}

// score is lower for a better choice; distance counts in steps of locality.
func (obs *observation) score(slots, distance int) float64 {
	obs.mux.Lock()
	defer obs.mux.Unlock()
	occupied := float64(obs.inFlight+1) / float64(max(slots, 1))
	if time.Since(obs.reported) <= reportLifetime {
		occupied += obs.load
	}
	return occupied * float64(obs.latency+time.Duration(distance)*initialLatency) * (1 + distancePenalty*float64(distance))
}

func (obs *observation) freshLoad() float64 {
	obs.mux.Lock()
	defer obs.mux.Unlock()
	return obs.loadAtTime(time.Now())
}

// loadAtTime returns the load that the member told last, or 0 if that was long ago.
func (obs *observation) loadAtTime(now time.Time) float64 {
	if now.Sub(obs.reported) > reportLifetime {
		return 0
	}
	return obs.load
}
