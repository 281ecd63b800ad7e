package deepercalls_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/deepercalls"
)

func TestSlotsAreReservedForRecentDeeperCalls(t *testing.T) {
	var cou deepercalls.Count
	now := time.Now()
	require.Zero(t, cou.Reserved(now))
	for range 8 {
		cou.Begin(now)
	}
	require.Zero(t, cou.Reserved(now), "running calls have their slots already")
	for range 6 {
		cou.End()
	}
	require.Equal(t, 6, cou.Reserved(now))
	require.Equal(t, 2, cou.Reserved(now.Add(500*time.Millisecond)))
	require.Zero(t, cou.Reserved(now.Add(time.Minute)))
}
