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
	// failuresToEject is the number of failures in a row after which a member is ejected.
	failuresToEject = 5
	// ejectionTime is how long the first ejection lasts. Each further one without a success in between lasts twice as
	// long, up to maxEjectionTime.
	ejectionTime    = 2 * time.Second
	maxEjectionTime = 30 * time.Second
	// latencyWeight is the weight of one call in the moving averages of latency.
	latencyWeight = 0.1
	// reportLifetime is how long the load and the admission level that a member reported count.
	reportLifetime = 500 * time.Millisecond
	// initialLatency is the average latency that a member starts with. The score also adds it to a member's average
	// latency once for each step of its distance.
	initialLatency = time.Millisecond
	// maxEjectedFraction is the largest fraction of a service's members that may be ejected.
	maxEjectedFraction = 0.34
	// The score of a member is multiplied by 1 plus distancePenalty times its distance.
	distancePenalty = 4.0
	// highLoad is the reported load of the chosen member above which the rest of the region is considered too. A member
	// above it gets no calls that another region's long queues cause to spill over.
	highLoad = 0.8
	// spillLoad is the reported load of the chosen member above which a call may go to another region.
	spillLoad = 1.5
	// maxEjectionDoublings bounds the doublings of ejectionTime.
	maxEjectionDoublings = 4
	// unavailableTime is how long a member is left out after it refused all calls or a call to it was lost.
	unavailableTime = 200 * time.Millisecond
	// failureRateWeight is the weight of one call in the moving average of failures; without calls, the average
	// halves every failureRateHalfLife.
	failureRateWeight   = 0.05
	failureRateHalfLife = 3 * time.Second
)

// observation holds the results of this node's calls to one backend server.
type observation struct {
	pic *Picker

	mut          sync.Mutex
	state        string
	failures     int
	ejections    int
	ejectedUntil time.Time
	inFlight     int
	// silentSince is the time of the member's last answer, or, if later, the time at which a call was sent to it while no
	// other was in flight.
	silentSince time.Time
	latency     time.Duration
	load        float64
	reported    time.Time
	// levels holds the admission level that the gate last reported for each client account.
	levels map[string]levelReport
	// belowEjectionCap says whether the member may be ejected without exceeding maxEjectedFraction, as of the last
	// lost call.
	belowEjectionCap bool
	unavailableUntil time.Time
	// failureRate is the moving average of the fraction of calls that failed, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// routes holds the latency of each route's calls: some routes take much longer than others.
	routes map[string]routeLatency
	// slowest is the latency of the member's slowest route.
	slowest routeLatency
	cold    coldShare
}

type levelReport struct {
	level int
	at    time.Time
}

// ejection is built once for all observations, as it is read-only.
var ejection = machine.MustNew(charts.MustLoad("ejection"),
	[]string{"succeeded", "failed", "waited"},
	map[string]func(*observation) bool{
		"mayEject":         func(obs *observation) bool { return obs.failures+1 >= failuresToEject && obs.belowEjectionCap },
		"belowEjectionCap": func(obs *observation) bool { return obs.belowEjectionCap },
	},
	map[string]func(*observation){
		"countFailure":   func(obs *observation) { obs.failures++ },
		"clearFailures":  func(obs *observation) { obs.failures = 0 },
		"clearEjections": func(obs *observation) { obs.ejections = 0 },
		"eject":          (*observation).eject,
	})

func (obs *observation) eject() {
	span := ejectionTime << min(obs.ejections, maxEjectionDoublings)
	obs.ejections++
	obs.failures = 0
	obs.ejectedUntil = time.Now().Add(min(span, maxEjectionTime))
	obs.pic.ejections.Add(1)
}

// isFailure reports whether a refusal counts as a failure of the backend server: the gate had passed the call to it, or
// it is unknown whether the call ran. It returns false for cancelled calls and for those past their deadline. A gate's
// refusals of calls that it did not run must not lead to ejection.
func isFailure(ref *refusal.Refusal) bool {
	if ref.Reason == reason.Cancelled || ref.Reason == reason.DeadlineExceeded {
		return false
	}
	return ref.Offered || ref.Outcome == outcome.Unknown
}

