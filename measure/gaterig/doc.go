// Package gaterig measures one gate, an admission controller, in front of a simulated backend server, with open-loop
// callers that retry.
//
// A scenario describes the backend server, its callers and several cases. A case may add a cause of overload for a part
// of the run, the trigger. It is run under each control, a variant of the gate's mechanisms.
//
// It runs in a testing/synctest bubble, starts one goroutine for each request of a caller, and waits for all of
// them. All random choices derive from the seed and the number of the request, so the same seed gives the same
// report.
package gaterig
