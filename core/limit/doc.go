// Package limit adapts the number of calls that may run on a backend server at a time to the latency that the gate
// measures.
package limit
