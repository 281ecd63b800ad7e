package queue

import (
	"time"

	"flamingoreach/core/refusal"
)

// Waiter is one call that waits for a slot; its fields must not be changed after Push.
type Waiter struct {
	Account  string
	Priority int
	Arrived  time.Time
	// Deeper marks a deeper call: a backend server made it for a request that is already running.
	Deeper bool
	// Ready receives one value: nil when the call may run, or a refusal when it was shed. It has a buffer of one, so
	// that the gate never blocks on it.
	Ready chan *refusal.Refusal

	prev, next *Waiter
	fifo       *fifo
}

// NewWaiter returns a waiter for a call that arrived at the given time.
func NewWaiter(account string, priority int, arrived time.Time) *Waiter {
	return &Waiter{Account: account, Priority: priority, Arrived: arrived, Ready: make(chan *refusal.Refusal, 1)}
}

// fifo is the first-in-first-out list of one account's waiters of one priority.
type fifo struct {
	owner       *accountQueue
	priority    int
	count       int
	first, last *Waiter
}

func (fif *fifo) add(wai *Waiter) {
	wai.fifo, wai.prev = fif, fif.last
	if fif.last == nil {
		fif.first = wai
	} else {
		fif.last.next = wai
	}
	fif.last = wai
	fif.count++
}

func (fif *fifo) remove(wai *Waiter) {
	if wai.prev == nil {
		fif.first = wai.next
	} else {
		wai.prev.next = wai.next
	}
	if wai.next == nil {
		fif.last = wai.prev
	} else {
		wai.next.prev = wai.prev
	}
	wai.prev, wai.next, wai.fifo = nil, nil, nil
	fif.count--
}
