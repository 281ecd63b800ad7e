package sharerig_test

import "flag"

// A fixed seed makes every run draw the same cases; the flag -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "20261204") }
