package fence_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/fence"
	"flamingoreach/core/reason"
)

func TestFenceExpiresWithoutATick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fen := fence.New()
		require.Equal(t, reason.CutOff, fen.Check())
		sent := time.Now()
		time.Sleep(time.Second)
		fen.RecordContact(sent)
		fen.RecordContact(sent.Add(-time.Minute))
		require.Equal(t, reason.None, fen.Check())
		time.Sleep(2*time.Second - time.Nanosecond)
		require.Equal(t, reason.None, fen.Check())
		time.Sleep(time.Nanosecond)
		require.Equal(t, reason.CutOff, fen.Check())
	})
}

func TestFenceRefusesWhenTheDataCentreIsIsolatedForLongerThanCutHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fen := fence.New()
		fen.SetCutHold(time.Minute)
		fen.RecordContact(time.Now())
		require.Equal(t, reason.CutOff, fen.Check())
		fen.RecordRegionContact(time.Now())
		require.Equal(t, reason.None, fen.Check())
		time.Sleep(time.Minute)
		fen.RecordContact(time.Now())
		require.Equal(t, reason.CutOff, fen.Check())
		fen.SetCutHold(0)
		require.Equal(t, reason.None, fen.Check())
	})
}

func BenchmarkCheck(b *testing.B) {
	fen := fence.New()
	fen.RecordContact(time.Now().Add(time.Hour))
	b.ReportAllocs()
	for b.Loop() {
		if fen.Check() != reason.None {
			b.Fatal("the fence refuses")
		}
	}
}
