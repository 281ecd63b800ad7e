package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"flamingoreach/core/crash"
	"flamingoreach/core/crash/record"
)

const (
	// threshold is the number of crashes from which calls with a fingerprint are refused.
	threshold = 2
	// commonThreshold is the number of variants that have crashed backend servers from which all variants of a content are
	// refused.
	commonThreshold = 3
	// retentionPeriods is how long the crashes of a fingerprint are kept after the last one, in periods. A fingerprint that
	// crashes a backend server again after it was refused must be refused at once.
	retentionPeriods = 10
	// maxRefusalPeriods bounds the time for which a fingerprint is refused, in periods.
	maxRefusalPeriods = retentionPeriods / 2
	// maxFingerprints bounds the list; beyond it, a fingerprint with the fewest crashes is evicted, the oldest first.
	maxFingerprints = 4096
	// maxCrashes bounds the crashes that are kept for one fingerprint.
	maxCrashes = 8
	// maxExported bounds the records that are exported at once.
	maxExported = 256
)

// List holds the recent crashes by the fingerprint of the calls that may have caused them.
type List struct {
	// Period is how long a fingerprint is refused after its second crash. Each further crash doubles the time.
	Period time.Duration

	entries map[uint64]suspect
	evicted uint64
	// revision counts the changes of the list.
	revision uint64
}

// suspect is the list's record of one fingerprint.
type suspect struct {
	// common is as in record.Record.
	common bool
	// causes is the result of countCauses at the list's revision causesAt.
	causes   int
	causesAt uint64
	crashes  []crash.Crash
	// cleared is the last time that a call with the fingerprint ran to its end; earlier crashes do not count.
	cleared time.Time
	// regions are those of the last crash, as in record.Record.
	regions []string
	// revision is the list's revision at the last change, and localRevision that at the last change that was not imported.
	revision, localRevision uint64
}

// New returns an empty list.
func New(period time.Duration) *List {
	return &List{Period: period, entries: map[uint64]suspect{}}
}

// RecordCrash records that a call may have crashed the backend server. The crash has the fingerprint of the call's variant;
// common is that of all variants, or 0 if there are no others.
func (lis *List) RecordCrash(cra crash.Crash, common uint64, now time.Time) {
	lis.update(cra.Fingerprint, now, false, func(sus *suspect) bool { return lis.addCrash(sus, cra, now) })
	if common == 0 {
		return
	}
	cra.Fingerprint = common
	lis.update(common, now, false, func(sus *suspect) bool {
		sus.common = true
		return lis.addCrash(sus, cra, now)
	})
}

// Clear discards the crashes of a fingerprint after a call with it ran to its end. Without crashes there is nothing to
// discard, so that the list does not grow with the calls.
func (lis *List) Clear(fingerprint uint64, now time.Time) {
	if len(lis.entries[fingerprint].crashes) == 0 {
		return
	}
	lis.update(fingerprint, now, false, func(sus *suspect) bool { return sus.clear(now) })
}

// Refuses reports whether calls with a fingerprint are refused.
func (lis *List) Refuses(fingerprint uint64, now time.Time) bool {
	sus := lis.entries[fingerprint]
	crashes, least := len(sus.crashes), threshold
	if sus.common {
		crashes, least = lis.countCauses(fingerprint), commonThreshold
	}
	return crashes >= least && now.Sub(sus.lastChange()) < min(lis.Period<<(crashes-least), maxRefusalPeriods*lis.Period)
}

// countCauses returns how many variants it takes to explain the crashes of a content: one that ran at several of them counts
// once.
func (lis *List) countCauses(common uint64) int {
	sus := lis.entries[common]
	if len(sus.crashes) < commonThreshold {
		return len(sus.crashes)
	}
	if sus.causesAt != lis.revision {
		sus.causes, sus.causesAt = lis.countExplanations(sus.crashes), lis.revision
		lis.entries[common] = sus
	}
	return sus.causes
}

// countExplanations takes the variant that ran at most of the crashes, then the one that ran at most of the others, and so on.
func (lis *List) countExplanations(crashes []crash.Crash) int {
	left := make(map[uuid.UUID]bool, len(crashes))
	for _, cra := range crashes {
		left[cra.ID] = true
	}
	for count := 0; ; count++ {
		explained := lis.mostExplained(left)
		if len(explained) <= 1 {
			return count + len(left)
		}
		for _, id := range explained {
			delete(left, id)
		}
	}
}

// mostExplained returns the crashes, of those with the IDs, at which the variant ran that ran at most of them.
func (lis *List) mostExplained(ids map[uuid.UUID]bool) []uuid.UUID {
	var most []uuid.UUID
	var chosen uint64
	for fin, sus := range lis.entries {
		if sus.common || len(sus.crashes) < len(most) {
			continue
		}
		var explained []uuid.UUID
		for _, cra := range sus.crashes {
			if ids[cra.ID] {
				explained = append(explained, cra.ID)
			}
		}
		if cmp.Or(cmp.Compare(len(explained), len(most)), cmp.Compare(chosen, fin)) > 0 {
			chosen, most = fin, explained
		}
	}
	return most
}

// CountRefused returns the number of fingerprints that are refused.
func (lis *List) CountRefused(now time.Time) int {
	count := 0
	for fin := range lis.entries {
		if lis.Refuses(fin, now) {
			count++
		}
	}
	return count
}

// Evicted returns the number of records that were removed because there were too many.
func (lis *List) Evicted() uint64 { return lis.evicted }

// Revision returns the revision of the latest change of the list.
func (lis *List) Revision() uint64 { return lis.revision }

