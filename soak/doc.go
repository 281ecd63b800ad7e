// Package soak runs real node processes on loopback against stand-ins, injects faults from outside the processes, and
// checks what callers and backend servers observe.
//
// The seed of a run determines the order of faults. A run signals only the processes that it has started.
package soak
