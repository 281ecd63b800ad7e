package deeperlimit

import (
	"sync"
	"time"

	"flamingoreach/core/answer"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

const (
	// decreaseFactor is the factor by which the bound falls when the service sheds.
	decreaseFactor = 0.6
	// minDecreaseInterval is the shortest time between two decreases.
	minDecreaseInterval = 100 * time.Millisecond
	// increase divided by the bound is added to the bound for each complete answer.
	increase = 0.3
	// minFraction is the smallest bound, as a fraction of the slots.
	minFraction = 0.05
	// topPriorityFraction is the fraction of the slots that calls of the highest priority seen so far may use even
	// if the bound is lower.
	topPriorityFraction = 0.35
	// retryDelay is the RetryAfter of refusals.
	retryDelay = time.Second
)

// Limit bounds the calls in flight to each deeper service; it is safe for concurrent use.
type Limit struct {
	mut      sync.Mutex
	slots    float64
	services map[string]*service
}

// service is the state of one deeper service.
type service struct {
	bound           float64
	inFlight        int
	highestPriority int
	lastDecrease    time.Time
}

// New returns a limit for a backend server with the given number of slots.
func New(slots int) *Limit {
	return &Limit{slots: float64(max(slots, 1)), services: map[string]*service{}}
}

// SetSlots changes the number of slots, which is the bound of a service that has not shed, and scales all bounds
// with it.
func (lim *Limit) SetSlots(slots int) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	previous := lim.slots
	lim.slots = float64(max(slots, 1))
	for _, ser := range lim.services {
		ser.bound = max(ser.bound*lim.slots/previous, 1)
	}
}

// Enter counts a call to a service as in flight, or returns a refusal. Leave must follow for each call that was
// counted.
func (lim *Limit) Enter(name string, priority int) *refusal.Refusal {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	ser, known := lim.services[name]
	if !known {
		ser = &service{bound: lim.slots, highestPriority: priority}
		lim.services[name] = ser
	}
	ser.highestPriority = max(ser.highestPriority, priority)
	bound := ser.bound
	if priority == ser.highestPriority {
		bound = max(bound, lim.slots*topPriorityFraction)
	}
	if float64(ser.inFlight) >= bound {
		ref := refusal.NotRun(reason.DeeperLimit, "deeperlimit.enter")
		ref.RetryAfter = retryDelay
		return ref
	}
	ser.inFlight++
	return nil
}

// Leave ends the count of a call and adjusts the service's bound by its answer.
func (lim *Limit) Leave(name string, ans answer.Answer) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	ser := lim.services[name]
	inFlight := float64(ser.inFlight)
	ser.inFlight--
	now := time.Now()
	switch {
	case ans.Refusal == nil:
		ser.bound = min(ser.bound+increase/ser.bound, lim.slots)
	case ans.Refusal.Outcome == outcome.NotRun && now.Sub(ser.lastDecrease) >= minDecreaseInterval:
		ser.bound = max(min(ser.bound, inFlight)*decreaseFactor, lim.slots*minFraction, 1)
		ser.lastDecrease = now
	}
}
