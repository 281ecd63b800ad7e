package gate_test

import "flag"

// The seed is fixed, so that each run draws the same cases; set -rapid.seed to draw others.
func init() { _ = flag.Set("rapid.seed", "20261204") }
