package ingressrig

import (
	"flamingoreach/core/gatepolicy"
)

// Control is a variant of the nodes' mechanisms that is measured: the whole policy, or a baseline without parts of it
// for comparison. The word does not refer to the control thread.
type Control struct {
	Name string
	// Off lists the gates' mechanisms that are switched off.
	Off gatepolicy.Mechanism
	// Slots replaces the scenario's slots if it is above 0.
	Slots int
	// TreeAllowance gives a request one retry allowance for its whole tree of calls; without it each hop makes up to
	// three attempts.
	TreeAllowance bool
	// RetryBudget limits a node's retries to a fraction of its successful calls.
	RetryBudget bool
	// Picker makes a node choose gates by its own observations of them; without it the choice is random within the
	// node's region.
	Picker bool
	// PropagateCancellation stops the execution of a request whose caller no longer waits.
	PropagateCancellation bool
	// DeeperLimit bounds the deeper calls of each backend server that are in flight to the second service.
	DeeperLimit bool
	// RateLimits refuses requests that exceed their account's rate.
	RateLimits bool
	// RetryErrors also retries an idempotent call after a complete answer that reports an error.
	RetryErrors bool
}

const (
	overloadMechanisms = gatepolicy.AdaptiveLimit | gatepolicy.FairQueue | gatepolicy.QueueDelay | gatepolicy.AdmissionLevel
	allMechanisms      = overloadMechanisms | gatepolicy.Dedupe | gatepolicy.Quarantine
	// extraAttempts is the retry allowance of a request's tree of calls, or of each hop without TreeAllowance.
	extraAttempts = 2
	// retryRatio is the number of retries that each successful call earns for the node's retry budget.
	retryRatio     = 0.1
	unlimitedSlots = 1 << 30
)

// Controls returns the baselines and the whole policy.
func Controls() []Control {
	return []Control{
		{Name: "none", Off: allMechanisms, Slots: unlimitedSlots, RetryErrors: true},
		{Name: "static", Off: allMechanisms, PropagateCancellation: true, RetryErrors: true},
		{Name: "gatesOnly", Off: gatepolicy.AdmissionLevel, Picker: true, PropagateCancellation: true, RateLimits: true},
		{Name: "policy", TreeAllowance: true, DeeperLimit: true, RetryBudget: true, Picker: true, PropagateCancellation: true, RateLimits: true},
	}
}
