package call

import (
	"time"

	"github.com/google/uuid"
)

// Call holds the properties of one call, which the ingress node sets and sends to the gate.
type Call struct {
	// ID is shared by all attempts of the call; Root is the ID of the root call, which entered from outside.
	ID   uuid.UUID `json:"id"`
	Root uuid.UUID `json:"root"`
	// Depth is the number of calls above this one: zero for the root call.
	Depth   int    `json:"depth"`
	Service string `json:"service"`
	Route   string `json:"route"`
	// Account is empty on open routes.
	Account string `json:"account,omitempty"`
	// KeyID identifies the API key of the call, and is never the key itself; empty on open routes.
	KeyID string `json:"keyId,omitempty"`
	// Priority is higher for more important calls.
	Priority   int  `json:"priority"`
	Idempotent bool `json:"idempotent"`
	// IdempotencyKey is the key that the caller sends with every delivery of the same call, or empty.
	IdempotencyKey string    `json:"idempotencyKey,omitempty"`
	Deadline       time.Time `json:"deadline"`
	// Allowance is the number of extra attempts that the call and its deeper calls may still make together.
	Allowance int `json:"allowance"`
	// RequestID is the ID that the caller gave to this attempt, passed on unchanged; empty if it gave none.
	RequestID string `json:"requestId,omitempty"`
	// CallerService is the service of the host on which the call was made; empty for callers that are not on hosts.
	CallerService string `json:"callerService,omitempty"`
	// CallerDataCentre is the data centre of the node that makes the attempt; empty if it does not say.
	CallerDataCentre string `json:"callerDataCentre,omitempty"`
	// QueueWait limits the time that the call waits in a gate's queue; 0 means the gate's own limit, which also applies
	// if it is shorter.
	QueueWait time.Duration `json:"queueWait,omitempty"`
	// RefuseWhenFull says that a gate refuses the call instead of queueing it if it would have to wait for a slot,
	// because other gates can be asked.
	RefuseWhenFull bool `json:"atOnce,omitempty"`
	// Fingerprint identifies the content of the call: its account, host, method, path and body.
	Fingerprint uint64 `json:"fingerprint"`
	// Variant tells apart the calls with one fingerprint that a backend server can tell apart, by their query and the header
	// fields that choose a representation. The gate's node sets it; 0 means that there are no variants.
	Variant uint64 `json:"-"`
	// Regions are the only regions in which the call may run; nil means no restriction, and an empty list that it may run
	// in none.
	Regions []string `json:"regions,omitzero"`
}
