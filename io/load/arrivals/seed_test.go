package arrivals

import "flag"

// The seed is fixed, so that each run checks the same cases; the flag -rapid.seed selects others.
func init() { _ = flag.Set("rapid.seed", "20261204") }
