package divisionrow

import (
	"maps"

	"flamingoreach/core/allocation"
)

// DivisionRow is the value of the row "division/ACCOUNT"; the sum of the allocations never exceeds Rate and Burst.
type DivisionRow struct {
	// Rate is in calls per second.
	Rate float64 `json:"rate"`
	// Burst is in calls.
	Burst float64 `json:"burst"`
	// Allocations holds the allocations by data centre.
	Allocations map[string]allocation.Allocation `json:"parts"`
}

// Clone returns a copy with its own map of allocations.
func (row DivisionRow) Clone() DivisionRow {
	row.Allocations = maps.Clone(row.Allocations)
	return row
}

// Scaled returns a row for another rate and burst, with all allocations scaled in proportion.
func (row DivisionRow) Scaled(rate, burst float64) DivisionRow {
	scaled := DivisionRow{Rate: rate, Burst: burst, Allocations: map[string]allocation.Allocation{}}
	for dataCentre, alc := range row.Allocations {
		alc.Rate *= ratio(rate, row.Rate)
		alc.Burst *= ratio(burst, row.Burst)
		scaled.Allocations[dataCentre] = alc
	}
	return scaled
}

func ratio(over, under float64) float64 {
	if under <= 0 {
		return 0
	}
	return over / under
}

// Split returns a row with equal allocations for all data centres.
func Split(rate, burst float64, dataCentres []string) DivisionRow {
	row := DivisionRow{Rate: rate, Burst: burst, Allocations: map[string]allocation.Allocation{}}
	for _, dataCentre := range dataCentres {
		row.Allocations[dataCentre] = allocation.Allocation{Rate: rate / float64(len(dataCentres)), Burst: burst / float64(len(dataCentres))}
	}
	return row
}
