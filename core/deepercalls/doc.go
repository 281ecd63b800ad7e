// Package deepercalls counts the deeper calls that run at a gate and their recent peak, so that the gate can reserve
// slots for them. A deeper call is made by a backend server for a request that already runs; what was done for that
// request is lost if the call is refused.
package deepercalls
