package storeera_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/storeera"
)

// Guards against a process that takes the first era for a rise, and against rises that are missed in a store that counts
// from 0.
func TestOnlyAnEraAboveAnObservedOneIsARise(t *testing.T) {
	var log []string
	era := storeera.New()
	era.OnRise = func(from, to uint64) { log = append(log, fmt.Sprint(from, " to ", to)) }
	era.OnBack = func(observed, current uint64) { log = append(log, fmt.Sprint(observed, " after ", current)) }
	require.False(t, era.Observe(0))
	require.False(t, era.Observe(0))
	require.True(t, era.Observe(1))
	require.True(t, era.Observe(4))
	for range 2 {
		require.False(t, era.Observe(4))
		require.False(t, era.Observe(3), "an era that goes back is reported once")
		require.False(t, era.Observe(0))
	}
	require.Equal(t, uint64(4), era.Current())
	require.Equal(t, []string{"0 to 1", "1 to 4", "3 after 4", "0 after 4"}, log)
	later := storeera.New()
	later.OnRise = era.OnRise
	require.False(t, later.Observe(7))
	require.Len(t, log, 4)
}

// Guards against a fleet that writes all its rows at the moment at which the store is back, and against a second rise that
// is forgotten or postpones the writes again and again.
func TestWhatMayBeLostIsWrittenOnceWithinTwoSecondsOfEachRise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		era := storeera.New()
		var rows, records []time.Duration
		era.AfterRise(func() { rows = append(rows, time.Since(began)) })
		era.AfterRise(func() { records = append(records, time.Since(began)) })
		run := func(span time.Duration) {
			for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
				era.Tick()
			}
		}
		at := []float64{0.2, 0.9}
		era.Random = func() float64 { first := at[0]; at = append(at[1:], first); return first }
		era.Observe(1)
		run(3 * time.Second)
		require.Empty(t, rows, "the first era is no rise")
		era.Observe(2)
		run(time.Second)
		era.Observe(3)
		run(5 * time.Second)
		require.Equal(t, []time.Duration{3400 * time.Millisecond, 4400 * time.Millisecond}, rows, "written for each rise")
		require.Equal(t, []time.Duration{4800 * time.Millisecond}, records, "one write after both rises")
	})
}
