// Package standinbackendserver is a backend server for tests: it has slots and service times, returns digests of the
// requests that it received, and simulates faults.
//
// One control thread owns its lifecycle, the chart standinBackendServer, and publishes the state for the
// goroutines that serve requests. Another goroutine sends its announcements to the node on the same host.
package standinbackendserver
