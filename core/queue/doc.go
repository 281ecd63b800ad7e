// Package queue orders the calls that wait at a gate: by priority first, then by weighted fair queueing between
// client accounts.
//
// The queue is not safe for concurrent use; the gate calls it under its mutex.
package queue
