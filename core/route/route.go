package route

import (
	"time"

	"flamingoreach/core/route/destination"
)

// Route maps calls by method and path to a service, with the policy for them.
type Route struct {
	Name    string
	Service string
	// Destinations, if set, replaces Service: the route's calls are divided among several services by weight. In JSON
	// and CBOR its name is Parts, which recorded traces and nodes of other releases use.
	Destinations []destination.Destination `json:"Parts"`
	// Host is the name of the virtual host, or empty for routes without one.
	Host string
	// Method is an HTTP method, or empty for all methods.
	Method string
	// PathPrefix is the start of the paths that match; it matches whole path segments only.
	PathPrefix string
	// Priority is higher for more important calls.
	Priority   int
	Idempotent bool
	// Open says that calls need no API key.
	Open    bool
	Timeout time.Duration
	// Attempts bounds the backend servers that may receive one call, the first included; with 0, the retry allowance of
	// the configuration applies. The first few gates that refuse the call themselves do not count.
	Attempts int
	// TargetLatency is the time within which callers expect an answer, or 0 if none is set.
	TargetLatency time.Duration
	// Regions are the only regions in which calls of the route may run, or empty for no restriction.
	Regions []string `json:",omitempty"`
}
