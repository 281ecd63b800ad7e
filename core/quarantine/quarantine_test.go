package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/crash"
	"flamingoreach/core/crash/record"
	"flamingoreach/core/quarantine"
)

// recordCrash records one death with calls of the fingerprints.
func recordCrash(lis *quarantine.List, fingerprints ...uint64) {
	id := uuid.New()
	for _, fin := range fingerprints {
		lis.RecordCrash(crash.Crash{ID: id, Fingerprint: fin, At: time.Now()}, 0, time.Now())
	}
}

// common is the fingerprint that all variants have in common.
const common = 1

// recordCrashOf records one death with calls of variants.
func recordCrashOf(lis *quarantine.List, variants ...uint64) {
	id := uuid.New()
	for _, variant := range variants {
		lis.RecordCrash(crash.Crash{ID: id, Fingerprint: variant, At: time.Now()}, common, time.Now())
	}
}

// exported returns all records of a list, in the steps in which it exports them.
func exported(lis *quarantine.List) []record.Record {
	var all []record.Record
	for after := uint64(0); after < lis.Revision(); {
		var records []record.Record
		records, after = lis.Export(after, lis.Revision(), time.Now())
		all = append(all, records...)
	}
	return all
}

// pass passes all records of one list to another.
func pass(from, to *quarantine.List) { to.Import(exported(from), time.Now()) }

func TestAFingerprintIsRefusedOnEveryNodeAfterItsSecondCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := quarantine.New(time.Minute), quarantine.New(time.Minute)
		recordCrash(first, 7, 8)
		pass(first, second)
		pass(first, second)
		require.False(t, second.Refuses(7, time.Now()), "one crash counts once")
		second.Clear(8, time.Now())
		pass(first, second)
		time.Sleep(time.Second)
		recordCrash(second, 7, 8)
		require.True(t, second.Refuses(7, time.Now()))
		require.False(t, second.Refuses(8, time.Now()), "a call with it ran to its end after the first crash")
		pass(second, first)
		require.True(t, first.Refuses(7, time.Now()))
		time.Sleep(time.Minute)
		require.False(t, first.Refuses(7, time.Now()))
		time.Sleep(10 * time.Minute)
		require.Empty(t, exported(first))
	})
}

// Guards against a fingerprint that may crash two more backend servers each time that its refusal ends.
func TestARefusalThatEndedIsRenewedByOneCrashForTwiceTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lis := quarantine.New(time.Minute)
		recordCrash(lis, 7)
		time.Sleep(9 * time.Minute)
		recordCrash(lis, 7)
		require.True(t, lis.Refuses(7, time.Now()), "the first crash still counts")
		for _, refused := range []time.Duration{time.Minute, 2 * time.Minute, 4 * time.Minute, 5 * time.Minute, 5 * time.Minute} {
			time.Sleep(refused - time.Nanosecond)
			require.True(t, lis.Refuses(7, time.Now()), refused)
			time.Sleep(time.Nanosecond)
			require.False(t, lis.Refuses(7, time.Now()), refused)
			recordCrash(lis, 7)
		}
		lis.Clear(7, time.Now())
		require.False(t, lis.Refuses(7, time.Now()), "a call that ran to its end ends the refusal")
	})
}

// Guards against a refused fingerprint that other calls push out of the list as they fail.
func TestManySuspectsDoNotDisplaceARefusedFingerprint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lis := quarantine.New(time.Minute)
		recordCrash(lis, 7)
		recordCrash(lis, 7)
		for fin := range uint64(5000) {
			time.Sleep(time.Millisecond)
			recordCrash(lis, 1000+fin)
		}
		require.True(t, lis.Refuses(7, time.Now()))
		crashes := 0
		for _, rec := range exported(lis) {
			crashes += len(rec.Crashes)
		}
		require.Equal(t, 4097, crashes, "2 crashes of one fingerprint and one of 4095 others")
		require.Equal(t, uint64(905), lis.Evicted())
	})
}

// Guards against a content that is refused at the nodes that did not see it run to its end.
func TestAClearedFingerprintIsClearedOnEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := quarantine.New(time.Minute), quarantine.New(time.Minute)
		recordCrash(first, 7)
		pass(first, second)
		time.Sleep(time.Second)
		second.Clear(7, time.Now())
		pass(second, first)
		time.Sleep(time.Second)
		recordCrash(first, 7)
		require.False(t, first.Refuses(7, time.Now()))
		pass(first, second)
		require.False(t, second.Refuses(7, time.Now()))
	})
}

func TestOnlyANodeThatBecameKnownLaterGetsImportedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := quarantine.New(time.Minute), quarantine.New(time.Minute)
		recordCrash(first, 7)
		known := second.Revision()
		pass(first, second)
		records, upTo := second.Export(known, known, time.Now())
		require.Empty(t, records, "the first node sends them itself")
		require.Equal(t, second.Revision(), upTo)
		recordCrash(second, 8)
		pass(first, second)
		records, _ = second.Export(known, known, time.Now())
		require.Len(t, records, 1)
		require.Equal(t, uint64(8), records[0].Fingerprint)
		require.Len(t, exported(second), 2)
	})
}

