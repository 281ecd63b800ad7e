package answer

import (
	"time"

	"github.com/google/uuid"

	"flamingoreach/core/refusal"
)

// Answer holds the properties of an answer on which nodes base decisions, without its body.
type Answer struct {
	// CallID must equal the ID of the call that was sent.
	CallID uuid.UUID `json:"callId"`
	// Refusal is nil when a backend server gave a complete answer.
	Refusal *refusal.Refusal `json:"refusal,omitempty"`
	// AllowanceLeft is the part of the call's allowance that the call and its deeper calls did not spend.
	AllowanceLeft int `json:"allowanceLeft"`
	// AdmissionLevel is the lowest priority of the account's calls that the gate admits at present, or 0 if it admits
	// all.
	AdmissionLevel int `json:"admissionLevel"`
	// Load is the number of calls that run or wait at the gate, divided by its concurrency limit; it may exceed 1.
	Load float64 `json:"load"`
	// ServiceTime is the time that the backend server took, zero if the call did not run.
	ServiceTime time.Duration `json:"serviceTime"`
}
