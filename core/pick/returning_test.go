package pick_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against ingress nodes that move all of their load back at the moment when an evacuation ends.
func TestTheLoadOfADataCentreReturnsInProportionToTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const steps = 1000
		pic := newPicker()
		share := func() float64 {
			near := 0
			for drawn := range steps {
				pic.Random = func(below int) int { return drawn % below }
				if choose(t, pic) == "near" {
					near++
				}
			}
			return float64(near) / steps
		}
		pic.BeginReturn("d", time.Now().Add(5*time.Second))
		for second := range 5 {
			require.InDelta(t, float64(second)/5, share(), 0.01)
			time.Sleep(time.Second)
		}
		require.InDelta(t, 1, share(), 0)
		pic.BeginReturn("d", time.Now().Add(5*time.Second))
		require.Equal(t, "near", choose(t, pic, "beside", "far"), "no other member is left")
		pic.RecordRefusesAll([]string{"beside", "far"})
		require.Equal(t, "near", choose(t, pic), "the others refuse all calls")
		pic.EndReturn("d")
		require.Equal(t, "near", choose(t, pic))
	})
}
