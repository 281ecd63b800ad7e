package clientaccount

import "flamingoreach/core/keyhash"

// ClientAccount is the account of one client, with its keys, its rate and its weight and priority under overload.
type ClientAccount struct {
	Name string
	// Rate is in calls per second over all hosts together.
	Rate float64
	// Burst is in calls over all hosts together.
	Burst float64
	// Weight is the account's part of a gate's slots under overload, relative to the weights of other accounts.
	Weight float64
	// PriorityBoost is added to the route's priority if Priority is nil.
	PriorityBoost int
	// Priority, if set, takes precedence over the route's priority, which then only decides between calls of accounts
	// of equal priority.
	Priority *int
	Keys     []keyhash.Hash
	// Regions are the only regions in which calls of the account may run, or empty for no restriction.
	Regions []string `json:",omitempty"`
}
