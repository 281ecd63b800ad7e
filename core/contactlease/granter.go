package contactlease

import "time"

// ClockMargin is added to the length of a lease to allow for clocks that run at different speeds.
const ClockMargin = 200 * time.Millisecond

// Granter records the leases that a leader has granted, by holder; only the control thread uses it.
type Granter struct {
	started       time.Time
	grantedAt     map[string]time.Time
	preparedOrder map[string]uint64
}

// New returns a granter without records. Leases that an earlier leader granted count as valid until the length of a
// lease has passed since this call.
func New() *Granter {
	return &Granter{started: time.Now(), grantedAt: map[string]time.Time{}, preparedOrder: map[string]uint64{}}
}

// Grant records that a lease is granted now to a holder that enforces the prepared patch of the given order.
func (gra *Granter) Grant(holder string, order uint64) {
	gra.grantedAt[holder] = time.Now()
	gra.preparedOrder[holder] = order
}

// Expired reports whether no lease of the given length can still be valid at the holder.
func (gra *Granter) Expired(holder string, length time.Duration) bool {
	last, known := gra.grantedAt[holder]
	if !known {
		last = gra.started
	}
	return time.Since(last) > length+ClockMargin
}

// AllPreparedOrExpired reports whether every holder enforces the prepared patch of the given order, or has no valid lease.
func (gra *Granter) AllPreparedOrExpired(order uint64, length time.Duration) bool {
	if time.Since(gra.started) <= length+ClockMargin {
		return false
	}
	for holder := range gra.grantedAt {
		if gra.preparedOrder[holder] < order && !gra.Expired(holder, length) {
			return false
		}
	}
	return true
}

// RemoveExpired removes the holders whose lease of the given length has expired.
func (gra *Granter) RemoveExpired(length time.Duration) {
	for holder := range gra.grantedAt {
		if gra.Expired(holder, length) {
			delete(gra.grantedAt, holder)
			delete(gra.preparedOrder, holder)
		}
	}
}
