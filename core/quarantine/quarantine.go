package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"flamingoreach/core/crash"
)

const (
	// threshold is the number of crashes from which calls with a fingerprint are refused.
	threshold = 2
	// retentionPeriods is how long the crashes of a fingerprint are kept after the last one, in periods. A fingerprint that
	// crashes a backend server again after it was refused must be refused at once.
	retentionPeriods = 10
	// maxRefusalPeriods bounds the time for which a fingerprint is refused, in periods.
	maxRefusalPeriods = retentionPeriods / 2
	// maxFingerprints bounds the list; beyond it, a fingerprint with the fewest crashes is evicted, the oldest first.
	maxFingerprints = 4096
	// maxCrashes bounds the crashes that are kept for one fingerprint.
	maxCrashes = 8
)

// List holds the recent crashes by the fingerprint of the calls that may have caused them.
type List struct {
	// Period is how long a fingerprint is refused after its second crash. Each further crash doubles the time.
	Period time.Duration

	entries map[uint64]suspect
}

// suspect is the list's record of one fingerprint.
type suspect struct {
	crashes []crash.Crash
	// cleared is the last time that a call with the fingerprint ran to its end; earlier crashes do not count.
	cleared time.Time
}

// New returns an empty list.
func New(period time.Duration) *List {
	return &List{Period: period, entries: map[uint64]suspect{}}
}

// RecordCrash records that a call with a fingerprint may have crashed the backend server.
func (lis *List) RecordCrash(cra crash.Crash, now time.Time) { lis.add(cra, now) }

// Clear discards the crashes of a fingerprint after a call with it ran to its end.
func (lis *List) Clear(fingerprint uint64, now time.Time) {
	if sus, found := lis.entries[fingerprint]; found {
		sus.crashes, sus.cleared = nil, now
		lis.entries[fingerprint] = sus
	}
}

// Refuses reports whether calls with a fingerprint are refused.
func (lis *List) Refuses(fingerprint uint64, now time.Time) bool {
	sus := lis.entries[fingerprint]
	return len(sus.crashes) >= threshold && now.Sub(sus.lastChange()) < lis.refusalTime(len(sus.crashes))
}

// refusalTime returns how long a fingerprint with a number of crashes is refused after the last one.
func (lis *List) refusalTime(crashes int) time.Duration {
	return min(lis.Period<<(crashes-threshold), maxRefusalPeriods*lis.Period)
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

// Export returns all crashes that still count, ordered by time and fingerprint, to send them to other nodes.
func (lis *List) Export(now time.Time) []crash.Crash {
	var all []crash.Crash
	for _, sus := range lis.entries {
		if !lis.expired(sus, now) {
			all = append(all, sus.crashes...)
		}
	}
	slices.SortFunc(all, func(cra, other crash.Crash) int {
		return cmp.Or(cra.At.Compare(other.At), cmp.Compare(cra.Fingerprint, other.Fingerprint))
	})
	return all
}

// Import merges crashes that other nodes exported; a crash counts once however often it is received.
func (lis *List) Import(crashes []crash.Crash, now time.Time) {
	for _, cra := range crashes {
		lis.add(cra, now)
	}
}

func (lis *List) add(cra crash.Crash, now time.Time) {
	sus, found := lis.entries[cra.Fingerprint]
	if found && lis.expired(sus, now) {
		sus = suspect{}
	}
	known := slices.ContainsFunc(sus.crashes, func(other crash.Crash) bool { return other.ID == cra.ID })
	if known || !cra.At.After(sus.cleared) || now.Sub(cra.At) >= lis.retention() {
		return
	}
	if len(sus.crashes) == maxCrashes {
		sus.crashes = sus.crashes[1:]
	}
	sus.crashes = append(slices.Clone(sus.crashes), cra)
	lis.entries[cra.Fingerprint] = sus
	if len(lis.entries) > maxFingerprints {
		lis.evict(now)
	}
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
