package locality

// Locality is the region and data centre of a host.
type Locality struct {
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
}

// The distances between two hosts.
const (
	SameDataCentre = iota
	SameRegion
	OtherRegion
	distances
)

// Distances is the number of different distances.
const Distances = int(distances)

// Distance returns how far away another locality is, from SameDataCentre to OtherRegion.
func (loc Locality) Distance(other Locality) int {
	switch {
	case loc == other:
		return SameDataCentre
	case loc.Region == other.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}