// countInFailureRate adds one call to the moving average: 1 for a failed call, 0 for a successful one.
func (obs *observation) countInFailureRate(failed float64) {
	now := time.Now()
	obs.failureRate = obs.failureRateAtTime(now)
	obs.failureRateAt = now
	obs.failureRate += (failed - obs.failureRate) * failureRateWeight
}

// failureRateAtTime returns the average of failures. It decays with time, so that a member is tried again.
func (obs *observation) failureRateAtTime(now time.Time) float64 {
	return obs.failureRate * math.Exp2(-float64(now.Sub(obs.failureRateAt))/float64(failureRateHalfLife))
}

func (obs *observation) isEjected() bool {
	obs.mut.Lock()
	defer obs.mut.Unlock()
	return obs.ejectedAtTime(time.Now())
}

// ejectedAtTime ends the ejection if its time is over, and reports whether the member is still ejected.
func (obs *observation) ejectedAtTime(now time.Time) bool {
	if obs.state == "ejected" && !now.Before(obs.ejectedUntil) {
		obs.state = ejection.Fire(obs, obs.state, "waited")
	}
	return obs.state == "ejected"
}

func (obs *observation) sent() {
	obs.mut.Lock()
	defer obs.mut.Unlock()
	if obs.inFlight == 0 {
		obs.silentSince = time.Now()
	}
	obs.inFlight++
	obs.cold.sent()
}

func (obs *observation) answered(account string, ans answer.Answer, elapsed time.Duration) {
	obs.mut.Lock()
	defer obs.mut.Unlock()
	obs.inFlight--
	obs.load = ans.Load
	obs.reported = time.Now()
	obs.silentSince = obs.reported
	obs.levels[account] = levelReport{level: ans.AdmissionLevel, at: obs.reported}
	if ans.Refusal != nil {
		if ans.Refusal.Reason == reason.BackendServerCold {
			obs.cold.refusedUntil = obs.reported.Add(coldRefusalTime)
		}
		if keyowner.RefusesAllCalls(ans.Refusal.Reason) {
			obs.unavailableUntil = obs.reported.Add(unavailableTime)
		}
		if isFailure(ans.Refusal) {
			obs.countInFailureRate(1)
			obs.state = ejection.Fire(obs, obs.state, "failed")
		}
		return
	}
	obs.countInFailureRate(0)
	obs.latency += time.Duration(float64(elapsed-obs.latency) * latencyWeight)
	obs.state = ejection.Fire(obs, obs.state, "succeeded")
}

func (obs *observation) lost(belowCap bool) {
	obs.mut.Lock()
	defer obs.mut.Unlock()
	obs.inFlight--
	obs.belowEjectionCap = belowCap
	obs.countInFailureRate(1)
	obs.unavailableUntil = time.Now().Add(unavailableTime)
	obs.state = ejection.Fire(obs, obs.state, "failed")
}

func (obs *observation) cancelled() {
	obs.mut.Lock()
	defer obs.mut.Unlock()
	obs.inFlight--
}

// admits reports whether the member takes calls of a client account with this priority, by the gate's last report. A
// report older than reportLifetime does not count.
func (obs *observation) admits(account string, priority int) bool {
	obs.mut.Lock()
	defer obs.mut.Unlock()
	if time.Now().Before(obs.unavailableUntil) {
		return false
	}
	rep := obs.levels[account]
	return rep.level <= priority || time.Since(rep.at) > reportLifetime
}

// score is lower for a better choice; distance is one of the distances of package locality.
func (obs *observation) score(slots, distance int) float64 {
	obs.mut.Lock()
	defer obs.mut.Unlock()
	occupied := float64(obs.inFlight+1) / float64(max(slots, 1))
	if time.Since(obs.reported) <= reportLifetime {
		occupied += obs.load
	}
	return occupied * float64(obs.latency+time.Duration(distance)*initialLatency) * (1 + distancePenalty*float64(distance))
}

func (obs *observation) recentLoad() float64 {
	obs.mut.Lock()
	defer obs.mut.Unlock()
	return obs.loadAtTime(time.Now())
}

// loadAtTime returns the load that the member last reported, or 0 if that report is older than reportLifetime.
func (obs *observation) loadAtTime(now time.Time) float64 {
	if now.Sub(obs.reported) > reportLifetime {
		return 0
	}
	return obs.load
}
