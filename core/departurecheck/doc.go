// Package departurecheck finds out whether a backend server had left before its node was restarted. A check asks the other nodes on
// a goroutine of its own while it reads the store, and waits for its end.
package departurecheck
