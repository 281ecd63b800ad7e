package tracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/evacuation"
	"flamingoreach/core/evacuation/tracker"
	"flamingoreach/core/storeposition"
)

// Guards against a data centre that counts as back at once, and against a return that goes on in a new evacuation.
func TestADataCentreReturnsOverATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		tra := tracker.New()
		tra.OnEvacuated = func(name string) { log = append(log, "evacuated "+name) }
		tra.OnReturning = func(name string, until time.Time) {
			require.Equal(t, tracker.ReturnTime, time.Until(until))
			log = append(log, "returning "+name)
		}
		tra.OnInService = func(name string) { log = append(log, "in service "+name) }
		listed, unlisted := evacuation.New(storeposition.Position{}, "a"), evacuation.Evacuation{}
		for range 2 {
			tra.Apply(listed)
			tra.Apply(unlisted)
		}
		tra.Apply(listed)
		tra.Tick()
		require.Equal(t, "evacuated", tra.State("a"))
		tra.Apply(unlisted)
		time.Sleep(tracker.ReturnTime - time.Millisecond)
		tra.Tick()
		require.Equal(t, "returning", tra.State("a"))
		time.Sleep(time.Millisecond)
		tra.Tick()
		require.Equal(t, "inService", tra.State("a"))
		require.Equal(t, []string{
			"evacuated a", "returning a", "evacuated a", "returning a", "evacuated a", "returning a", "in service a",
		}, log)
	})
}