// Export returns the oldest changes to send to another node that has all up to a revision, at most maxExported, and the
// revision that it has then. Changes that were imported come from a node that sends them itself, unless the other node
// became known later, at the revision joined.
func (lis *List) Export(after, joined uint64, now time.Time) ([]record.Record, uint64) {
	if after < joined {
		return lis.export(after, now, func(sus suspect) uint64 { return sus.revision })
	}
	return lis.export(after, now, func(sus suspect) uint64 { return sus.localRevision })
}

// ExportOwn is like Export, for the records to which this list has added crashes or clearings of its own.
func (lis *List) ExportOwn(after uint64, now time.Time) ([]record.Record, uint64) {
	return lis.export(after, now, func(sus suspect) uint64 {
		if sus.localRevision == 0 {
			return 0
		}
		return sus.revision
	})
}

// Knows reports whether the list has a record of a fingerprint.
func (lis *List) Knows(fingerprint uint64) bool {
	_, known := lis.entries[fingerprint]
	return known
}

// export returns the oldest records with a revision above a given one, at most maxExported, and the revision up to which
// it has returned all.
func (lis *List) export(after uint64, now time.Time, revision func(sus suspect) uint64) ([]record.Record, uint64) {
	var changed []uint64
	for fin, sus := range lis.entries {
		if revision(sus) > after && !lis.expired(sus, now) {
			changed = append(changed, fin)
		}
	}
	slices.SortFunc(changed, func(fin, other uint64) int {
		return cmp.Compare(revision(lis.entries[fin]), revision(lis.entries[other]))
	})
	upTo := lis.revision
	if len(changed) > maxExported {
		changed = changed[:maxExported]
		upTo = revision(lis.entries[changed[maxExported-1]])
	}
	records := make([]record.Record, 0, len(changed))
	for _, fin := range changed {
		sus := lis.entries[fin]
		records = append(records, record.Record{Fingerprint: fin, Common: sus.common, Crashes: sus.crashes, Cleared: sus.cleared, Regions: sus.regions})
	}
	return records, upTo
}

// Import merges records that another node exported; a crash counts once however often it is received.
func (lis *List) Import(records []record.Record, now time.Time) {
	for _, rec := range records {
		lis.update(rec.Fingerprint, now, true, func(sus *suspect) bool {
			if sus.lastChange().IsZero() {
				// A record without crashes has regions too.
				sus.regions = rec.Regions
			}
			sus.common = sus.common || rec.Common
			changed := sus.clear(rec.Cleared)
			for _, cra := range rec.Crashes {
				cra.Regions = rec.Regions
				changed = lis.addCrash(sus, cra, now) || changed
			}
			return changed
		})
	}
}

// update changes the record of a fingerprint. If the change has an effect, the record gets a new revision.
func (lis *List) update(fingerprint uint64, now time.Time, imported bool, apply func(sus *suspect) bool) {
	sus, found := lis.entries[fingerprint]
	if found && lis.expired(sus, now) {
		sus = suspect{common: sus.common, regions: sus.regions}
	}
	if !apply(&sus) {
		return
	}
	lis.revision++
	sus.revision = lis.revision
	if !imported {
		sus.localRevision = lis.revision
	}
	lis.entries[fingerprint] = sus
	if len(lis.entries) > maxFingerprints {
		lis.evict(now)
	}
}

// addCrash adds a crash to the record of its fingerprint, and reports whether it counts and is new. The record gets the
// crash's regions if no other crash is later.
func (lis *List) addCrash(sus *suspect, cra crash.Crash, now time.Time) bool {
	known := slices.ContainsFunc(sus.crashes, func(other crash.Crash) bool { return other.ID == cra.ID })
	if known || !cra.At.After(sus.cleared) || now.Sub(cra.At) >= lis.retention() {
		return false
	}
	if !cra.At.Before(sus.lastChange()) {
		sus.regions = cra.Regions
	}
	kept := sus.crashes[max(0, len(sus.crashes)+1-maxCrashes):]
	sus.crashes = append(slices.Clone(kept), cra)
	return true
}

// clear discards the crashes up to a time, and reports whether that is later than the last one at which it was called.
func (sus *suspect) clear(at time.Time) bool {
	if !at.After(sus.cleared) {
		return false
	}
	sus.cleared = at
	sus.crashes = slices.DeleteFunc(slices.Clone(sus.crashes), func(cra crash.Crash) bool { return !cra.At.After(at) })
	return true
}

// evict removes the expired entries or, if there are none, one with the fewest crashes.
func (lis *List) evict(now time.Time) {
	maps.DeleteFunc(lis.entries, func(_ uint64, sus suspect) bool { return lis.expired(sus, now) })
	if len(lis.entries) <= maxFingerprints {
		return
	}
	var evicted uint64
	var least suspect
	for fin, sus := range lis.entries {
		if evicted == 0 || cmp.Or(cmp.Compare(len(sus.crashes), len(least.crashes)), sus.lastChange().Compare(least.lastChange())) < 0 {
			evicted, least = fin, sus
		}
	}
	delete(lis.entries, evicted)
	lis.evicted++
}

func (lis *List) expired(sus suspect, now time.Time) bool {
	return now.Sub(sus.lastChange()) >= lis.retention()
}

func (lis *List) retention() time.Duration { return retentionPeriods * lis.Period }

// lastChange returns the time of the last crash, or the time at which the fingerprint was cleared if that is later.
func (sus suspect) lastChange() time.Time {
	at := sus.cleared
	for _, cra := range sus.crashes {
		if cra.At.After(at) {
			at = cra.At
		}
	}
	return at
}
