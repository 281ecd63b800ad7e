package queue

import (
	"cmp"
	"slices"
)

// accountQueue holds the waiters of one client account.
type accountQueue struct {
	account string
	weight  float64
	waiting int
	// virtualTime is the number of the account's calls that left the queue for a slot, divided by its weight. An
	// account that was idle continues from the queue's virtual time.
	virtualTime float64
	// fifos is ordered by falling priority; empty lists are kept for reuse.
	fifos []*fifo
}

// fifoFor returns the list of a priority and adds it if it is missing.
func (acq *accountQueue) fifoFor(priority int) *fifo {
	at, found := slices.BinarySearchFunc(acq.fifos, priority, func(fif *fifo, pri int) int {
		return cmp.Compare(pri, fif.priority)
	})
	if !found {
		acq.fifos = slices.Insert(acq.fifos, at, &fifo{owner: acq, priority: priority})
	}
	return acq.fifos[at]
}

// mostImportant returns the oldest waiter of the highest priority, or nil.
func (acq *accountQueue) mostImportant() *Waiter {
	for _, fif := range acq.fifos {
		if fif.first != nil {
			return fif.first
		}
	}
	return nil
}

// leastImportant returns the newest waiter of the lowest priority, or nil.
func (acq *accountQueue) leastImportant() *Waiter {
	for _, fif := range slices.Backward(acq.fifos) {
		if fif.last != nil {
			return fif.last
		}
	}
	return nil
}

// weightedLoad is the number of the account's waiting calls, divided by its weight.
func (acq *accountQueue) weightedLoad() float64 { return float64(acq.waiting) / acq.weight }
