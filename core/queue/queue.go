package queue

import "slices"

const (
	// guaranteedEvery is the period of the turns that go by fair share before priority.
	guaranteedEvery = 10
	// guaranteedPart is the part of the places that priority cannot take from an account.
	guaranteedPart = 0.5
	// guaranteedLeast is the least number of such places of an account.
	guaranteedLeast = 2
	// maxIdleTenants bounds the accounts that are remembered while none of their calls waits.
	maxIdleTenants = 256
)

// Queue holds the waiting calls of one gate.
type Queue struct {
	// Weight returns an account's weight, which must be above 0.
	Weight func(account string) float64
	// InOrder makes the queue first in, first out, without regard to account and priority.
	InOrder bool

	length  int
	bound   int
	waiting int
	turns   int
	now     float64
	tenants map[string]*tenant
	// active holds the accounts with waiting calls, in the order in which they came.
	active []*tenant
}

// New returns a queue with the given number of places.
func New(length int, weight func(account string) float64) *Queue {
	return &Queue{Weight: weight, length: length, bound: length, tenants: map[string]*tenant{}}
}

// Len returns the number of waiting calls.
func (que *Queue) Len() int { return que.waiting }

// Bound returns the number of places in use, which falls under standing delay.
func (que *Queue) Bound() int { return que.bound }

// Length returns the number of places without standing delay.
func (que *Queue) Length() int { return que.length }

// SetLength changes the number of places.
func (que *Queue) SetLength(length int) {
	que.length = length
	que.bound = min(que.bound, length)
}

// SetBound changes the places in use and returns the waiters that lose theirs, the least important first.
func (que *Queue) SetBound(bound int) []*Waiter {
	que.bound = min(max(bound, 1), que.length)
	var shed []*Waiter
	for que.waiting > que.bound {
		wai := que.victim(nil, false)
		if wai == nil {
			break
		}
		que.Remove(wai)
		shed = append(shed, wai)
	}
	return shed
}

// Ahead returns the number of waiting calls of at least the given priority.
func (que *Queue) Ahead(priority int) int {
	if que.InOrder {
		return que.waiting
	}
	count := 0
	for _, ten := range que.active {
		for _, lin := range ten.lines {
			if lin.priority < priority {
				break
			}
			count += lin.count
		}
	}
	return count
}

// Beyond reports whether an account uses up the places that other accounts cannot take from it.
func (que *Queue) Beyond(account string) bool {
	ten := que.tenantOf(account)
	return ten.waiting >= que.guaranteed(ten, ten)
}

// Push adds a waiter; if the queue is full it returns the waiter that has no place, which may be the new one.
func (que *Queue) Push(wai *Waiter) *Waiter {
	account, priority := wai.Account, wai.Priority
	if que.InOrder {
		account, priority = "", 0
	}
	ten := que.tenantOf(account)
	within := !que.InOrder && ten.waiting < que.guaranteed(ten, ten)
	if que.waiting < que.bound || within && que.waiting < que.length {
		que.insert(ten.lineOf(priority), wai)
		return nil
	}
	vic := que.victim(ten, within)
	if vic == nil && within {
		within = false
		vic = que.victim(ten, within)
	}
	if vic == nil || !within && !que.yields(vic, ten, wai.Priority) {
		return wai
	}
	que.Remove(vic)
	que.insert(ten.lineOf(priority), wai)
	return vic
}

// Pop removes and returns the waiter whose turn it is, or nil; on demand it looks at deeper calls only.
func (que *Queue) Pop(onlyDeeper bool) *Waiter {
	guaranteed := (que.turns+1)%guaranteedEvery == 0
	var best *Waiter
	for _, ten := range que.active {
		wai := ten.most()
		if onlyDeeper && !wai.Deeper {
			continue
		}
		if best == nil || que.precedes(wai, best, guaranteed) {
			best = wai
		}
	}
	if best == nil {
		return nil
	}
	que.turns++
	ten := best.line.owner
	ten.served = max(ten.served, que.now) + 1/ten.weight
	que.Remove(best)
	que.advance()
	return best
}

// Remove takes a waiter out and reports whether it was waiting.
func (que *Queue) Remove(wai *Waiter) bool {
	if wai.line == nil {
		return false
	}
	ten := wai.line.owner
	wai.line.remove(wai)
	que.waiting--
	ten.waiting--
	if ten.waiting == 0 {
		at := slices.Index(que.active, ten)
		que.active = slices.Delete(que.active, at, at+1)
	}
	return true
}

// precedes orders two waiters of different accounts.
func (que *Queue) precedes(wai, other *Waiter, guaranteed bool) bool {
	if !guaranteed && wai.Priority != other.Priority {
		return wai.Priority > other.Priority
	}
	return wai.line.owner.served < other.line.owner.served
}

// victim returns the waiter to displace, for an arrival of the given account if there is one; it returns nil
// if all places are guaranteed. An arrival within its account's guarantee displaces calls of other accounts only.
func (que *Queue) victim(arriving *tenant, within bool) *Waiter {
	if que.InOrder {
		return nil
	}
	var vic *Waiter
	for _, ten := range que.active {
		own := ten == arriving
		if own && within || !own && ten.waiting <= que.guaranteed(ten, arriving) {
			continue
		}
		if wai := ten.least(); vic == nil || less(wai, vic) {
			vic = wai
		}
	}
	return vic
}

// less reports whether a waiter is displaced before another one.
func less(wai, other *Waiter) bool {
	if wai.Priority != other.Priority {
		return wai.Priority < other.Priority
	}
	return wai.line.owner.load() > other.line.owner.load()
}

// yields reports whether a waiter makes room for an arrival beyond its account's guarantee.
func (que *Queue) yields(vic *Waiter, arriving *tenant, priority int) bool {
	if vic.Priority != priority {
		return vic.Priority < priority
	}
	owner := vic.line.owner
	return owner != arriving && owner.load() > (float64(arriving.waiting)+1)/arriving.weight
}

// guaranteed returns the places that other accounts cannot take from an account.
func (que *Queue) guaranteed(ten, arriving *tenant) int {
	total := 0.0
	for _, act := range que.active {
		total += act.weight
	}
	if arriving != nil && arriving.waiting == 0 {
		total += arriving.weight
	}
	return max(guaranteedLeast, int(guaranteedPart*float64(que.length)*ten.weight/total))
}

func (que *Queue) insert(lin *line, wai *Waiter) {
	ten := lin.owner
	if ten.waiting == 0 {
		ten.served = max(ten.served, que.now)
		que.active = append(que.active, ten)
	}
	lin.add(wai)
	ten.waiting++
	que.waiting++
}

// advance moves the queue's virtual time to that of the account furthest behind.
func (que *Queue) advance() {
	if len(que.active) == 0 {
		return
	}
	least := que.active[0].served
	for _, ten := range que.active[1:] {
		least = min(least, ten.served)
	}
	que.now = max(que.now, least)
}

func (que *Queue) tenantOf(account string) *tenant {
	ten := que.tenants[account]
	if ten == nil {
		que.forgetIdle()
		ten = &tenant{account: account, served: que.now}
		que.tenants[account] = ten
	}
	ten.weight = que.Weight(account)
	return ten
}

func (que *Queue) forgetIdle() {
	if len(que.tenants) < maxIdleTenants+len(que.active) {
		return
	}
	for account, ten := range que.tenants {
		if ten.waiting == 0 {
			delete(que.tenants, account)
		}
	}
}
