package inventory

// Inventory lists the live members of a data centre by hash, so that another node can find which ones it lacks.
type Inventory struct {
	DataCentre string `json:"dataCentre"`
	// Hashes has one hash per live member, in no particular order.
	Hashes []uint64 `json:"hashes"`
}
