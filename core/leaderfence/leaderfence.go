package leaderfence

// Fence makes a transaction fail unless the row "leader/DATACENTRE" has the given revision.
type Fence struct {
	DataCentre string `json:"dataCentre"`
	Revision   uint64 `json:"revision"`
}
