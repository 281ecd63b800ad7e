package gatepolicy

import "time"

// Defaults for the fields that a policy leaves at zero.
const (
	DefaultSlots           = 16
	DefaultQueueLength     = 64
	DefaultQueueWait       = 200 * time.Millisecond
	DefaultQuarantineTime  = 10 * time.Minute
	DefaultIdempotencyKeep = 10 * time.Minute
	DefaultClockSkew       = 5 * time.Second
	DefaultKeptCalls       = 1 << 17
	DefaultKeptBytes       = 32 << 20
)

// MaxQueueWait bounds QueueWait, because waiting calls are still run while a gate drains.
const MaxQueueWait = 2 * time.Second

// Mechanism is one part of a gate that can be switched off for a measurement.
type Mechanism uint

// The mechanisms of a gate.
const (
	AdaptiveLimit Mechanism = 1 << iota
	FairQueue
	SheddingDelay
	AdmissionLevel
	Dedupe
	Quarantine
)

// Policy is the configuration of one gate; zero fields take their defaults.
type Policy struct {
	// Slots is the number of calls that the backend server accepts at a time.
	Slots int
	// QueueLength bounds the calls that wait.
	QueueLength int
	// QueueWait bounds the time that a call waits.
	QueueWait time.Duration
	// Weights holds each client account's part of the slots; an account without an entry has weight 1.
	Weights map[string]float64
	// QuarantineTime is how long a crashing call's fingerprint is refused after its last crash.
	QuarantineTime time.Duration
	// IdempotencyKeep is how long the answer to a call with an idempotency key is kept.
	IdempotencyKeep time.Duration
	// ClockSkew bounds the difference between a caller's clock and the gate's.
	ClockSkew time.Duration
	// KeptCalls bounds the call IDs that are remembered.
	KeptCalls int
	// KeptBytes bounds the size of all answers that are remembered, in bytes.
	KeptBytes int
	// KeptForDeeper is the largest part of the slots that is kept free for calls of work that runs elsewhere.
	KeptForDeeper float64
	// RepeatSuspects lets a call that ran at one crash be repeated elsewhere, because most such calls are innocent.
	RepeatSuspects bool
	// Off is the set of mechanisms that are switched off.
	Off Mechanism
}

// WithDefaults returns the policy with its zero fields filled in and its bounds applied.
func (pol Policy) WithDefaults() Policy {
	pol.Slots = orDefault(pol.Slots, DefaultSlots)
	pol.QueueLength = orDefault(pol.QueueLength, DefaultQueueLength)
	pol.QueueWait = min(orDefault(pol.QueueWait, DefaultQueueWait), MaxQueueWait)
	pol.QuarantineTime = orDefault(pol.QuarantineTime, DefaultQuarantineTime)
	pol.IdempotencyKeep = orDefault(pol.IdempotencyKeep, DefaultIdempotencyKeep)
	pol.ClockSkew = orDefault(pol.ClockSkew, DefaultClockSkew)
	pol.KeptCalls = orDefault(pol.KeptCalls, DefaultKeptCalls)
	pol.KeptBytes = orDefault(pol.KeptBytes, DefaultKeptBytes)
	return pol
}

// On reports whether a mechanism is in use.
func (pol Policy) On(mec Mechanism) bool { return pol.Off&mec == 0 }

// Weight returns a client account's part of the slots, relative to other accounts.
func (pol Policy) Weight(account string) float64 {
	if weight := pol.Weights[account]; weight > 0 {
		return weight
	}
	return 1
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
