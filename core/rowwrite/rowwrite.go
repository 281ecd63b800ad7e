package rowwrite

// Write is one conditional write; a transaction applies all of its writes or none.
type Write struct {
	// Key is "collection/name".
	Key string `json:"key"`
	// Expected is the revision that the row must have; 0 means that it must not exist.
	Expected uint64 `json:"expected"`
	// Unconditional writes ignore Expected.
	Unconditional bool `json:"unconditional,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
	// CheckOnly checks Expected without writing the row.
	CheckOnly bool   `json:"checkOnly,omitempty"`
	Value     []byte `json:"value,omitempty"`
}
