// Package pick chooses the backend server for an attempt by the results of this node's own calls.
//
// Choose prefers the node's own data centre, then its region, then other regions, and takes the better of two random
// candidates by calls in flight, reported load and latency. ChooseByExpectedLatency compares all members of a service.
// A backend server whose calls fail is ejected for a time, but never more than about a third of a service's
// backend servers.
package pick
