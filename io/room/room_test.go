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
		require.ErrorIs(t, roo.Await(ctx, 4), context.DeadlineExceeded)
		require.Equal(t, int64(8), roo.Used())
		time.AfterFunc(time.Second, func() { roo.GiveBack(8) })
		require.NoError(t, roo.Await(t.Context(), 4))
		require.Equal(t, int64(4), roo.Used())
		require.Error(t, roo.Await(t.Context(), 11), "a body that is longer than the room is not let in")
		require.Equal(t, int64(4), roo.Used())
		roo.GiveBack(4)
		require.Zero(t, roo.Used())
	})
}

// Guards against clients that hold all the room and make no progress, and against one that gives way although it does.
func TestWhoHoldsMostForTheLeastProgressGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		roo := room.New(10 << 20)
		var gaveWay []string
		open := func(kind string, bytes int64) *room.Holder {
			hol := roo.Open(kind)
			require.True(t, hol.Take(bytes))
			hol.Pace(func() {
				gaveWay = append(gaveWay, kind)
				go hol.Close()
			})
			return hol
		}
		fast, slow, small := open("fast", 4<<20), open("slow", 4<<20), open("small", 1<<20)
		backend := roo.Open("waits for the backend server")
		require.True(t, backend.Take(1<<20))
		late := roo.Open("late")
		require.ErrorIs(t, awaitFor(t, late, time.Second, 1<<20), context.DeadlineExceeded, "no holder gives way at once")
		require.Empty(t, gaveWay)
		time.Sleep(2 * time.Second)
		fast.Advance(1 << 20)
		slow.Advance(1 << 10)
		require.NoError(t, awaitFor(t, late, time.Second, 1<<20))
		require.Equal(t, []string{"slow"}, gaveWay)
		require.Equal(t, int64(1), roo.GaveWay())
		for _, hol := range []*room.Holder{fast, small, backend, late} {
			hol.Close()
		}
		synctest.Wait()
		require.Zero(t, roo.Used())
	})
}

func TestAnotherSizeHoldsAtOnce(t *testing.T) {
	roo := room.New(4)
	require.False(t, roo.Take(5))
	roo.Resize(5)
	require.True(t, roo.Take(5))
	roo.Resize(4)
	roo.GiveBack(1)
	require.False(t, roo.Take(1))
}

func awaitFor(t *testing.T, hol *room.Holder, duration time.Duration, bytes int64) error {
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	return hol.Await(ctx, bytes)
}

// Guards against many small answers that nobody reads and that together exceed the room.
func TestOfHoldersWithTheSameLoadEarlierOnesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		roo := room.New(10)
		force := func() *room.Holder {
			hol := roo.Open("answers")
			hol.Force(2)
			hol.Pace(func() { go hol.Close() })
			return hol
		}
		var held []*room.Holder
		for range 5 {
			held = append(held, force())
		}
		time.Sleep(3 * time.Second)
		for range 3 {
			held = append(held, force())
			synctest.Wait()
			require.LessOrEqual(t, roo.Used(), int64(10))
		}
		for _, hol := range held {
			hol.Close()
		}
		require.Equal(t, int64(3), roo.GaveWay())
		require.Zero(t, roo.Used())
	})
}

func TestThePartsOfARoomShareItsBytes(t *testing.T) {
	whole := room.New(10)
	part := whole.Part(6)
	require.False(t, part.Take(7))
	require.True(t, part.Take(6))
	require.False(t, whole.Take(5))
	require.True(t, whole.Take(4))
	part.GiveBack(6)
	require.Equal(t, int64(4), whole.Used())
}
