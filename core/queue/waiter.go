package queue

import (
	"time"

	"flamingoreach/core/refusal"
)

// Waiter is one call that waits; its fields are read-only once it was pushed.
type Waiter struct {
	Account  string
	Priority int
	Arrived  time.Time
	// Deeper says that the call belongs to work that runs elsewhere.
	Deeper bool
	// Ready yields nil when the call may run and a refusal when it was shed; it has room for one value.
	Ready chan *refusal.Refusal

	prev, next *Waiter
	line       *line
}

// NewWaiter returns a waiter for a call that arrived at the given time.
func NewWaiter(account string, priority int, arrived time.Time) *Waiter {
	return &Waiter{Account: account, Priority: priority, Arrived: arrived, Ready: make(chan *refusal.Refusal, 1)}
}

// line is the first-in-first-out list of one account's waiters of one priority.
type line struct {
	owner       *tenant
	priority    int
	count       int
	first, last *Waiter
}

func (lin *line) add(wai *Waiter) {
	wai.line, wai.prev = lin, lin.last
	if lin.last == nil {
		lin.first = wai
	} else {
		lin.last.next = wai
	}
	lin.last = wai
	lin.count++
}

func (lin *line) remove(wai *Waiter) {
	if wai.prev == nil {
		lin.first = wai.next
	} else {
		wai.prev.next = wai.next
	}
	if wai.next == nil {
		lin.last = wai.prev
	} else {
		wai.next.prev = wai.prev
	}
	wai.prev, wai.next, wai.line = nil, nil, nil
	lin.count--
}
