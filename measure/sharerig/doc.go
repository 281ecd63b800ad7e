// Package sharerig runs the token pools, share modules and leaders of several data centres over a simulated
// network and table, injects faults, and records every call.
//
// All events run one at a time on the caller's goroutine, inside a testing/synctest bubble. After each event the
// rig waits until the goroutines of waiting calls are blocked again, so the same seed gives the same result.
package sharerig
