package request

import (
	"time"

	"flamingoreach/core/handle"
)

// Request holds the properties of a received request, without its body and encoding.
type Request struct {
	Method string
	// Host is the name of the virtual host that the request names, or empty where routes have none.
	Host string
	Path string
	// ID is the ID that the caller gave to the request, or empty.
	ID string
	// Credential is the caller's key as it was received, such as "Bearer KEY"; it must not be stored or logged.
	Credential string
	// Parent is set on calls that a backend server makes through its own node.
	Parent *handle.Handle
	// Timeout is the timeout that the caller set, or zero.
	Timeout time.Duration
	// CallerService is the service of the host on which the call was made, or empty.
	CallerService  string
	IdempotencyKey string
	// BodyDigest is a hash of the body.
	BodyDigest uint64
}
