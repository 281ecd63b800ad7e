package pick

import (
	"slices"
	"time"

	"flamingoreach/core/call"
	"flamingoreach/core/locality"
	"flamingoreach/core/member"
)

const (
	// latencyLifetime is how long a route's latency at a member counts. After that the latency is taken as unknown, so
	// that a slow member is tried again.
	latencyLifetime = 5 * time.Second
	// assumedLatency is the latency assumed for a route that is not known at any member.
	assumedLatency = 100 * time.Millisecond
	// unsaturatedLoad is the load up to which a member answers as fast as when idle. For each unit of load above it, a
	// call is expected to take loadWeight times its latency longer.
	unsaturatedLoad = 0.8
	loadWeight      = 10
	// If all calls of a member fail, a call there counts as failureWeight times its latency longer; if half of them fail,
	// half of that.
	failureWeight = 10
)

// distanceCosts holds for each distance the round-trip time and a factor on the latency, which stands for the price of
// the traffic between data centres and regions.
var distanceCosts = [locality.Distances]struct {
	roundTrip time.Duration
	factor    float64
}{
	locality.SameDataCentre: {0, 1},
	locality.SameRegion:     {2 * time.Millisecond, 1.3},
	locality.OtherRegion:    {20 * time.Millisecond, 8},
}

// routeLatency is the moving average of one route's latency at one member.
type routeLatency struct {
	latency time.Duration
	at      time.Time
}

// ChooseByExpectedLatency returns the member at which a call is expected to end soonest, by the latency of its route
// and the load that the members' gates last reported; members further away count as slower. It suits services with few
// members in each data centre, where the nearby ones often lack capacity. It returns false if no member is left.
func (pic *Picker) ChooseByExpectedLatency(cal call.Call, candidates []member.Member, tried []string) (member.Member, bool) {
	estimates := pic.estimates(cal.Route, candidates)
	best, found := pic.cheapest(estimates, tried, locality.OtherRegion)
	if found && best.distance == locality.OtherRegion && !pic.MaySpill() {
		best, found = pic.cheapest(estimates, tried, locality.SameRegion)
	}
	if !found {
		return member.Member{}, false
	}
	return *best.member, true
}

// cheapest returns the untried member of least cost up to a distance, and a random one among equals.
func (pic *Picker) cheapest(estimates []estimate, tried []string, farthest int) (estimate, bool) {
	best, lowest, found := estimate{}, time.Duration(0), false
	lowestKnown := lowestLatency(estimates)
	offset := pic.Random(max(len(estimates), 1))
	for index := range estimates {
		est := &estimates[(index+offset)%len(estimates)]
		if est.distance > farthest || slices.Contains(tried, est.member.ID) {
			continue
		}
		if cost := est.cost(lowestKnown); !found || cost < lowest {
			best, lowest, found = *est, cost, true
		}
	}
	return best, found
}

// RefuseWhenFull reports whether a member's gate must refuse the call rather than queue it if the call would have to
// wait for a slot; tried lists the IDs of the members to which attempts were sent, this one included. That is so while
// other members of this node's region are untried, and for every member of another region if this one has any, because
// traffic between regions is expensive. So a call queues at the last member tried in this region. Untried cold members do
// not keep a call from the queue of a warm one, because only a few calls can wait at a cold member.
func (pic *Picker) RefuseWhenFull(mem member.Member, candidates []member.Member, tried []string) bool {
	near := false
	for _, other := range candidates {
		if pic.distance(other) == locality.OtherRegion {
			continue
		}
		near = true
		if (other.ColdRate == 0 || mem.ColdRate > 0) && !slices.Contains(tried, other.ID) {
			return true
		}
	}
	return near && pic.distance(mem) == locality.OtherRegion
}

// lowestLatency returns the lowest latency of the route at any member. A member whose latency is unknown is expected to
// be as fast, so that it gets calls and its latency becomes known.
func lowestLatency(estimates []estimate) time.Duration {
	least := time.Duration(0)
	for _, est := range estimates {
		if est.latency > 0 && (least == 0 || est.latency < least) {
			least = est.latency
		}
	}
	if least == 0 {
		return assumedLatency
	}
	return least
}

