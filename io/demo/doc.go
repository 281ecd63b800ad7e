// Package demo demonstrates the main functions of the system on loopback: a fleet serves callers during a surge, the
// withdrawal of a key and the planned stop of a backend server.
//
// A separate control thread owns the observations; the phases run on the goroutine that calls Run.
package demo
