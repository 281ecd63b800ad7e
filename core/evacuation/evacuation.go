package evacuation

import (
	"slices"

	"flamingoreach/core/storeposition"
)

// Evacuation holds the evacuated data centres as of a position in the platform's store; it is not changed once published.
type Evacuation struct {
	Position storeposition.Position `json:"position" cbor:"1,keyasint"`
	// DataCentres is sorted and has no duplicates.
	DataCentres []string `json:"dataCentres,omitempty" cbor:"2,keyasint,omitempty"`
}

// New returns the evacuation of the given data centres, in any order.
func New(position storeposition.Position, dataCentres ...string) Evacuation {
	return Evacuation{Position: position, DataCentres: slices.Compact(slices.Sorted(slices.Values(dataCentres)))}
}

// Includes reports whether a data centre is evacuated.
func (eva Evacuation) Includes(dataCentre string) bool {
	return slices.Contains(eva.DataCentres, dataCentre)
}

// Equal reports whether the same data centres are evacuated, at whatever position.
func (eva Evacuation) Equal(other Evacuation) bool {
	return slices.Equal(eva.DataCentres, other.DataCentres)
}
