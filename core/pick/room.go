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
	prospects := pic.prospects(cal.Route, candidates)
	best, found := pic.cheapest(prospects, tried, locality.OtherRegion)
	if found && best.distance == locality.OtherRegion && !pic.MaySpill() {
		best, found = pic.cheapest(prospects, tried, locality.SameRegion)
	}
	if !found {
		return member.Member{}, false
	}
	return *best.member, true
}

// cheapest returns the untried member of least cost up to a distance; of equal ones a random one.
func (pic *Picker) cheapest(prospects []prospect, tried []string, farthest int) (prospect, bool) {
	best, lowest, found := prospect{}, time.Duration(0), false
	known := leastLatency(prospects)
	offset := pic.Random(max(len(prospects), 1))
	for index := range prospects {
		pro := &prospects[(index+offset)%len(prospects)]
		if pro.distance > farthest || slices.Contains(tried, pro.member.ID) {
			continue
		}
		if cost := pro.cost(known); !found || cost < lowest {
			best, lowest, found = *pro, cost, true
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
func leastLatency(prospects []prospect) time.Duration {
	least := time.Duration(0)
	for _, pro := range prospects {
		if pro.latency > 0 && (least == 0 || pro.latency < least) {
			least = pro.latency
		}
	}
	if least == 0 {
		return assumedLatency
	}
	return least
}

// prospect is what is expected of a route's call at one member.
type prospect struct {
	member   *member.Member
	distance int
	// latency is the route's, or 0 if none was seen of late.
	latency time.Duration
	load    float64
	// overdue is the time for which the member has been silent beyond what its calls under way may take.
	overdue time.Duration
	// failing is the part of the member's calls that failed of late.
	failing float64
	// last says that the member is ejected or takes no calls, which is still better than none.
	last bool
}

// prospects returns what is known of all members at one moment.
func (pic *Picker) prospects(route string, candidates []member.Member) []prospect {
	now := time.Now()
	prospects := make([]prospect, 0, len(candidates))
	for index := range candidates {
		mem := &candidates[index]
		pro := pic.observe(mem.ID).prospect(route, now)
		pro.member, pro.distance = mem, pic.distance(*mem)
		prospects = append(prospects, pro)
	}
	return prospects
}

// cost is the time in which the call is expected to end; known stands for a latency that was not seen.
func (pro *prospect) cost(known time.Duration) time.Duration {
	latency := pro.latency
	if latency == 0 {
		latency = known
	}
	latency += pro.overdue
	over := max(pro.load-roomyLoad, 0) * loadWeight
	dis := distanceCosts[pro.distance]
	cost := time.Duration(float64(latency)*dis.factor*(1+over)*(1+pro.failing*failureWeight)) + dis.roundTrip
	if pro.last {
		cost += time.Hour
	}
	return cost
}

// prospect returns what was seen of a member, under one lock.
func (obs *observation) prospect(route string, now time.Time) prospect {
	obs.mux.Lock()
	defer obs.mux.Unlock()
	pro := prospect{
		load: obs.loadAtTime(now), failing: obs.failingAtTime(now),
		last: obs.ejectedAtTime(now) || now.Before(obs.awayUntil),
	}
	if known, found := obs.routes[route]; found && now.Sub(known.at) <= latencyLifetime {
		pro.latency = known.latency
	}
	pro.overdue = obs.overdue(now)
	return pro
}

// overdue returns the time for which a member with calls under way has been silent beyond the latency of its slowest
// route. A host that stands still answers nothing; its last load would make it look idle.
func (obs *observation) overdue(now time.Time) time.Duration {
	if obs.inFlight == 0 {
		return 0
	}
	usual := assumedLatency
	if now.Sub(obs.slowest.at) <= latencyLifetime {
		usual = max(usual, obs.slowest.latency)
	}
	return max(0, now.Sub(obs.quietFrom)-usual)
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
	if known.latency >= obs.slowest.latency || now.Sub(obs.slowest.at) > latencyLifetime {
		obs.slowest = known
	}
}
