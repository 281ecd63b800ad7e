// Package sharerig runs the token pools, share modules and leaders of several data centres over a simulated
// network and table, injects faults, and records every call.
//
// A call is admitted with a token from the pool of its node. The share module of a node requests tokens from the leader
// of its data centre. The leaders divide the rate and burst of each account into allocations, one for each data centre.
// The table holds these divisions and the leases of the leaders.
//
// All events run one at a time on the caller's goroutine, inside a testing/synctest bubble. After each event the
// rig waits until the goroutines of waiting calls are blocked again, so the same seed gives the same result.
package sharerig
