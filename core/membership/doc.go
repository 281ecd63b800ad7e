// Package membership keeps the list of all nodes of the fleet and detects which of them are alive.
//
// Inside a data centre it follows SWIM: nodes probe each other, a failed probe is retried directly and through other
// nodes, then the target becomes suspect, and it is declared dead unless it refutes the suspicion in time. Membership
// updates are piggybacked on probes and their acknowledgements. Updates that get lost are repaired by anti-entropy
// exchanges, in which two nodes narrow down where their lists differ. Between data centres, one node of each data
// centre exchanges with one node of each other data centre.
package membership
