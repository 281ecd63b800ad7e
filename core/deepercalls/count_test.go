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
	require.Zero(t, cou.Kept(now))
	for range 8 {
		cou.Began(now)
	}
	require.Zero(t, cou.Kept(now), "running calls have their slots already")
	for range 6 {
		cou.Ended()
	}
	require.Equal(t, 6, cou.Kept(now))
	require.Equal(t, 2, cou.Kept(now.Add(500*time.Millisecond)))
	require.Zero(t, cou.Kept(now.Add(time.Minute)))
}
