// Package localfleet runs a small fleet in one process on loopback, with stand-ins for the backend servers and the
// platform.
//
// Each node and each stand-in runs in its own goroutines; Close waits for all of them.
package localfleet
