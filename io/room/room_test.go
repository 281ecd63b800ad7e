package room_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/room"
)

func TestBytesAreTakenUpToTheBound(t *testing.T) {
	roo := room.New(10)
	require.True(t, roo.Take(6))
	require.False(t, roo.Take(5))
	require.True(t, roo.Take(4), "a refused request takes nothing")
	roo.GiveBack(6)
	require.True(t, roo.Take(6))
}

func TestWithoutARoomThereIsNoBound(t *testing.T) {
	var roo *room.Room
	require.True(t, roo.Take(1<<60))
	roo.GiveBack(1 << 60)
}

func TestAWaitForRoomEndsWhenThereIsSomeOrTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		roo := room.New(10)
		require.True(t, roo.Take(8))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := roo.Await(ctx, 4)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, int64(8), roo.Used())
		time.AfterFunc(time.Second, func() { roo.GiveBack(8) })
		taken, err := roo.Await(t.Context(), 40)
		require.NoError(t, err)
		require.Equal(t, int64(10), taken, "a body longer than the room takes all of it")
		roo.GiveBack(taken)
		require.Zero(t, roo.Used())
	})
}
