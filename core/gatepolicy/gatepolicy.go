package gatepolicy

import "time"

// Defaults for the fields that a policy leaves at zero.
const (
	DefaultSlots                = 16
	DefaultQueueLength          = 64
	DefaultQueueWait            = 200 * time.Millisecond
	DefaultQuarantineTime       = 10 * time.Minute
	DefaultIdempotencyRetention = 10 * time.Minute
	DefaultClockSkew            = 5 * time.Second
	DefaultMaxDedupeCalls       = 1 << 17
	DefaultMaxDedupeBytes       = 32 << 20
)

// MaxQueueWait bounds QueueWait, because a gate that drains still runs the calls that wait.
const MaxQueueWait = 2 * time.Second

// Mechanism is one part of a gate, or a set of them, that can be switched off, for example for a measurement.
type Mechanism uint

// The mechanisms of a gate.
const (
	AdaptiveLimit Mechanism = 1 << iota
	FairQueue
	QueueDelay
	AdmissionLevel
	Dedupe
	Quarantine
)

// Policy is the configuration of one gate; zero fields take their defaults.
type Policy struct {
	// Slots is the number of calls that the backend server can run at a time.
	Slots int
	// QueueLength bounds the number of calls that wait.
	QueueLength int
	// QueueWait bounds the time that a call waits.
	QueueWait time.Duration
	// Weights holds the relative weights of client accounts in the queue; an account without an entry has weight 1.
	Weights map[string]float64
	// QuarantineTime is how long calls with the fingerprint of a crashing call are refused after its second crash; each
	// further crash doubles the time, up to five times QuarantineTime.
	QuarantineTime time.Duration
	// IdempotencyRetention is how long the answer to a call with an idempotency key is kept.
	IdempotencyRetention time.Duration
	// ClockSkew bounds the difference between a caller's clock and the gate's.
	ClockSkew time.Duration
	// MaxDedupeCalls bounds the number of call IDs and idempotency keys that are remembered.
	MaxDedupeCalls int
	// MaxDedupeBytes bounds the total size of the answers that are kept for duplicates, in bytes.
	MaxDedupeBytes int
	// MaxDeeperReserve is the largest fraction of the slots that is reserved for deeper calls.
	MaxDeeperReserve float64
	// RetrySuspects allows a call that ran during one crash to be retried at another backend server, because most
	// such calls did not cause the crash.
	RetrySuspects bool
	// Off is the set of mechanisms that are switched off.
	Off Mechanism
}

// WithDefaults returns the policy with defaults in its zero fields and with its bounds applied.
func (pol Policy) WithDefaults() Policy {
	pol.Slots = orDefault(pol.Slots, DefaultSlots)
	pol.QueueLength = orDefault(pol.QueueLength, DefaultQueueLength)
	pol.QueueWait = min(orDefault(pol.QueueWait, DefaultQueueWait), MaxQueueWait)
	pol.QuarantineTime = orDefault(pol.QuarantineTime, DefaultQuarantineTime)
	pol.IdempotencyRetention = orDefault(pol.IdempotencyRetention, DefaultIdempotencyRetention)
	pol.ClockSkew = orDefault(pol.ClockSkew, DefaultClockSkew)
	pol.MaxDedupeCalls = orDefault(pol.MaxDedupeCalls, DefaultMaxDedupeCalls)
	pol.MaxDedupeBytes = orDefault(pol.MaxDedupeBytes, DefaultMaxDedupeBytes)
	return pol
}

// On reports whether a mechanism is not switched off.
func (pol Policy) On(mec Mechanism) bool { return pol.Off&mec == 0 }

// Weight returns a client account's weight relative to other accounts.
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
