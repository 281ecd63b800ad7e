// Package coldpacer decides whether a node's backend server is cold and how many calls it may receive while it is.
//
// A cold backend server crashes if it receives many more requests in a second than it can handle. All requests to it pass
// through the gate of its node, which asks the Pacer before each one. The Pacer is safe for concurrent use; it starts no
// goroutine and calls nothing while it is locked.
package coldpacer
