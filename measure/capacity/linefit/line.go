package linefit

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a straight line fitted to points by least squares.
type Line struct {
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"perUnit"`
	// Residual is the largest vertical distance of a point from the line, as a fraction of the largest absolute value.
	Residual float64 `json:"residual"`
}

// Fit returns the line through the points (xs[i], ys[i]).
func Fit(xs, ys []float64) Line {
	var lin Line
	lin.Intercept, lin.PerUnit = stat.LinearRegression(xs, ys, nil, false)
	largest, distance := 0.0, 0.0
	for index, x := range xs {
		largest = math.Max(largest, math.Abs(ys[index]))
		distance = math.Max(distance, math.Abs(ys[index]-lin.At(x)))
	}
	if largest > 0 {
		lin.Residual = distance / largest
	}
	return lin
}

// At returns the line's value at x.
func (lin Line) At(x float64) float64 { return lin.Intercept + lin.PerUnit*x }
