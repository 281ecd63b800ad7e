package gaterig

import (
	"time"

	"flamingoreach/core/gatepolicy"
)

// Control is a way to run the gate, either as it is or as a baseline.
type Control struct {
	Name string
	Off  gatepolicy.Mechanism
	// Slots, QueueLength and QueueWait replace the scenario's if they are above 0.
	Slots       int
	QueueLength int
	QueueWait   time.Duration
}

const overload = gatepolicy.AdaptiveLimit | gatepolicy.FairQueue | gatepolicy.QueueDelay | gatepolicy.AdmissionLevel

// Controls returns the baselines and the gate with all its mechanisms.
func Controls() []Control {
	return []Control{
		{Name: "none", Off: overload, Slots: 1 << 30},
		{Name: "staticFifo", Off: overload, QueueLength: 1000, QueueWait: gatepolicy.MaxQueueWait},
		{Name: "gate"},
	}
}
