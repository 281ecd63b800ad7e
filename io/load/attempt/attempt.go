package attempt

import (
	"time"

	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
)

// Attempt is the result of one attempt: a complete answer, a refusal with its reason, or an error.
type Attempt struct {
	Status   int
	Complete bool
	// CallID is the call ID in the answer.
	CallID     string
	Reason     reason.Reason
	Outcome    outcome.Outcome
	RetryAfter time.Duration
	// Error is the kind of failure, such as "timeout"; Mismatched marks an answer that belongs to another request.
	Error      string
	Mismatched bool
	// Unsent marks an attempt whose connection the target refused, so that nothing was sent.
	Unsent bool
}

// Refused reports whether the answer was a refusal with a reason.
func (att Attempt) Refused() bool { return att.Reason != reason.None }

// Event returns the event for the chart loadRequest that corresponds to the result.
func (att Attempt) Event() string {
	switch {
	case att.Complete:
		return "answered"
	case att.Refused():
		return "refused"
	default:
		return "failed"
	}
}

// NotRun reports whether the attempt was certainly not executed: nothing was sent, or the refusal states it.
func (att Attempt) NotRun() bool { return att.Unsent || att.Refused() && att.Outcome == outcome.NotRun }
