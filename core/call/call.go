package call

import (
	"time"

	"github.com/google/uuid"
)

// Call is what the decisions know of one call on its way from an ingress node to a gate.
type Call struct {
	// ID is shared by all attempts of the call; Root is the ID of the call that the caller made.
	ID   uuid.UUID `json:"id"`
	Root uuid.UUID `json:"root"`
	// Depth is zero for the root call.
	Depth   int    `json:"depth"`
	Service string `json:"service"`
	Route   string `json:"route"`
	// Account is empty on open routes.
	Account string `json:"account,omitempty"`
	// KeyID identifies the key, and is never the key; empty on open routes.
	KeyID string `json:"keyId,omitempty"`
	// Priority is higher for more important calls.
	Priority   int  `json:"priority"`
	Idempotent bool `json:"idempotent"`
	// IdempotencyKey is the caller's own name for a repeatable call, or empty.
	IdempotencyKey string    `json:"idempotencyKey,omitempty"`
	Deadline       time.Time `json:"deadline"`
	// Allowance is the number of extra attempts that the call and all calls below it may still make.
	Allowance int `json:"allowance"`
	// RequestID is the caller's own name for this attempt of it, passed on as it came; empty if it gave none.
	RequestID string `json:"requestId,omitempty"`
	// CallerService is the service of the host at which the call began; empty where callers are not on hosts.
	CallerService string `json:"callerService,omitempty"`
	// QueueWait bounds the time that the call waits at a gate, if it is shorter than the gate's own; 0 sets no bound.
	QueueWait time.Duration `json:"queueWait,omitempty"`
	// AtOnce says that the call does not wait at a gate whose slots are in use, because others can be asked.
	AtOnce bool `json:"atOnce,omitempty"`
	// Fingerprint identifies the content of the call for the quarantine of crashing calls.
	Fingerprint uint64 `json:"fingerprint"`
}
