// Package gaterig measures one gate in front of a simulated backend server, with open-loop callers that retry.
//
// It runs in a testing/synctest bubble, starts one goroutine for each request of a caller, and waits for all of
// them. All random choices derive from the seed and the number of the request, so the same seed gives the same
// report.
package gaterig
