package dedupe

import "time"

// fifo is a first-in-first-out list of entries, some of which may have been removed from the table.
type fifo struct{ entries []*Entry }

func (fif *fifo) add(ent *Entry) { fif.entries = append(fif.entries, ent) }

// trim drops entries at the head that were removed from the table.
func (fif *fifo) trim() {
	for len(fif.entries) > 0 && fif.entries[0].removed() {
		fif.entries[0] = nil
		fif.entries = fif.entries[1:]
	}
}

// pop removes and returns the oldest entry that is still in the table, or nil.
func (fif *fifo) pop() *Entry {
	fif.trim()
	if len(fif.entries) == 0 {
		return nil
	}
	ent := fif.entries[0]
	fif.entries[0] = nil
	fif.entries = fif.entries[1:]
	return ent
}

// expiryBuckets holds entries by the second in which they expire, as Unix time. All buckets up to sweptUntil were
// removed.
type expiryBuckets struct {
	seconds    map[int64]map[*Entry]struct{}
	sweptUntil int64
}

func (exp *expiryBuckets) add(ent *Entry, at time.Time) {
	ent.bucket = max(at.Unix()+1, exp.sweptUntil+1)
	bucket := exp.seconds[ent.bucket]
	if bucket == nil {
		bucket = map[*Entry]struct{}{}
		exp.seconds[ent.bucket] = bucket
	}
	bucket[ent] = struct{}{}
}

// remove removes an entry from the bucket to which it was added last.
func (exp *expiryBuckets) remove(ent *Entry) { delete(exp.seconds[ent.bucket], ent) }

// popDue removes the buckets of past seconds and calls each for their entries.
func (exp *expiryBuckets) popDue(now time.Time, each func(ent *Entry)) {
	for ; exp.sweptUntil < now.Unix(); exp.sweptUntil++ {
		second := exp.sweptUntil + 1
		entries := exp.seconds[second]
		delete(exp.seconds, second)
		for ent := range entries {
			each(ent)
		}
	}
}
