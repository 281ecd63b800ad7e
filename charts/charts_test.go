package charts_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/charts"
)

func TestEveryEmbeddedChartLoads(t *testing.T) {
	for _, name := range charts.Names() {
		require.Equal(t, name, charts.MustLoad(name).Name)
	}
}
