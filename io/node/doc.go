// Package node connects the control logic and the admission of calls in core with the packages that communicate with
// callers, backend servers, peers, the platform and operators, and runs them in one process.
package node
