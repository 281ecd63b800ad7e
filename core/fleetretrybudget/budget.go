package fleetretrybudget

import "sync"

const (
	// ratioFraction and slackFraction are the fractions of the bounds that the retries to one service may use. The
	// deeper calls that a retry makes count as retries too, so a service four calls deep gets the retries of four levels.
	ratioFraction = 0.25
	slackFraction = 0.25
)

// Budget holds the retries left to one host, by service; it is safe for concurrent use.
type Budget struct {
	mut      sync.Mutex
	ratio    float64
	slack    float64
	hosts    int
	services map[string]float64
}

// New returns a budget by the bounds of the whole fleet: ratio is in retries per call, slack is the number of retries
// beyond that in one window.
func New(ratio, slack float64) *Budget {
	return &Budget{ratio: ratio * ratioFraction, slack: slack * slackFraction, hosts: 1, services: map[string]float64{}}
}

// SetBounds changes the bounds of the whole fleet.
func (bud *Budget) SetBounds(ratio, slack float64) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.ratio, bud.slack = ratio*ratioFraction, slack*slackFraction
}

// SetHosts sets the number of hosts among which the slack is divided.
func (bud *Budget) SetHosts(hosts int) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.hosts = max(hosts, 1)
}

// Earn adds the ratio for one call to a service.
func (bud *Budget) Earn(service string) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.services[service] = min(bud.balance(service)+bud.ratio, bud.capacity())
}

// Spend takes one retry and reports whether there was one.
func (bud *Budget) Spend(service string) bool {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	balance := min(bud.balance(service), bud.capacity())
	if balance < 1 {
		return false
	}
	bud.services[service] = balance - 1
	return true
}

// balance returns the balance of a service, which starts full.
func (bud *Budget) balance(service string) float64 {
	if balance, known := bud.services[service]; known {
		return balance
	}
	return bud.capacity()
}

// capacity returns the highest balance that a host may hold: its part of the slack, but at least one retry, because a
// lower balance could never be spent.
func (bud *Budget) capacity() float64 { return max(bud.slack/float64(bud.hosts), 1) }
