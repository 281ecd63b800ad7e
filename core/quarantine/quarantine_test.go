package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/quarantine"
)

func TestAFingerprintIsRefusedOnEveryNodeAfterItsSecondCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := quarantine.New(time.Minute), quarantine.New(time.Minute)
		first.RecordCrash([]uint64{7, 8}, time.Now())
		second.Import(first.Export(time.Now()), time.Now())
		second.Import(first.Export(time.Now()), time.Now())
		require.False(t, second.Refuses(7, time.Now()), "one crash counts once")
		second.Clear(8, time.Now())
		second.Import(first.Export(time.Now()), time.Now())
		time.Sleep(time.Second)
		second.RecordCrash([]uint64{7, 8}, time.Now())
		require.True(t, second.Refuses(7, time.Now()))
		require.False(t, second.Refuses(8, time.Now()), "a call with it ran to its end after the first crash")
		first.Import(second.Export(time.Now()), time.Now())
		require.True(t, first.Refuses(7, time.Now()))
		time.Sleep(time.Minute)
		require.False(t, first.Refuses(7, time.Now()))
		require.Empty(t, first.Export(time.Now()))
	})
}
