package linefit_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/measure/capacity/linefit"
)

func TestFitFindsLineAndResidual(t *testing.T) {
	lin := linefit.Fit([]float64{1, 2, 3, 4}, []float64{3, 5, 7, 9})
	require.InDelta(t, 1, lin.Intercept, 1e-9)
	require.InDelta(t, 2, lin.PerUnit, 1e-9)
	require.InDelta(t, 0, lin.Residual, 1e-9)
	require.InDelta(t, 21, lin.At(10), 1e-9)
}
