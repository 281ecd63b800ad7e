package queue

import "slices"

const (
	// fairTurnInterval makes every tenth call that leaves the queue a fair turn: it is chosen by the accounts' fair
	// shares alone, without regard to priority, so that a flood of calls of high priority cannot starve those of low
	// priority.
	fairTurnInterval = 10
	// guaranteedFraction is the fraction of the queue's places that are guaranteed: they are divided between the
	// accounts by weight, and more important calls of other accounts cannot displace calls from them.
	guaranteedFraction = 0.5
	// minGuaranteedPlaces is the smallest number of guaranteed places of an account.
	minGuaranteedPlaces = 2
	// maxIdleAccounts bounds the accounts without waiting calls whose virtual time is kept.
	maxIdleAccounts = 256
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
	deeper      int
	pops        int
	virtualTime float64
	accounts    map[string]*accountQueue
	// active holds the accounts with waiting calls, in the order in which they became active.
	active []*accountQueue
}

// New returns a queue with the given number of places.
func New(length int, weight func(account string) float64) *Queue {
	return &Queue{Weight: weight, length: length, bound: length, accounts: map[string]*accountQueue{}}
}

// Len returns the number of waiting calls.
func (que *Queue) Len() int { return que.waiting }

// Deeper returns the number of waiting deeper calls.
func (que *Queue) Deeper() int { return que.deeper }

// Bound returns the number of waiting calls up to which the queue takes calls beyond their account's guaranteed places;
// the gate lowers it while queueing delay persists.
func (que *Queue) Bound() int { return que.bound }

// Length returns the configured number of places.
func (que *Queue) Length() int { return que.length }

// SetLength changes the configured number of places. A bound that was not lowered follows it.
func (que *Queue) SetLength(length int) {
	if que.bound == que.length {
		que.bound = length
	}
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
	for _, acq := range que.active {
		for _, fif := range acq.fifos {
			if fif.priority < priority {
				break
			}
			count += fif.count
		}
	}
	return count
}

// UsesUpGuaranteedPlaces reports whether an account's waiting calls use up its guaranteed places.
func (que *Queue) UsesUpGuaranteedPlaces(account string) bool {
	acq := que.queueOf(account)
	return acq.waiting >= que.guaranteedPlaces(acq, acq)
}

// Push adds a waiter. If there is no free place for it, Push returns the waiter that must be refused, which may be
// the new one.
func (que *Queue) Push(wai *Waiter) *Waiter {
	account, priority := wai.Account, wai.Priority
	if que.FIFO {
		account, priority = "", 0
	}
	acq := que.queueOf(account)
	getsGuaranteedPlace := !que.FIFO && acq.waiting < que.guaranteedPlaces(acq, acq)
	if que.waiting < que.bound || getsGuaranteedPlace && que.waiting < que.length {
		que.insert(acq.fifoFor(priority), wai)
		return nil
	}
	displaced := que.displaceable(acq, getsGuaranteedPlace)
	if displaced == nil && getsGuaranteedPlace {
		getsGuaranteedPlace = false
		displaced = que.displaceable(acq, getsGuaranteedPlace)
	}
	if displaced == nil || !getsGuaranteedPlace && !que.isDisplacedBy(displaced, acq, wai.Priority) {
		return wai
	}
	que.Remove(displaced)
	que.insert(acq.fifoFor(priority), wai)
	return displaced
}

// Next returns the waiter that is next in order, or nil. With onlyDeeper it skips the accounts whose most important waiter
// is not a deeper call.
func (que *Queue) Next(onlyDeeper bool) *Waiter {
	fairTurn := (que.pops+1)%fairTurnInterval == 0
	var best *Waiter
	for _, acq := range que.active {
		wai := acq.mostImportant()
		if onlyDeeper && !wai.Deeper {
			continue
		}
		if best == nil || que.precedes(wai, best, fairTurn) {
			best = wai
		}
	}
	return best
}

