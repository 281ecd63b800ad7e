package linkbudget

import (
	"sync"
	"time"
)

const (
	// callShare is the fraction of the link that calls may use; the rest is left to control messages and other traffic.
	callShare = 0.5
	// burstTime is how long unused bytes accumulate: the bytes of this time may be sent at once.
	burstTime = time.Second
	// sizeWeight is the weight of the newest call in the moving average of call sizes.
	sizeWeight = 0.05
	// initialSize is the average size of a call, in bytes, that is assumed before any call has been measured.
	initialSize = 4096
)

// Budget is a token bucket of the bytes that this node may send over the link; it is safe for concurrent use.
type Budget struct {
	mut         sync.Mutex
	rate        float64
	tokens      float64
	averageSize float64
	lastRefill  time.Time
}

// New returns a budget for the only node of a region whose link carries linkBytes per second.
func New(linkBytes float64) *Budget {
	bud := &Budget{averageSize: initialSize, lastRefill: time.Now()}
	bud.SetLink(linkBytes, 1)
	bud.tokens = bud.rate * burstTime.Seconds()
	return bud
}

// SetLink divides a link that carries linkBytes per second equally among the nodes of the region.
func (bud *Budget) SetLink(linkBytes float64, nodes int) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.rate = linkBytes * callShare / float64(max(nodes, 1))
}

// Take reports whether a call of average size may be sent over the link, and if so takes its bytes from the budget.
func (bud *Budget) Take() bool {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	now := time.Now()
	bud.tokens = min(bud.tokens+bud.rate*now.Sub(bud.lastRefill).Seconds(), max(bud.rate*burstTime.Seconds(), bud.averageSize))
	bud.lastRefill = now
	if bud.tokens < bud.averageSize {
		return false
	}
	bud.tokens -= bud.averageSize
	return true
}

// RecordSize replaces the average size that Take took for a call by its actual size, including its answer, in bytes.
func (bud *Budget) RecordSize(size int) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.tokens += bud.averageSize - float64(size)
	bud.averageSize += (float64(size) - bud.averageSize) * sizeWeight
}
