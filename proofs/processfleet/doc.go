// Package processfleet runs a small fleet as processes on loopback for tests: a stand-in for the platform, and at each
// site a node and a stand-in backend server.
package processfleet
