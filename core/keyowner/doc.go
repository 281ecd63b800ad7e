// Package keyowner chooses the gate that owns an idempotency key, that is, remembers the call that was made with it.
// It also detects keys whose former owner was lost.
//
// The owner of a key is found by rendezvous hashing over all members of a service, those that take no new work
// included, so that it changes only when a member joins or leaves. A call with a key that a lost member may have run
// is never run by the new owner.
package keyowner
