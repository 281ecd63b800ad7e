package crashlink_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/crash"
	"flamingoreach/core/crash/record"
	"flamingoreach/io/crashlink"
	"flamingoreach/io/dispatcher"
)

const (
	ownContent     = fingerprint
	expiredContent = 7
)

// rows is a table of crash records in memory.
type rows struct {
	mut     sync.Mutex
	records map[uint64]int
	// hold, if set, holds the answer to each write until it is closed; held then gets a value for each.
	hold, held chan struct{}
}

func (row *rows) table(old ...record.Record) *crashlink.Table {
	return &crashlink.Table{
		Read: func(context.Context) ([]record.Record, error) { return old, nil },
		Write: func(_ context.Context, records []record.Record) error {
			row.mut.Lock()
			for _, rec := range records {
				if row.records[rec.Fingerprint] = len(rec.Crashes); len(rec.Crashes) == 0 {
					delete(row.records, rec.Fingerprint)
				}
			}
			hold := row.hold
			row.mut.Unlock()
			if hold != nil {
				row.held <- struct{}{}
				<-hold
			}
			return nil
		},
		Timeout: time.Second,
	}
}

func (row *rows) replace(records map[uint64]int) {
	row.mut.Lock()
	defer row.mut.Unlock()
	row.records = records
}

func (row *rows) require(t *testing.T, expected map[uint64]int) {
	t.Helper()
	require.Eventually(t, func() bool {
		row.mut.Lock()
		defer row.mut.Unlock()
		equal := len(row.records) == len(expected)
		for fin, crashes := range expected {
			equal = equal && row.records[fin] == crashes
		}
		return equal
	}, testTime, 10*time.Millisecond)
}

func (nod *node) restored(t *testing.T) {
	t.Helper()
	_, err := dispatcher.OnControl(t.Context(), nod.link.Dispatcher, "restored", nil, func() struct{} {
		nod.link.Restored()
		return struct{}{}
	})
	require.NoError(t, err)
}

// Guards against records that are missing after the table came back from an older copy, and against those that were deleted
// and are there again.
func TestARestoredTableGetsTheRecordsAndTheDeletionsAgain(t *testing.T) {
	row := &rows{records: map[uint64]int{expiredContent: 2}}
	past := time.Now().Add(-24 * time.Hour)
	nod := newNodeWith(t, row.table(record.Record{Fingerprint: expiredContent, Crashes: []crash.Crash{
		{ID: uuid.New(), Fingerprint: expiredContent, At: past}, {ID: uuid.New(), Fingerprint: expiredContent, At: past},
	}}))
	row.require(t, map[uint64]int{})
	nod.run(t, true)
	nod.run(t, true)
	row.require(t, map[uint64]int{ownContent: 2})
	row.replace(map[uint64]int{expiredContent: 2})
	nod.restored(t)
	row.require(t, map[uint64]int{ownContent: 2})
	nod.gate.AddCrashRecords([]record.Record{{Fingerprint: ownContent, Cleared: time.Now()}})
	row.require(t, map[uint64]int{})
	row.replace(map[uint64]int{ownContent: 2, expiredContent: 2})
	nod.restored(t)
	row.require(t, map[uint64]int{})
}

// Guards against a write whose answer of the earlier era arrives late and counts as kept.
func TestAWriteThatARestoreOvertakesIsRepeated(t *testing.T) {
	row := &rows{records: map[uint64]int{}, hold: make(chan struct{}), held: make(chan struct{}, 1)}
	nod := newNodeWith(t, row.table())
	nod.run(t, true)
	nod.run(t, true)
	<-row.held
	row.replace(map[uint64]int{})
	nod.restored(t)
	close(row.hold)
	row.require(t, map[uint64]int{ownContent: 2})
}
