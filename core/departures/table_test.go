package departures_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/departure"
	"flamingoreach/core/departures"
)

func hostNumber(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7000)
}

// Guards against a late message about an earlier process that replaces the departure of a later one, and against records
// that are kept for ever.
func TestTheLatestDepartureOfAHostIsKeptForATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab, host := departures.New(), hostNumber(1)
		later := departure.Departure{Host: host, ServerID: "b", Started: time.Unix(9, 0), At: time.Now()}
		tab.Record(later)
		tab.Record(departure.Departure{Host: host, ServerID: "a", Started: time.Unix(8, 0), At: time.Now()})
		dep, found := tab.Of(host)
		require.True(t, found)
		require.Equal(t, later, dep)
		_, found = tab.Of(hostNumber(2))
		require.False(t, found)
		time.Sleep(departure.Retention + time.Second)
		_, found = tab.Of(host)
		require.False(t, found)
		tab.Record(departure.Departure{Host: hostNumber(2), ServerID: "c", At: time.Now()})
		require.Equal(t, 1, tab.Len())
	})
}

// Guards against a table that grows without bound.
func TestTheTableIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 8192
		tab := departures.New()
		for number := range most + 1 {
			tab.Record(departure.Departure{Host: hostNumber(number), ServerID: "a", At: time.Now()})
			if number == 0 {
				time.Sleep(time.Second)
			}
		}
		require.Equal(t, most, tab.Len())
		_, found := tab.Of(hostNumber(0))
		require.False(t, found, "the oldest one gives way")
	})
}
