package queue

import "slices"

const (
	// fairTurnInterval makes every tenth call leave the queue by fair share alone, so that a flood of calls of high
	// priority cannot starve those of low priority.
	fairTurnInterval = 10
	// guaranteedFraction is the fraction of the queue's places that is divided between the accounts by weight; more
	// important calls of other accounts cannot displace calls from these places.
	guaranteedFraction = 0.5
	// minGuaranteedPlaces is the smallest number of guaranteed places of an account.
	minGuaranteedPlaces = 2
	// maxIdleTenants bounds the accounts without waiting calls whose virtual time is kept.
	maxIdleTenants = 256
)

// Queue holds the waiting calls of one gate.
type Queue struct {
	// Weight returns an account's weight, which must be above 0.
	Weight func(account string) float64
	// FIFO makes the queue first in, first out, without regard to account and priority.
	FIFO bool

	length      int
	bound       int
	waiting     int
	pops        int
	virtualTime float64
	tenants     map[string]*tenant
	// active holds the accounts with waiting calls, in the order in which they became active.
	active []*tenant
}

// New returns a queue with the given number of places.
func New(length int, weight func(account string) float64) *Queue {
	return &Queue{Weight: weight, length: length, bound: length, tenants: map[string]*tenant{}}
}

// Len returns the number of waiting calls.
func (que *Queue) Len() int { return que.waiting }

// Bound returns the number of places that are open to calls beyond their account's guarantee; the gate lowers it
// while queueing delay persists.
func (que *Queue) Bound() int { return que.bound }

// Length returns the configured number of places.
func (que *Queue) Length() int { return que.length }

// SetLength changes the configured number of places.
func (que *Queue) SetLength(length int) {
	que.length = length
	que.bound = min(que.bound, length)
}

// SetBound changes the bound and returns the waiters that no longer have a place, the least important first.
func (que *Queue) SetBound(bound int) []*Waiter {
	que.bound = min(max(bound, 1), que.length)
	var shed []*Waiter
	for que.waiting > que.bound {
		wai := que.displaceable(nil, false)
		if wai == nil {
			break
		}
		que.Remove(wai)
		shed = append(shed, wai)
	}
	return shed
}

// Ahead returns the number of waiting calls of at least the given priority, or of all if the queue is first in,
// first out.
func (que *Queue) Ahead(priority int) int {
	if que.FIFO {
		return que.waiting
	}
	count := 0
	for _, ten := range que.active {
		for _, fif := range ten.fifos {
			if fif.priority < priority {
				break
			}
			count += fif.count
		}
	}
	return count
}

// UsesUpGuarantee reports whether an account's waiting calls use up its guaranteed places.
func (que *Queue) UsesUpGuarantee(account string) bool {
	ten := que.tenantOf(account)
	return ten.waiting >= que.guaranteed(ten, ten)
}

// Push adds a waiter. If there is no free place for it, Push returns the waiter that must be refused, which may be
// the new one.
func (que *Queue) Push(wai *Waiter) *Waiter {
	account, priority := wai.Account, wai.Priority
	if que.FIFO {
		account, priority = "", 0
	}
	ten := que.tenantOf(account)
	withinGuarantee := !que.FIFO && ten.waiting < que.guaranteed(ten, ten)
	if que.waiting < que.bound || withinGuarantee && que.waiting < que.length {
		que.insert(ten.fifoFor(priority), wai)
		return nil
	}
	displaced := que.displaceable(ten, withinGuarantee)
	if displaced == nil && withinGuarantee {
		withinGuarantee = false
		displaced = que.displaceable(ten, withinGuarantee)
	}
	if displaced == nil || !withinGuarantee && !que.isDisplacedBy(displaced, ten, wai.Priority) {
		return wai
	}
	que.Remove(displaced)
	que.insert(ten.fifoFor(priority), wai)
	return displaced
}

// Pop removes and returns the waiter that is next in order, or nil. With onlyDeeper it skips the accounts whose most
// important waiter is not a deeper call.
func (que *Queue) Pop(onlyDeeper bool) *Waiter {
	fairTurn := (que.pops+1)%fairTurnInterval == 0
	var best *Waiter
	for _, ten := range que.active {
		wai := ten.mostImportant()
		if onlyDeeper && !wai.Deeper {
			continue
		}
		if best == nil || que.precedes(wai, best, fairTurn) {
			best = wai
		}
	}
	if best == nil {
		return nil
	}
	que.pops++
	ten := best.fifo.owner
	ten.virtualTime = max(ten.virtualTime, que.virtualTime) + 1/ten.weight
	que.Remove(best)
	que.advanceVirtualTime()
	return best
}

