package gaterig

import (
	"time"

	"flamingoreach/core/gatepolicy"
)

// Control is a variant of the gate's mechanisms that is measured: all of them, or a baseline without some of them for
// comparison. The word does not refer to the control thread.
type Control struct {
	Name string
	// Off lists the gate's mechanisms that are switched off.
	Off gatepolicy.Mechanism
	// Slots, if above 0, replaces the scenario's slots. QueueLength, if above 0, replaces the scenario's queue
	// length, and QueueWait then replaces its queue wait.
	Slots       int
	QueueLength int
	QueueWait   time.Duration
}

// overloadMechanisms are the gate's mechanisms against overload, which the baselines do without.
const overloadMechanisms = gatepolicy.AdaptiveLimit | gatepolicy.FairQueue | gatepolicy.QueueDelay | gatepolicy.AdmissionLevel

// Controls returns the baselines and the gate with all its mechanisms.
func Controls() []Control {
	return []Control{
		{Name: "none", Off: overloadMechanisms, Slots: 1 << 30},
		{Name: "staticFifo", Off: overloadMechanisms, QueueLength: 1000, QueueWait: gatepolicy.MaxQueueWait},
		{Name: "gate"},
	}
}
