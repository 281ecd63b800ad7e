package dedupe

import (
	"time"

	"github.com/google/uuid"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

const step = "gate.dedupe"

// grace is how long a call ID is kept after the call's deadline, to recognise deliveries that arrive late.
const grace = time.Second

// Table holds the calls that a gate remembers.
type Table struct {
	// KeyRetention is how long the answer to a call with an idempotency key is kept.
	KeyRetention time.Duration
	// ClockSkew is the largest difference between a caller's clock and the gate's that is allowed for.
	ClockSkew time.Duration
	// MaxCalls bounds the entries, MaxBytes the size of their answers in bytes.
	MaxCalls int
	MaxBytes int

	started time.Time
	// ownerSince is the time from which this gate owns its idempotency keys: before it, other gates may have run
	// calls with them.
	ownerSince time.Time
	calls      map[uuid.UUID]*Entry
	keys       map[scopedKey]*Entry
	bytes      int
	expiries   expiryBuckets
	// idempotent, refused and answered list settled entries, the oldest first. Idempotent calls and refused ones can
	// be evicted, and of answered ones the answer.
	idempotent, refused, answered fifo
	// newestEvicted is the latest creation time of a refused call that was evicted. A call ID that is not newer may
	// be one of those, so it is not run.
	newestEvicted time.Time
}

// New returns an empty table of a gate that started at the given time.
func New(started time.Time) *Table {
	return &Table{
		started:    started,
		ownerSince: started,
		calls:      map[uuid.UUID]*Entry{},
		keys:       map[scopedKey]*Entry{},
		expiries:   expiryBuckets{seconds: map[int64]map[*Entry]struct{}{}, sweptUntil: started.Unix()},
	}
}

// Resume records that the table's gate takes calls again. Other gates acted for it until now and may have run calls
// with any older idempotency key.
func (tab *Table) Resume(now time.Time) { tab.ownerSince = now }

// Len returns the number of entries and the size of their answers in bytes.
func (tab *Table) Len() (calls, bytes int) { return len(tab.calls) + len(tab.keys), tab.bytes }

// Begin returns a fresh entry for a call that may run, or the entry of its first delivery, or a refusal. The entry of a
// fresh call is nil if the table is full and the call is idempotent and has no idempotency key.
func (tab *Table) Begin(cal call.Call, now time.Time) (ent *Entry, fresh bool, ref *refusal.Refusal) {
	tab.sweep(now)
	if ent = tab.calls[cal.ID]; ent != nil {
		return ent, false, nil
	}
	if ref = tab.refuseTooOld(cal, now); ref != nil {
		return nil, false, ref
	}
	if cal.IdempotencyKey != "" {
		if ent, ref = tab.lookUpKey(cal, now); ent != nil || ref != nil {
			return ent, false, ref
		}
	}
	if !tab.makeRoom(cal) {
		if cal.Idempotent && cal.IdempotencyKey == "" {
			return nil, true, nil
		}
		return nil, false, tab.refuseFull()
	}
	return tab.insert(cal), true, nil
}

// Settle stores the answer of a fresh entry, with the size of its payload in bytes, and wakes the duplicates that
// wait for it.
func (tab *Table) Settle(ent *Entry, ans answer.Answer, payload any, size int, now time.Time) {
	if ent == nil {
		return
	}
	ent.settled, ent.ans, ent.payload, ent.size = true, ans, payload, size
	if ent.done != nil {
		close(ent.done)
	}
	if ent.heldByKey && ent.notRun() {
		tab.removeKey(ent)
	}
	if ent.heldByKey {
		ent.keyExpires = now.Add(tab.KeyRetention)
		tab.expiries.add(ent, ent.keyExpires)
	}
	switch {
	case ent.heldByKey:
	case ent.idempotent:
		tab.idempotent.add(ent)
	case ent.notRun():
		tab.refused.add(ent)
	}
	if size > 0 {
		tab.bytes += size
		tab.answered.add(ent)
	}
	tab.evictAnswers()
}

// refuseTooOld refuses a delivery of a call whose entry may have expired or been evicted, or that was made before the
// gate started and may have run then.
func (tab *Table) refuseTooOld(cal call.Call, now time.Time) *refusal.Refusal {
	if now.After(cal.Deadline.Add(grace)) {
		return refusal.Unknown(reason.DeadlineExceeded, step)
	}
	if cal.Idempotent {
		return nil
	}
	created, hasTime := createdAt(cal.ID)
	switch {
	case hasTime && created.Before(tab.started.Truncate(time.Millisecond)):
		return refusal.Unknown(reason.HomeLost, step)
	case hasTime && !created.After(tab.newestEvicted):
		return tab.refuseFull()
	}
	return nil
}

// lookUpKey returns the entry of an idempotency key, or nil for a new key. It refuses a key that was used with other
// content, and one that may have been used before this gate owned it.
func (tab *Table) lookUpKey(cal call.Call, now time.Time) (*Entry, *refusal.Refusal) {
	ent := tab.keys[scopedKeyOf(cal)]
	switch {
	case ent != nil && ent.fingerprint != cal.Fingerprint:
		return nil, refusal.NotRun(reason.HeaderInvalid, step)
	case ent != nil:
		return ent, nil
	case tab.mayPredate(cal.IdempotencyKey, now):
		return nil, refusal.Unknown(reason.HomeLost, step)
	}
	return nil, nil
}

// mayPredate reports whether a key may have been used before the gate started, or at a gate that acted for it.
func (tab *Table) mayPredate(key string, now time.Time) bool {
	if id, err := uuid.Parse(key); err == nil {
		if created, hasTime := createdAt(id); hasTime && !created.After(now.Add(tab.ClockSkew)) {
			return created.Before(tab.ownerSince.Add(tab.ClockSkew))
		}
	}
	return now.Sub(tab.ownerSince) < tab.KeyRetention
}

func (tab *Table) refuseFull() *refusal.Refusal {
	ref := refusal.NotRun(reason.QueueFull, step)
	ref.Elsewhere = true
	return ref
}

// makeRoom reports whether there is room for the call. It evicts settled calls, but only those whose eviction cannot
// make a call run twice that must not.
func (tab *Table) makeRoom(cal call.Call) bool {
	need := 1
	if cal.IdempotencyKey != "" {
		need = 2
	}
	for len(tab.calls)+len(tab.keys)+need > tab.MaxCalls {
		ent := tab.idempotent.pop()
		if ent == nil {
			ent = tab.refused.pop()
		}
		if ent == nil {
			return false
		}
		if created, hasTime := createdAt(ent.id); hasTime && !ent.idempotent && created.After(tab.newestEvicted) {
			tab.newestEvicted = created
		}
		tab.removeID(ent)
		if ent.removed() {
			tab.expiries.remove(ent)
		}
	}
	return true
}

func (tab *Table) insert(cal call.Call) *Entry {
	ent := &Entry{
		id: cal.ID, idempotent: cal.Idempotent, fingerprint: cal.Fingerprint,
		idExpires: cal.Deadline.Add(grace), heldByID: true,
	}
	tab.calls[cal.ID] = ent
	if cal.IdempotencyKey != "" {
		ent.key, ent.heldByKey = scopedKeyOf(cal), true
		tab.keys[ent.key] = ent
	}
	tab.expiries.add(ent, ent.idExpires)
	return ent
}

// sweep removes the entries that have expired, except those of calls that still run.
func (tab *Table) sweep(now time.Time) {
	if now.Unix() <= tab.expiries.sweptUntil {
		return
	}
	tab.expiries.popDue(now, func(ent *Entry) {
		switch {
		case !ent.settled:
			tab.expiries.add(ent, now.Add(time.Second))
			return
		case ent.heldByID && !now.Before(ent.idExpires):
			tab.removeID(ent)
		}
		if ent.heldByKey && !now.Before(ent.keyExpires) {
			tab.removeKey(ent)
		}
	})
	tab.idempotent.trim()
	tab.refused.trim()
	tab.answered.trim()
}

func (tab *Table) removeID(ent *Entry) {
	if ent.heldByID {
		delete(tab.calls, ent.id)
		ent.heldByID = false
		tab.releaseBytes(ent)
	}
}

func (tab *Table) removeKey(ent *Entry) {
	if ent.heldByKey {
		delete(tab.keys, ent.key)
		ent.heldByKey = false
		tab.releaseBytes(ent)
	}
}

// releaseBytes drops the payload of an entry that was removed from both maps.
func (tab *Table) releaseBytes(ent *Entry) {
	if ent.removed() {
		tab.bytes -= ent.size
		ent.size, ent.payload = 0, nil
	}
}

// evictAnswers drops the oldest answers until the rest is within MaxBytes. Their calls are still remembered as run,
// except idempotent ones without a key, which may run again.
func (tab *Table) evictAnswers() {
	for tab.bytes > tab.MaxBytes {
		ent := tab.answered.pop()
		if ent == nil {
			return
		}
		tab.bytes -= ent.size
		ent.size, ent.payload, ent.answerEvicted = 0, nil, true
		if ent.idempotent && !ent.heldByKey {
			tab.removeID(ent)
		}
	}
}

// createdAt returns the creation time in a UUID of version 7, and false for other versions.
func createdAt(id uuid.UUID) (time.Time, bool) {
	if id.Version() != 7 {
		return time.Time{}, false
	}
	var millis int64
	for _, octet := range id[:6] {
		millis = millis<<8 | int64(octet)
	}
	return time.UnixMilli(millis), true
}
