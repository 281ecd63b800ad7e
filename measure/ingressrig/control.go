package ingressrig

import (
	"flamingoreach/core/gatepolicy"
)

// Control is a way to run the nodes, either as they are or as a baseline.
type Control struct {
	Name string
	// Off switches mechanisms of the gates off.
	Off gatepolicy.Mechanism
	// Slots replaces the scenario's slots if it is above 0.
	Slots int
	// Tree gives a request one allowance for its whole tree; without it each hop makes up to three attempts.
	Tree bool
	// Budget bounds a node's retries by its successes.
	Budget bool
	// Picker chooses by what the node saw; without it the choice is random within the own region.
	Picker bool
	// Cancel stops the work of a request whose caller has gone.
	Cancel bool
	// DeeperLimit bounds the calls that wait for the deep service.
	DeeperLimit bool
	// Rates refuses requests beyond an account's rate.
	Rates bool
	// RetryErrors repeats a call also after a whole answer that reports an error, where it is idempotent.
	RetryErrors bool
}

const (
	overload = gatepolicy.AdaptiveLimit | gatepolicy.FairQueue | gatepolicy.QueueDelay | gatepolicy.AdmissionLevel
	all      = overload | gatepolicy.Dedupe | gatepolicy.Quarantine
	// extraAttempts is the allowance of a tree, or of each hop without one.
	extraAttempts = 2
	retryRatio    = 0.1
	unbounded     = 1 << 30
)

// Controls returns the baselines and the whole policy.
func Controls() []Control {
	return []Control{
		{Name: "none", Off: all, Slots: unbounded, RetryErrors: true},
		{Name: "static", Off: all, Cancel: true, RetryErrors: true},
		{Name: "gatesOnly", Off: gatepolicy.AdmissionLevel, Picker: true, Cancel: true, Rates: true},
		{Name: "policy", Tree: true, DeeperLimit: true, Budget: true, Picker: true, Cancel: true, Rates: true},
	}
}