// Guards against a record that loses the restriction of its call when it is imported or cleared.
func TestARecordHasTheRegionsOfTheLastCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := quarantine.New(time.Minute), quarantine.New(time.Minute)
		crashIn := func(regions ...string) {
			time.Sleep(time.Second)
			first.RecordCrash(crash.Crash{ID: uuid.New(), Fingerprint: 7, At: time.Now(), Regions: regions}, 0, time.Now())
			pass(first, second)
		}
		for _, regions := range [][]string{{"r"}, {"r", "s"}, nil, {"s"}} {
			crashIn(regions...)
			require.Equal(t, regions, exported(first)[0].Regions)
			require.Equal(t, regions, exported(second)[0].Regions)
		}
		time.Sleep(time.Second)
		first.Clear(7, time.Now())
		pass(first, second)
		require.Empty(t, exported(second)[0].Crashes)
		require.Equal(t, []string{"s"}, exported(second)[0].Regions)
	})
}

// Guards against a record of a restricted call that loses its restriction when a call is answered after the crashes have
// expired: the record would be sent to all nodes.
func TestAnExpiredRecordKeepsItsRegionsWhenItIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lis := quarantine.New(time.Minute)
		lis.RecordCrash(crash.Crash{ID: uuid.New(), Fingerprint: 7, At: time.Now(), Regions: []string{"r"}}, 0, time.Now())
		time.Sleep(time.Hour)
		lis.Clear(7, time.Now())
		require.Len(t, exported(lis), 1)
		require.Equal(t, []string{"r"}, exported(lis)[0].Regions)
	})
}

// Guards against a late record of an earlier crash whose regions replace those of the last one, and against a cleared
// record without a restriction on a node that did not have it before.
func TestAnImportedRecordChangesTheRegionsOnlyByALaterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, newcomer := quarantine.New(time.Minute), quarantine.New(time.Minute), quarantine.New(time.Minute)
		recordCrash(first, 7)
		time.Sleep(time.Second)
		second.RecordCrash(crash.Crash{ID: uuid.New(), Fingerprint: 7, At: time.Now(), Regions: []string{"r"}}, 0, time.Now())
		pass(first, second)
		require.Len(t, exported(second)[0].Crashes, 2)
		require.Equal(t, []string{"r"}, exported(second)[0].Regions)
		time.Sleep(time.Second)
		second.Clear(7, time.Now())
		pass(second, newcomer)
		require.Equal(t, []string{"r"}, exported(newcomer)[0].Regions)
	})
}

// Guards against a variant that crashes one backend server after another because its siblings are answered.
func TestAnAnswerToOneVariantDoesNotClearAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lis := quarantine.New(time.Minute)
		for range 2 {
			recordCrashOf(lis, 7, 8)
			time.Sleep(time.Second)
			lis.Clear(8, time.Now())
			lis.Clear(common, time.Now())
		}
		require.True(t, lis.Refuses(7, time.Now()))
		require.False(t, lis.Refuses(8, time.Now()))
		require.False(t, lis.Refuses(common, time.Now()))
	})
}

// Guards against a crashing variant that puts its siblings in quarantine, also if it runs at several nodes at the same moment
// and siblings run beside it.
func TestACrashingVariantDoesNotPutItsSiblingsInQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := quarantine.New(time.Minute)
		for node := range uint64(5) {
			lis := quarantine.New(time.Minute)
			recordCrashOf(lis, 100+node, 7, 200+node)
			pass(lis, all)
		}
		require.True(t, all.Refuses(7, time.Now()))
		require.False(t, all.Refuses(common, time.Now()), "one variant explains all deaths")
		require.False(t, all.Refuses(100, time.Now()))
		require.Equal(t, 1, all.CountRefused(time.Now()))
	})
}

// Guards against a content that crashes backend servers without an end because its query differs each time, also if each
// variant crashes two.
func TestAContentIsRefusedAfterThreeVariantsHaveCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lis, other := quarantine.New(time.Minute), quarantine.New(time.Minute)
		for variant := range uint64(3) {
			require.False(t, lis.Refuses(common, time.Now()))
			recordCrashOf(lis, 7+variant)
			if variant < 2 {
				recordCrashOf(lis, 7+variant)
			}
			time.Sleep(time.Second)
		}
		pass(lis, other)
		require.True(t, other.Refuses(common, time.Now()))
		time.Sleep(time.Minute)
		require.False(t, other.Refuses(common, time.Now()))
		recordCrashOf(other, 10)
		time.Sleep(2*time.Minute - time.Nanosecond)
		require.True(t, other.Refuses(common, time.Now()), "a further crash refuses it for twice the time")
		other.Clear(common, time.Now())
		require.False(t, other.Refuses(common, time.Now()), "an answer to any variant ends the refusal")
	})
}
