package contents

import "flamingoreach/core/row"

// Contents is a copy of all rows and objects, and the number of requests so far.
type Contents struct {
	// Rows are sorted by key; their tables are not named.
	Rows []row.Row `json:"rows"`
	// Objects are keyed by "bucket/name".
	Objects map[string][]byte `json:"objects"`
	// Reads and Writes count the requests to both services, without invalid ones and those whose connection a fault
	// closed before they had any effect.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}
