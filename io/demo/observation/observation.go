package observation

import (
	"time"

	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/io/load/arrival"
	"flamingoreach/io/load/attempt"
)

// Observation is the result of one request of the demonstration; each request has one attempt.
type Observation struct {
	Arrival arrival.Arrival
	Attempt attempt.Attempt
	Sent    time.Time
	// Done is when the answer was read.
	Done time.Time
}

// Executed reports whether the request was or may have been executed.
func (obs Observation) Executed() bool {
	return obs.Attempt.Complete || obs.Attempt.Refused() && obs.Attempt.Outcome != outcome.NotRun
}

// AnswerLost reports whether the result shows that a process stopped without draining: a refused or broken connection, a
// truncated answer, or an answer that the next process was lost and does not rule out an execution.
func (obs Observation) AnswerLost() bool {
	switch obs.Attempt.Error {
	case "connectionReset", "connectionRefused", "truncated", "other":
		return true
	}
	switch obs.Attempt.Reason {
	case reason.BackendServerDown, reason.BackendServerFailed, reason.AnswerTruncated, reason.PeerUnreachable, reason.Quarantined:
		return obs.Attempt.Outcome != outcome.NotRun
	default:
		return false
	}
}