// Pop removes and returns the waiter that Next returns.
func (que *Queue) Pop(onlyDeeper bool) *Waiter {
	best := que.Next(onlyDeeper)
	if best == nil {
		return nil
	}
	que.pops++
	acq := best.fifo.owner
	acq.virtualTime = max(acq.virtualTime, que.virtualTime) + 1/acq.weight
	que.Remove(best)
	que.advanceVirtualTime()
	return best
}

// Remove takes a waiter out and reports whether it was waiting.
func (que *Queue) Remove(wai *Waiter) bool {
	if wai.fifo == nil {
		return false
	}
	acq := wai.fifo.owner
	wai.fifo.remove(wai)
	que.waiting--
	if wai.Deeper {
		que.deeper--
	}
	acq.waiting--
	if acq.waiting == 0 {
		at := slices.Index(que.active, acq)
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
// guaranteed places, or nil if there is none. An arrival that gets a guaranteed place of its account displaces only
// calls of other accounts; any other arrival may also displace a call of its own account. The arriving account is nil
// when the bound falls.
func (que *Queue) displaceable(arriving *accountQueue, getsGuaranteedPlace bool) *Waiter {
	if que.FIFO {
		return nil
	}
	var displaced *Waiter
	for _, acq := range que.active {
		own := acq == arriving
		if own && getsGuaranteedPlace || !own && acq.waiting <= que.guaranteedPlaces(acq, arriving) {
			continue
		}
		if wai := acq.leastImportant(); displaced == nil || isShedBefore(wai, displaced) {
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

// isDisplacedBy reports whether an arrival beyond its account's guaranteed places takes the place of a waiter.
func (que *Queue) isDisplacedBy(displaced *Waiter, arriving *accountQueue, priority int) bool {
	if displaced.Priority != priority {
		return displaced.Priority < priority
	}
	owner := displaced.fifo.owner
	return owner != arriving && owner.weightedLoad() > (float64(arriving.waiting)+1)/arriving.weight
}

// guaranteedPlaces returns the number of an account's guaranteed places, which are divided by weight between the
// accounts with waiting calls and the arriving one.
func (que *Queue) guaranteedPlaces(acq, arriving *accountQueue) int {
	total := 0.0
	for _, act := range que.active {
		total += act.weight
	}
	if arriving != nil && arriving.waiting == 0 {
		total += arriving.weight
	}
	return max(minGuaranteedPlaces, int(guaranteedFraction*float64(que.length)*acq.weight/total))
}

func (que *Queue) insert(fif *fifo, wai *Waiter) {
	acq := fif.owner
	if acq.waiting == 0 {
		acq.virtualTime = max(acq.virtualTime, que.virtualTime)
		que.active = append(que.active, acq)
	}
	fif.add(wai)
	acq.waiting++
	que.waiting++
	if wai.Deeper {
		que.deeper++
	}
}

// advanceVirtualTime moves the queue's virtual time to that of the account that is furthest behind, so that an
// account that was idle gets no credit for that time.
func (que *Queue) advanceVirtualTime() {
	if len(que.active) == 0 {
		return
	}
	least := que.active[0].virtualTime
	for _, acq := range que.active[1:] {
		least = min(least, acq.virtualTime)
	}
	que.virtualTime = max(que.virtualTime, least)
}

func (que *Queue) queueOf(account string) *accountQueue {
	acq := que.accounts[account]
	if acq == nil {
		que.evictIdleAccounts()
		acq = &accountQueue{account: account, virtualTime: que.virtualTime}
		que.accounts[account] = acq
	}
	acq.weight = que.Weight(account)
	return acq
}

func (que *Queue) evictIdleAccounts() {
	if len(que.accounts) < maxIdleAccounts+len(que.active) {
		return
	}
	for account, acq := range que.accounts {
		if acq.waiting == 0 {
			delete(que.accounts, account)
		}
	}
}
