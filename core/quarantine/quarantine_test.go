package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/crash"
	"flamingoreach/core/quarantine"
)

// recordCrash records one death with calls of the fingerprints.
func recordCrash(lis *quarantine.List, fingerprints ...uint64) {
	id := uuid.New()
	for _, fin := range fingerprints {
		lis.RecordCrash(crash.Crash{ID: id, Fingerprint: fin, At: time.Now()}, time.Now())
	}
}

func TestAFingerprintIsRefusedOnEveryNodeAfterItsSecondCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := quarantine.New(time.Minute), quarantine.New(time.Minute)
		recordCrash(first, 7, 8)
		second.Import(first.Export(time.Now()), time.Now())
		second.Import(first.Export(time.Now()), time.Now())
		require.False(t, second.Refuses(7, time.Now()), "one crash counts once")
		second.Clear(8, time.Now())
		second.Import(first.Export(time.Now()), time.Now())
		time.Sleep(time.Second)
		recordCrash(second, 7, 8)
		require.True(t, second.Refuses(7, time.Now()))
		require.False(t, second.Refuses(8, time.Now()), "a call with it ran to its end after the first crash")
		first.Import(second.Export(time.Now()), time.Now())
		require.True(t, first.Refuses(7, time.Now()))
		time.Sleep(time.Minute)
		require.False(t, first.Refuses(7, time.Now()))
		require.Empty(t, first.Export(time.Now()))
	})
}
