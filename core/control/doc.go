// Package control runs the one thread that owns all control state.
//
// The thread is a goroutine locked to its OS thread. Other goroutines send it events and read what it publishes through
// atomic pointers; control state has no locks.
package control
