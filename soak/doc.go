// Package soak runs real node processes on loopback against stand-ins, injects faults from outside, and checks what
// callers and backend servers see.
//
// One seed fixes the order of faults. The processes are started, signalled and ended by their own handles.
package soak
