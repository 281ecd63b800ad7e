package refusal

import (
	"fmt"
	"net/netip"
	"time"

	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
)

// Refusal is the error of a call that got no complete answer.
type Refusal struct {
	Reason  reason.Reason   `json:"reason"`
	Outcome outcome.Outcome `json:"outcome"`
	// RetryAfter is the time after which the caller may try again; zero if a retry cannot help.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Elsewhere says that another backend server of the service may accept the call.
	Elsewhere bool `json:"elsewhere,omitempty"`
	// Offered says that the gate passed the call to the backend server, which refused it itself. Another attempt is
	// then a retry and counts against the retry budget.
	Offered bool `json:"offered,omitempty"`
	// Step names the step at which the call was refused. Peer is the address of the peer that refused it or did not
	// answer, and the zero value for a local decision.
	Step string         `json:"step"`
	Peer netip.AddrPort `json:"peer,omitzero"`
}

// Error returns step, peer, reason and outcome in one line.
func (ref *Refusal) Error() string {
	if ref.Peer.IsValid() {
		return fmt.Sprintf("%s at %s: %s (%s)", ref.Step, ref.Peer, ref.Reason, ref.Outcome)
	}
	return fmt.Sprintf("%s: %s (%s)", ref.Step, ref.Reason, ref.Outcome)
}

// NotRun returns a refusal of a call that no backend server has run.
func NotRun(why reason.Reason, step string) *Refusal {
	return &Refusal{Reason: why, Outcome: outcome.NotRun, Step: step}
}

// Unknown returns a refusal of a call that may have run.
func Unknown(why reason.Reason, step string) *Refusal {
	return &Refusal{Reason: why, Outcome: outcome.Unknown, Step: step}
}
