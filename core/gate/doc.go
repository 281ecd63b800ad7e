// Package gate decides which calls run on the one backend server beside the node.
//
// All calls to the backend server pass through its gate. One mutex guards all state and is never held while a
// call runs. The package starts no goroutine: a waiting call blocks the goroutine that called Run. While a cold backend
// server's calls are paced, a timer of the runtime dispatches the waiting ones.
package gate
