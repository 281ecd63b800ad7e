package crashlink

import (
	"context"
	"slices"
	"time"

	"flamingoreach/core/crash/record"
	"flamingoreach/io/dispatcher"
)

// minTableCrashes and minCommonTableCrashes are the numbers of crashes from which a record of a variant, and one that is
// common to several, are kept in the table: those of fewer crashes are many and seldom matter.
const (
	minTableCrashes       = 2
	minCommonTableCrashes = 3
)

// Table keeps the crash records of one service on the platform, except those that are restricted to regions. A node reads
// them when it starts, and writes those that it has changed itself.
type Table struct {
	// Read reads the records. Write writes records and deletes those without crashes.
	Read  func(ctx context.Context) ([]record.Record, error)
	Write func(ctx context.Context, records []record.Record) error
	// Timeout bounds one access.
	Timeout time.Duration
	// OnFailed, if set, is called with the error of each access that failed.
	OnFailed func(err error)

	read, inFlight bool
	retryAt        time.Time
	// written is the revision of the gate's records up to which the table has them, and kept holds the fingerprints that
	// this node knows to be in the table.
	written uint64
	kept    map[uint64]bool
	// expired holds the records of the table that are too old to count, without their crashes.
	expired []record.Record
	// restores counts the calls of Restored.
	restores int
}

// Restored writes the records that this node has changed again, and deletes those again that it has deleted, after the
// table came back from an older copy. It is called on the control thread.
func (lin *Link) Restored() {
	if lin.Table != nil {
		lin.Table.restored(lin)
	}
}

func (tab *Table) restored(lin *Link) {
	tab.restores++
	tab.written = 0
	for fin, inTable := range tab.kept {
		if !inTable && !lin.Gate.KnowsCrashes(fin) {
			tab.expired = append(tab.expired, record.Record{Fingerprint: fin})
		}
		// What was deleted may be there again.
		tab.kept[fin] = true
	}
}

// tick starts the access that is due, if there is one.
func (tab *Table) tick(lin *Link) {
	switch {
	case tab.inFlight || time.Now().Before(tab.retryAt):
	case !tab.read:
		tab.startRead(lin)
	case tab.written < lin.Gate.CrashRevision() || len(tab.expired) > 0:
		tab.startWrite(lin)
	}
}

func (tab *Table) startRead(lin *Link) {
	tab.inFlight, tab.kept = true, map[uint64]bool{}
	dispatcher.Start(lin.Dispatcher, "quarantine.read", tab.Timeout, tab.Read, func(records []record.Record, err error) {
		if !tab.ended(err) {
			return
		}
		tab.read = true
		lin.Gate.AddCrashRecords(records)
		for _, rec := range records {
			tab.kept[rec.Fingerprint] = true
			if !lin.Gate.KnowsCrashes(rec.Fingerprint) {
				tab.expired = append(tab.expired, record.Record{Fingerprint: rec.Fingerprint})
			}
		}
	})
}

func (tab *Table) startWrite(lin *Link) {
	changed, upTo := lin.Gate.OwnCrashRecords(tab.written)
	records := slices.Clone(tab.expired)
	for _, rec := range changed {
		if rec.Regions != nil {
			// Every node of the service reads the table. A row from before the restriction is deleted.
			rec.Crashes = nil
		}
		least := minTableCrashes
		if rec.Common {
			least = minCommonTableCrashes
		}
		if len(rec.Crashes) >= least || len(rec.Crashes) == 0 && tab.kept[rec.Fingerprint] {
			records = append(records, rec)
		}
	}
	if len(records) == 0 {
		tab.written = upTo
		return
	}
	tab.inFlight = true
	restores := tab.restores
	dispatcher.Start(lin.Dispatcher, "quarantine.written", tab.Timeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, tab.Write(ctx, records)
	}, func(_ struct{}, err error) {
		// A write that was under way when the table was restored may be lost.
		if !tab.ended(err) || restores != tab.restores {
			return
		}
		tab.written, tab.expired = upTo, nil
		for _, rec := range records {
			tab.kept[rec.Fingerprint] = len(rec.Crashes) > 0
		}
	})
}

// ended handles the end of an access, and reports whether it succeeded.
func (tab *Table) ended(err error) bool {
	tab.inFlight = false
	if err == nil {
		return true
	}
	tab.retryAt = time.Now().Add(retryInterval)
	if tab.OnFailed != nil {
		tab.OnFailed(err)
	}
	return false
}
