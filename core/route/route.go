package route

import (
	"time"

	"flamingoreach/core/route/part"
)

// Route maps calls by method and path to a service, with the policy for them.
type Route struct {
	Name    string
	Service string
	// Parts, where set, take the place of Service and divide the calls among several services.
	Parts []part.Part
	// Host is the name of the virtual host, or empty for routes without one.
	Host string
	// Method is an HTTP method, or empty for all methods.
	Method string
	// PathPrefix matches whole path segments.
	PathPrefix string
	// Priority is higher for more important calls.
	Priority   int
	Idempotent bool
	// Open routes need no key.
	Open    bool
	Timeout time.Duration
	// Attempts bounds the backend servers that one call may reach; 0 leaves it to the configuration's allowance.
	Attempts int
	// TargetLatency is the time within which an answer is worth most to its caller, or 0.
	TargetLatency time.Duration
}
