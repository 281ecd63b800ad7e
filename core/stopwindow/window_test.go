package stopwindow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/stopwindow"
)

func TestLateRequestsAreTakenOnlyIfTheyEndInTime(t *testing.T) {
	began := time.Unix(1000, 0)
	at := began.Add
	win := stopwindow.New(began, at(5300*time.Millisecond))
	for name, test := range map[string]struct {
		arrives, deadline time.Duration
		admitted          bool
	}{
		"callers have not noticed yet":   {2 * time.Second, 8 * time.Second, true},
		"late, ends in time":             {4 * time.Second, 5300 * time.Millisecond, true},
		"late, may last too long":        {4 * time.Second, 5301 * time.Millisecond, false},
		"late, lasts far too long":       {4 * time.Second, 8 * time.Second, false},
		"just before the end":            {5 * time.Second, 8 * time.Second, false},
		"ends just in time":              {5 * time.Second, 5200 * time.Millisecond, true},
		"after the end, deadline passed": {6 * time.Second, 7 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.admitted, win.Admits(at(test.arrives), at(test.deadline)))
		})
	}
}

func TestAShortStopLeavesTimeForTheRequestsThatItTakes(t *testing.T) {
	began := time.Unix(1000, 0)
	win := stopwindow.New(began, began.Add(2*time.Second))
	require.True(t, win.Admits(began.Add(900*time.Millisecond), began.Add(5*time.Second)))
	require.False(t, win.Admits(began.Add(1100*time.Millisecond), began.Add(5*time.Second)))
}
