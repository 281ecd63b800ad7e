package retrybudget

import (
	"sync"
	"time"
)

const (
	// reserve is the number of retries that a node may make without any success; reservePerSec is the rate at which time
	// refills the budget up to the reserve.
	reserve       = 10.0
	reservePerSec = 1.0
	// maximum is the number of retries that successes may add up to.
	maximum = 100.0
)

// Budget counts the retries that a node may still make; successes and time refill it.
type Budget struct {
	mut     sync.Mutex
	credits float64
	filled  time.Time
}

// New returns a budget that holds the reserve.
func New() *Budget { return &Budget{credits: reserve, filled: time.Now()} }

// Earn adds the credits of one success; ratio is in retries per success.
func (bud *Budget) Earn(ratio float64) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.credits = min(bud.credits+ratio, maximum)
}

// Spend takes one retry and reports whether there was one.
func (bud *Budget) Spend() bool {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.refill()
	if bud.credits < 1 {
		return false
	}
	bud.credits--
	return true
}

// refill adds the credits for the time since the last call, up to the reserve.
func (bud *Budget) refill() {
	now := time.Now()
	if bud.credits < reserve {
		bud.credits = min(bud.credits+now.Sub(bud.filled).Seconds()*reservePerSec, reserve)
	}
	bud.filled = now
}
