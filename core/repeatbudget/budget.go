package repeatbudget

import "sync"

const (
	// ratioPart and slackPart are the parts of the bounds that one service's own repeats use. The calls that a repeat
	// makes count as repeats at the services below, so a service four calls deep carries those of four levels.
	ratioPart = 0.25
	slackPart = 0.25
)

// Budget holds the repeats of one host; it is safe for concurrent use.
type Budget struct {
	mut      sync.Mutex
	ratio    float64
	slack    float64
	hosts    int
	services map[string]float64
}

// New returns a budget by a fleet's bounds: repeats per call, and repeats beyond that in one window.
func New(ratio, slack float64) *Budget {
	return &Budget{ratio: ratio * ratioPart, slack: slack * slackPart, hosts: 1, services: map[string]float64{}}
}

// SetBounds changes the bounds.
func (bud *Budget) SetBounds(ratio, slack float64) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.ratio, bud.slack = ratio*ratioPart, slack*slackPart
}

// SetHosts tells among how many hosts the slack is divided.
func (bud *Budget) SetHosts(hosts int) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.hosts = max(hosts, 1)
}

// Earn counts one call to a service.
func (bud *Budget) Earn(service string) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.services[service] = min(bud.held(service)+bud.ratio, bud.most())
}

// Spend takes one repeat and reports whether there was one.
func (bud *Budget) Spend(service string) bool {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	held := min(bud.held(service), bud.most())
	if held < 1 {
		return false
	}
	bud.services[service] = held - 1
	return true
}

func (bud *Budget) held(service string) float64 {
	if held, known := bud.services[service]; known {
		return held
	}
	return bud.most()
}

// most is what a host may hold, at least one repeat so that small parts of the slack are of use.
func (bud *Budget) most() float64 { return max(bud.slack/float64(bud.hosts), 1) }
