package row

import "github.com/rotisserie/eris"

// ErrConflict means that a transaction was certainly not applied, because a row did not have the expected revision.
var ErrConflict = eris.New("transaction conflicts with a row's revision")

// ErrNotFound means that a row or an object certainly does not exist.
var ErrNotFound = eris.New("not found")

// Row is one row of the table, as the table service returned it.
type Row struct {
	// Key is "collection/name".
	Key string `json:"key"`
	// Revision grows with each write of the row and is at least 1.
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
}
