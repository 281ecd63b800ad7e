package refusal

import (
	"fmt"
	"net/netip"
	"time"

	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
)

// Refusal is the typed error of a call that has no whole answer.
type Refusal struct {
	Reason  reason.Reason   `json:"reason"`
	Outcome outcome.Outcome `json:"outcome"`
	// RetryAfter is zero where coming back cannot help.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Elsewhere says that another backend server of the service may accept the call.
	Elsewhere bool `json:"elsewhere,omitempty"`
	// Offered says that a backend server itself refused the call, so that another attempt is a repeat there.
	Offered bool `json:"offered,omitempty"`
	// Step and Peer name where the refusal arose; Peer is the zero value for a local decision.
	Step string         `json:"step"`
	Peer netip.AddrPort `json:"peer,omitzero"`
}

// Error returns the reason, the step and the peer in one line.
func (ref *Refusal) Error() string {
	if ref.Peer.IsValid() {
		return fmt.Sprintf("%s at %s: %s (%s)", ref.Step, ref.Peer, ref.Reason, ref.Outcome)
	}
	return fmt.Sprintf("%s: %s (%s)", ref.Step, ref.Reason, ref.Outcome)
}

// NotRun returns a refusal of a call that no backend server has received.
func NotRun(why reason.Reason, step string) *Refusal {
	return &Refusal{Reason: why, Outcome: outcome.NotRun, Step: step}
}

// Unknown returns a refusal of a call that may have run.
func Unknown(why reason.Reason, step string) *Refusal {
	return &Refusal{Reason: why, Outcome: outcome.Unknown, Step: step}
}
