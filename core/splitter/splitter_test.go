package splitter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/route"
	"flamingoreach/core/route/destination"
	"flamingoreach/core/splitter"
)

func TestDestinationsGetCallsByWeight(t *testing.T) {
	spl := splitter.New()
	rou := route.Route{Name: "r", Destinations: []destination.Destination{{Service: "a", Weight: 95}, {Service: "b", Weight: 5}, {Service: "c"}}}
	counts := map[string]int{}
	for range 200 {
		counts[spl.Choose(rou)]++
	}
	require.Equal(t, map[string]int{"a": 190, "b": 10}, counts)
	rou.Destinations = []destination.Destination{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}
	first, second := spl.Choose(rou), spl.Choose(rou)
	require.NotEqual(t, first, second, "new weights take effect at once")
	spl.RetainRoutes(nil)
	require.Equal(t, "a", spl.Choose(rou))
}
