package splitter

import (
	"slices"
	"sync"

	"flamingoreach/core/route"
	"flamingoreach/core/route/part"
)

// Splitter chooses parts by smooth weighted round robin; it is safe for concurrent use.
type Splitter struct {
	mut    sync.Mutex
	routes map[string]*turns
}

// turns is how far each part of one route is behind its share.
type turns struct {
	parts  []part.Part
	behind []float64
}

// New returns a splitter that knows no routes.
func New() *Splitter { return &Splitter{routes: map[string]*turns{}} }

// Choose returns the service for the next call of a route that has parts.
func (spl *Splitter) Choose(rou route.Route) string {
	spl.mut.Lock()
	defer spl.mut.Unlock()
	tur := spl.routes[rou.Name]
	if tur == nil || !slices.Equal(tur.parts, rou.Parts) {
		tur = &turns{parts: rou.Parts, behind: make([]float64, len(rou.Parts))}
		spl.routes[rou.Name] = tur
	}
	return tur.next()
}

// Keep forgets the routes that a version does not have any more.
func (spl *Splitter) Keep(routes []route.Route) {
	spl.mut.Lock()
	defer spl.mut.Unlock()
	kept := make(map[string]*turns, len(spl.routes))
	for _, rou := range routes {
		if tur := spl.routes[rou.Name]; tur != nil {
			kept[rou.Name] = tur
		}
	}
	spl.routes = kept
}

func (tur *turns) next() string {
	total, best := 0.0, 0
	for index, par := range tur.parts {
		total += par.Weight
		tur.behind[index] += par.Weight
		if tur.behind[index] > tur.behind[best] {
			best = index
		}
	}
	tur.behind[best] -= total
	return tur.parts[best].Service
}
