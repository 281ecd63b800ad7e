package splitter

import (
	"slices"
	"sync"

	"flamingoreach/core/route"
	"flamingoreach/core/route/destination"
)

// Splitter chooses destinations by smooth weighted round robin; it is safe for concurrent use.
type Splitter struct {
	mut    sync.Mutex
	routes map[string]*roundRobin
}

// roundRobin is the state for one route: its destinations and their current weights in the smooth weighted round robin.
type roundRobin struct {
	destinations   []destination.Destination
	currentWeights []float64
}

// New returns a splitter without state for any route.
func New() *Splitter { return &Splitter{routes: map[string]*roundRobin{}} }

// Choose returns the service for the next call of a route, which must have at least one destination. If the
// destinations or weights have changed since the last call, the round robin of the route starts anew.
func (spl *Splitter) Choose(rou route.Route) string {
	spl.mut.Lock()
	defer spl.mut.Unlock()
	rob := spl.routes[rou.Name]
	if rob == nil || !slices.Equal(rob.destinations, rou.Destinations) {
		rob = &roundRobin{destinations: rou.Destinations, currentWeights: make([]float64, len(rou.Destinations))}
		spl.routes[rou.Name] = rob
	}
	return rob.next()
}

// RetainRoutes drops the state of routes that a new configuration version does not have.
func (spl *Splitter) RetainRoutes(routes []route.Route) {
	spl.mut.Lock()
	defer spl.mut.Unlock()
	kept := make(map[string]*roundRobin, len(spl.routes))
	for _, rou := range routes {
		if rob := spl.routes[rou.Name]; rob != nil {
			kept[rou.Name] = rob
		}
	}
	spl.routes = kept
}

func (rob *roundRobin) next() string {
	total, best := 0.0, 0
	for index, des := range rob.destinations {
		total += des.Weight
		rob.currentWeights[index] += des.Weight
		if rob.currentWeights[index] > rob.currentWeights[best] {
			best = index
		}
	}
	rob.currentWeights[best] -= total
	return rob.destinations[best].Service
}
