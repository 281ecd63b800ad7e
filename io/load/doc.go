// Package load is a load generator: it sends requests at seeded random times, independent of the answers to earlier
// ones, and checks that each answer is complete and belongs to its request.
//
// The goroutine that calls Run starts one goroutine for each request and reads their reports; the tally belongs to a
// control thread. The chart loadRequest defines the states of a request.
package load
