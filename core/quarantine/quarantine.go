package quarantine

import (
	"cmp"
	"slices"
	"time"

	"flamingoreach/core/crash"
)

const (
	// threshold is the number of crashes from which calls with a fingerprint are refused.
	threshold = 2
	// maxFingerprints bounds the list; beyond it, the fingerprint whose last change is oldest is evicted.
	maxFingerprints = 4096
	// maxCrashes bounds the crashes that are kept for one fingerprint.
	maxCrashes = 4
)

// List holds the recent crashes by the fingerprint of the calls that were running.
type List struct {
	// Period is how long a crash counts, and how long a fingerprint is refused after its last crash.
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
	return len(sus.crashes) >= threshold && now.Sub(sus.lastChange()) < lis.Period
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
		for _, cra := range sus.crashes {
			if now.Sub(cra.At) < lis.Period {
				all = append(all, cra)
			}
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
	sus := lis.entries[cra.Fingerprint]
	sus.crashes = slices.DeleteFunc(sus.crashes, func(other crash.Crash) bool {
		return now.Sub(other.At) >= lis.Period
	})
	known := slices.ContainsFunc(sus.crashes, func(other crash.Crash) bool { return other.ID == cra.ID })
	if !known && cra.At.After(sus.cleared) && now.Sub(cra.At) < lis.Period {
		sus.crashes = append(sus.crashes, cra)
	}
	if len(sus.crashes) > maxCrashes {
		sus.crashes = sus.crashes[1:]
	}
	lis.entries[cra.Fingerprint] = sus
	if len(lis.entries) > maxFingerprints {
		lis.evictOldest()
	}
}

func (lis *List) evictOldest() {
	var oldest uint64
	var at time.Time
	for fin, sus := range lis.entries {
		if changed := sus.lastChange(); at.IsZero() || changed.Before(at) {
			oldest, at = fin, changed
		}
	}
	delete(lis.entries, oldest)
}

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
