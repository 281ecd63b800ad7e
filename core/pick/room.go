package pick

import (
	"slices"
	"time"

	"flamingoreach/core/call"
	"flamingoreach/core/locality"
	"flamingoreach/core/member"
)

const (
	// latencyLifetime is how long a route's latency at a member counts: then the member is tried again.
	latencyLifetime = 5 * time.Second
	// assumedLatency is taken for a route of which no member's latency is known.
	assumedLatency = 100 * time.Millisecond
	// roomyLoad is the load up to which a member answers as fast as when idle; loadWeight is the number of latencies
	// that a call is expected to take longer for each whole load above it.
	roomyLoad  = 0.8
	loadWeight = 10
	// failureWeight is the number of latencies that a member's calls count as longer if all of them fail.
	failureWeight = 10
)

// The cost of each distance: the round trip, and a factor for what the bytes between places are worth.
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

// ChooseByRoom returns the member at which a call is expected to end soonest, by the latency of its route and the
// load that the members' gates told last; places further away count as slower. It suits services with few members
// in each data centre, where those near are often not enough. It returns false where no member is left.
func (pic *Picker) ChooseByRoom(cal call.Call, candidates []member.Member, tried []string) (member.Member, bool) {
	known := pic.leastLatency(cal.Route, candidates)
	best, found := pic.cheapest(cal.Route, candidates, tried, known, locality.OtherRegion)
	if found && pic.distance(best) == locality.OtherRegion && !pic.MaySpill() {
		return pic.cheapest(cal.Route, candidates, tried, known, locality.SameRegion)
	}
	return best, found
}

// cheapest returns the untried member of least cost up to a distance; of equal ones a random one.
func (pic *Picker) cheapest(route string, candidates []member.Member, tried []string, known time.Duration, farthest int) (member.Member, bool) {
	best, lowest, found := member.Member{}, time.Duration(0), false
	offset := pic.Random(max(len(candidates), 1))
	for index := range candidates {
		mem := candidates[(index+offset)%len(candidates)]
		if pic.distance(mem) > farthest || slices.Contains(tried, mem.ID) {
			continue
		}
		if cost := pic.cost(route, mem, known); !found || cost < lowest {
			best, lowest, found = mem, cost, true
		}
	}
	return best, found
}

// AtOnce reports whether a call must not wait for a slot at a member: as long as others in this region were not asked,
// and in other regions always, as the bytes between regions are dear. So a call waits at the last member near.
func (pic *Picker) AtOnce(mem member.Member, candidates []member.Member, tried []string) bool {
	near := false
	for _, other := range candidates {
		if pic.distance(other) == locality.OtherRegion {
			continue
		}
		near = true
		if !slices.Contains(tried, other.ID) {
			return true
		}
	}
	return near && pic.distance(mem) == locality.OtherRegion
}

// leastLatency is the lowest latency of a route at any member; one of which none is known is expected to be as fast.
func (pic *Picker) leastLatency(route string, candidates []member.Member) time.Duration {
	least := time.Duration(0)
	for _, mem := range candidates {
		if latency := pic.observe(mem.ID).routeLatency(route); latency > 0 && (least == 0 || latency < least) {
			least = latency
		}
	}
	if least == 0 {
		return assumedLatency
	}
	return least
}

// cost is the time in which a call of a route is expected to end at a member. Members that are ejected or take no
// calls come last, but are still better than none.
func (pic *Picker) cost(route string, mem member.Member, known time.Duration) time.Duration {
	obs := pic.observe(mem.ID)
	latency := obs.routeLatency(route)
	if latency == 0 {
		latency = known
	}
	over := max(obs.freshLoad()-roomyLoad, 0) * loadWeight
	dis := distanceCosts[pic.distance(mem)]
	failing := obs.failingPart() * failureWeight
	cost := time.Duration(float64(latency)*dis.factor*(1+over)*(1+failing)) + dis.roundTrip
	if obs.isEjected() || obs.isAway() {
		cost += time.Hour
	}
	return cost
}

// AnsweredRoute records the latency of a route's call that a member answered.
func (pic *Picker) AnsweredRoute(id, route string, elapsed time.Duration) {
	obs := pic.observe(id)
	obs.mux.Lock()
	defer obs.mux.Unlock()
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
}

// routeLatency returns a route's latency, or 0 if none was seen of late.
func (obs *observation) routeLatency(route string) time.Duration {
	obs.mux.Lock()
	defer obs.mux.Unlock()
	known, found := obs.routes[route]
	if !found || time.Since(known.at) > latencyLifetime {
		return 0
	}
	return known.latency
}

// failingPart returns the part of the member's calls that failed of late.
func (obs *observation) failingPart() float64 {
	obs.mux.Lock()
	defer obs.mux.Unlock()
	return obs.failingNow()
}

// isAway reports whether the member said of late that it takes no calls.
func (obs *observation) isAway() bool {
	obs.mux.Lock()
	defer obs.mux.Unlock()
	return time.Now().Before(obs.awayUntil)
}