// Remove takes a waiter out and reports whether it was waiting.
func (que *Queue) Remove(wai *Waiter) bool {
	if wai.fifo == nil {
		return false
	}
	ten := wai.fifo.owner
	wai.fifo.remove(wai)
	que.waiting--
	ten.waiting--
	if ten.waiting == 0 {
		at := slices.Index(que.active, ten)
		que.active = slices.Delete(que.active, at, at+1)
	}
	return true
}

// precedes reports whether a waiter leaves the queue before one of another account; in a fair turn, priority does not
// count.
func (que *Queue) precedes(wai, other *Waiter, fairTurn bool) bool {
	if !fairTurn && wai.Priority != other.Priority {
		return wai.Priority > other.Priority
	}
	return wai.fifo.owner.virtualTime < other.fifo.owner.virtualTime
}

// displaceable returns the waiter to displace, the least important one of the accounts that use more than their
// guarantee, or nil if there is none. An arrival within its account's guarantee displaces only calls of other accounts.
// The arriving account is nil when the bound falls.
func (que *Queue) displaceable(arriving *tenant, withinGuarantee bool) *Waiter {
	if que.FIFO {
		return nil
	}
	var displaced *Waiter
	for _, ten := range que.active {
		own := ten == arriving
		if own && withinGuarantee || !own && ten.waiting <= que.guaranteed(ten, arriving) {
			continue
		}
		if wai := ten.leastImportant(); displaced == nil || isShedBefore(wai, displaced) {
			displaced = wai
		}
	}
	return displaced
}

// isShedBefore reports whether a waiter is displaced before another one: the lower priority first, then the account
// with more waiting calls for its weight.
func isShedBefore(wai, other *Waiter) bool {
	if wai.Priority != other.Priority {
		return wai.Priority < other.Priority
	}
	return wai.fifo.owner.weightedLoad() > other.fifo.owner.weightedLoad()
}

// isDisplacedBy reports whether an arrival that is beyond its account's guarantee takes the place of a waiter.
func (que *Queue) isDisplacedBy(displaced *Waiter, arriving *tenant, priority int) bool {
	if displaced.Priority != priority {
		return displaced.Priority < priority
	}
	owner := displaced.fifo.owner
	return owner != arriving && owner.weightedLoad() > (float64(arriving.waiting)+1)/arriving.weight
}

// guaranteed returns the number of an account's guaranteed places, which are divided by weight between the accounts
// with waiting calls and the arriving one.
func (que *Queue) guaranteed(ten, arriving *tenant) int {
	total := 0.0
	for _, act := range que.active {
		total += act.weight
	}
	if arriving != nil && arriving.waiting == 0 {
		total += arriving.weight
	}
	return max(minGuaranteedPlaces, int(guaranteedFraction*float64(que.length)*ten.weight/total))
}

func (que *Queue) insert(fif *fifo, wai *Waiter) {
	ten := fif.owner
	if ten.waiting == 0 {
		ten.virtualTime = max(ten.virtualTime, que.virtualTime)
		que.active = append(que.active, ten)
	}
	fif.add(wai)
	ten.waiting++
	que.waiting++
}

// advanceVirtualTime moves the queue's virtual time to that of the account that is furthest behind, so that an
// account that was idle gets no credit for that time.
func (que *Queue) advanceVirtualTime() {
	if len(que.active) == 0 {
		return
	}
	least := que.active[0].virtualTime
	for _, ten := range que.active[1:] {
		least = min(least, ten.virtualTime)
	}
	que.virtualTime = max(que.virtualTime, least)
}

func (que *Queue) tenantOf(account string) *tenant {
	ten := que.tenants[account]
	if ten == nil {
		que.evictIdleTenants()
		ten = &tenant{account: account, virtualTime: que.virtualTime}
		que.tenants[account] = ten
	}
	ten.weight = que.Weight(account)
	return ten
}

func (que *Queue) evictIdleTenants() {
	if len(que.tenants) < maxIdleTenants+len(que.active) {
		return
	}
	for account, ten := range que.tenants {
		if ten.waiting == 0 {
			delete(que.tenants, account)
		}
	}
}
