package room_test

import (
	"testing"

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