// estimate holds what is known of one member for a call of one route; the cost is computed from it.
type estimate struct {
	member   *member.Member
	distance int
	// latency is that of the call's route at the member, or 0 if none was measured within latencyLifetime.
	latency time.Duration
	load    float64
	// overdue is how long the member has been silent beyond the time that its calls in flight usually take.
	overdue time.Duration
	// failureRate is the moving average of the fraction of the member's calls that failed.
	failureRate float64
	// lastResort is set if the member is ejected or refuses all calls; it is chosen only if no other member is left.
	lastResort bool
	// cold is set if the member is cold and has received this node's part of the calls that it can handle.
	cold bool
	// heldBack is set if the member's data centre returns to service and does not get this call yet.
	heldBack bool
}

// estimates returns the estimates for all candidates at the present time.
func (pic *Picker) estimates(route string, candidates []member.Member) []estimate {
	now := time.Now()
	holdsBack := pic.holdsBack(now)
	estimates := make([]estimate, 0, len(candidates))
	for index := range candidates {
		mem := &candidates[index]
		est := pic.observe(mem.ID).estimate(route, pic.coldRate(mem.ColdRate), now)
		est.member, est.distance = mem, pic.distance(*mem)
		est.heldBack = holdsBack != nil && holdsBack(mem)
		estimates = append(estimates, est)
	}
	return estimates
}

// cost returns the time that the call is expected to take, raised by the factors for distance and failures, by an
// hour for a member of last resort and by coldPenalty for one that is cold; assumed is used if the member's latency is unknown.
func (est *estimate) cost(assumed time.Duration) time.Duration {
	latency := est.latency
	if latency == 0 {
		latency = assumed
	}
	latency += est.overdue
	over := max(est.load-unsaturatedLoad, 0) * loadWeight
	dis := distanceCosts[est.distance]
	cost := time.Duration(float64(latency)*dis.factor*(1+over)*(1+est.failureRate*failureWeight)) + dis.roundTrip
	if est.lastResort {
		cost += time.Hour
	}
	if est.cold {
		cost += coldPenalty
	}
	if est.heldBack {
		cost += heldBackCost
	}
	return cost
}

// estimate returns the estimate for the member, without member and distance. The cold rate is this node's part of it.
func (obs *observation) estimate(route string, coldRate float64, now time.Time) estimate {
	obs.mut.Lock()
	defer obs.mut.Unlock()
	est := estimate{
		load: obs.loadAtTime(now), failureRate: obs.failureRateAtTime(now),
		lastResort: obs.ejectedAtTime(now) || now.Before(obs.unavailableUntil),
	}
	if known, found := obs.routes[route]; found && now.Sub(known.at) <= latencyLifetime {
		est.latency = known.latency
	}
	est.overdue = obs.overdue(now)
	est.cold = obs.cold.usedUp(coldRate, now, obs.pic.random)
	return est
}

// overdue returns how long a member with calls in flight has been silent beyond the latency of its slowest route. A
// host that hangs sends no answers, and the load that it last reported would make it look idle.
func (obs *observation) overdue(now time.Time) time.Duration {
	if obs.inFlight == 0 {
		return 0
	}
	usual := assumedLatency
	if now.Sub(obs.slowest.at) <= latencyLifetime {
		usual = max(usual, obs.slowest.latency)
	}
	return max(0, now.Sub(obs.silentSince)-usual)
}

// RecordRouteLatency records the latency of a call of a route that a member answered.
func (pic *Picker) RecordRouteLatency(id, route string, elapsed time.Duration) {
	obs := pic.observe(id)
	obs.mut.Lock()
	defer obs.mut.Unlock()
	if obs.routes == nil {
		obs.routes = map[string]routeLatency{}
	}
	now := time.Now()
	known, found := obs.routes[route]
	if !found || now.Sub(known.at) > latencyLifetime {
		known.latency = elapsed
	}
	known.latency += time.Duration(float64(elapsed-known.latency) * latencyWeight)
	known.at = now
	obs.routes[route] = known
	if known.latency >= obs.slowest.latency || now.Sub(obs.slowest.at) > latencyLifetime {
		obs.slowest = known
	}
}
