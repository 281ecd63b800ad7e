package datacentre

// DataCentre is a data centre as the table lists it.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// StoreRegion is set if the data centre is in the region of the platform's store.
	StoreRegion bool `json:"storeRegion"`
	// Out is set if an operator has declared the data centre to be out, so that patches are accepted without it.
	Out bool `json:"out,omitempty"`
	// Revision is the revision of the data centre's row in the table.
	Revision uint64 `json:"-"`
}
