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

// Executed reports whether the answer shows that the request was or may have been executed: it is complete, or a
// refusal that does not state "not run". A request without an answer counts as not executed.
func (obs Observation) Executed() bool {
	return obs.Attempt.Complete || obs.Attempt.Refused() && obs.Attempt.Outcome != outcome.NotRun
}

// AnswerLost reports whether the request's answer was lost, as happens when a process stops without draining: the
// connection was refused or broke, the answer was truncated, or a refusal names the loss of the backend server or of a
// peer, or the quarantine after such losses, and does not state "not run".
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
