package request

import (
	"time"

	"flamingoreach/core/handle"
)

// Request is a call as it arrives, without its body and encoding.
type Request struct {
	Method string
	// Host is the name of the virtual host that the caller asked, or empty where routes have none.
	Host string
	Path string
	// ID is the caller's own name for the request, or empty.
	ID string
	// Credential is the caller's key as it was shown, such as "Bearer KEY"; it must not be kept or logged.
	Credential string
	// Parent is set on calls that a backend server makes through its own node.
	Parent *handle.Handle
	// Timeout is the time that the caller gives, or zero.
	Timeout time.Duration
	// CallerService is the service of the host at which the call began, or empty.
	CallerService  string
	IdempotencyKey string
	// Digest identifies the body.
	Digest uint64
}
