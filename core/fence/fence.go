package fence

import (
	"sync/atomic"
	"time"

	"flamingoreach/core/reason"
)

// Lease is how long a node serves calls with a client account's key after sending a heartbeat that its leader answered.
const Lease = 3 * time.Second

// Fence holds the last times of contact; reads are safe from any goroutine.
type Fence struct {
	base time.Time
	// contact and region are times in nanoseconds since base; 0 means never.
	contact atomic.Int64
	region  atomic.Int64
	// cutHold is the setting of SetCutHold in nanoseconds; 0 means no limit.
	cutHold atomic.Int64
}

// New returns a fence that has had no contact and therefore refuses. Its base is 1 ns in the past, because the time 0
// means never.
func New() *Fence { return &Fence{base: time.Now().Add(-1)} }

// RecordContact records that the leader answered a heartbeat that was sent at the given time.
func (fen *Fence) RecordContact(sent time.Time) { raise(&fen.contact, sent.Sub(fen.base)) }

// RecordRegionContact records that the data centre had contact with the store's region at the given time.
func (fen *Fence) RecordRegionContact(at time.Time) { raise(&fen.region, at.Sub(fen.base)) }

// SetCutHold sets the time without contact to the store's region after which a data centre refuses keyed calls, so that
// other data centres may take over its allocations and accept patches without it; 0 means no limit.
func (fen *Fence) SetCutHold(hold time.Duration) { fen.cutHold.Store(int64(hold)) }

// raise stores a time unless a later one is stored already; only the control thread writes.
func raise(last *atomic.Int64, at time.Duration) {
	if int64(at) > last.Load() {
		last.Store(int64(at))
	}
}

// Check returns reason.None, or reason.CutOff if calls with a client account's key must be refused with outcome notRun.
func (fen *Fence) Check() reason.Reason {
	now := int64(time.Since(fen.base))
	contact, region, hold := fen.contact.Load(), fen.region.Load(), fen.cutHold.Load()
	if contact == 0 || now-contact >= int64(Lease) {
		return reason.CutOff
	}
	if hold > 0 && (region == 0 || now-region >= hold) {
		return reason.CutOff
	}
	return reason.None
}
