package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/control"
	"flamingoreach/core/event"
)

func TestThreadAppliesEventsInOrderAndTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		thr := control.New(8)
		thr.Locked = false
		ticks := 0
		thr.AddTicker(func() { ticks++ })
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- thr.Run(ctx) }()
		var order []int
		for index := range 3 {
			require.NoError(t, thr.Post(ctx, event.Event{Name: "test.add", Apply: func() { order = append(order, index) }}))
		}
		time.Sleep(time.Second + time.Millisecond)
		require.NoError(t, thr.Do(ctx, "test.read", func() {
			require.Equal(t, []int{0, 1, 2}, order)
			require.Equal(t, 10, ticks)
		}))
		cancel()
		require.NoError(t, <-ended)
	})
}

func TestOfferCountsDroppedEvents(t *testing.T) {
	thr := control.New(1)
	require.True(t, thr.Offer(event.Event{Name: "test.first"}))
	require.False(t, thr.Offer(event.Event{Name: "test.second"}))
	require.Equal(t, uint64(1), thr.Dropped())
}
