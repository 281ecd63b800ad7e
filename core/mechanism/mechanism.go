package mechanism

import "slices"

// Mechanism is the name of one mechanism of the overload policy; all are on unless a configuration lists them as off.
type Mechanism string

// The mechanisms that can be switched off, for measurements or in an emergency.
const (
	AdaptiveLimit  Mechanism = "adaptiveLimit"
	AdmissionLevel Mechanism = "admissionLevel"
	DeeperLimit    Mechanism = "deeperLimit"
	FairQueue      Mechanism = "fairQueue"
	QueueDelay     Mechanism = "queueDelay"
	RetryBudget    Mechanism = "retryBudget"
	Quarantine     Mechanism = "quarantine"
	Ejection       Mechanism = "ejection"
	Locality       Mechanism = "locality"
)

var all = []Mechanism{
	AdaptiveLimit, AdmissionLevel, DeeperLimit, Ejection, FairQueue, Locality, Quarantine, QueueDelay, RetryBudget,
}

// All returns every mechanism in alphabetical order.
func All() []Mechanism { return slices.Clone(all) }

// Known reports whether a mechanism of that name exists.
func (mec Mechanism) Known() bool { return slices.Contains(all, mec) }
