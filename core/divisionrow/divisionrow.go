package divisionrow

import (
	"maps"

	"flamingoreach/core/part"
)

// DivisionRow is the value of the row "division/ACCOUNT"; the sum of the allocations never exceeds Rate and Burst.
type DivisionRow struct {
	// Rate is in calls per second.
	Rate float64 `json:"rate"`
	// Burst is in calls.
	Burst float64 `json:"burst"`
	// Parts holds the allocations by data centre.
	Parts map[string]part.Part `json:"parts"`
}

// Clone returns a copy with its own map of allocations.
func (row DivisionRow) Clone() DivisionRow {
	row.Parts = maps.Clone(row.Parts)
	return row
}

// Scaled returns a row for another rate and burst, with all allocations scaled in proportion.
func (row DivisionRow) Scaled(rate, burst float64) DivisionRow {
	scaled := DivisionRow{Rate: rate, Burst: burst, Parts: map[string]part.Part{}}
	for dataCentre, alc := range row.Parts {
		alc.Rate *= ratio(rate, row.Rate)
		alc.Burst *= ratio(burst, row.Burst)
		scaled.Parts[dataCentre] = alc
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
	row := DivisionRow{Rate: rate, Burst: burst, Parts: map[string]part.Part{}}
	for _, dataCentre := range dataCentres {
		row.Parts[dataCentre] = part.Part{Rate: rate / float64(len(dataCentres)), Burst: burst / float64(len(dataCentres))}
	}
	return row
}
