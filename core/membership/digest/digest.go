package digest

// Digest is a hash over the live members of a data centre; two nodes with equal digests know the same members.
type Digest struct {
	DataCentre string `json:"dataCentre"`
	Hash       uint64 `json:"hash"`
}
