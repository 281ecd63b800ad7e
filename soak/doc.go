// Package soak runs real node processes on loopback against stand-ins for the store, the backend servers and the
// callers, injects faults from outside the processes, and checks what callers and backend servers observe.
//
// There are two client accounts: the callers of the first stay within its rate, those of the greedy account send more
// than its rate allows. Each change of the configuration withdraws a key, grants another one, and assigns the moving
// route to another service.
//
// The seed of a run determines the order of faults. A run signals only the processes that it has started.
package soak
