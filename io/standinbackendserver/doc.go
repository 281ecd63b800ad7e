// Package standinbackendserver is a backend server for tests: it has slots and service times, answers each request with
// the SHA-256 digest of its body, and simulates faults. If the query of a request asks for it, it makes deeper calls,
// which are calls through the node for the request that it runs.
//
// One control thread owns its lifecycle, the chart standinBackendServer, and publishes the state for the
// goroutines that serve requests. Another goroutine sends its announcements to the node on the same host.
package standinbackendserver
