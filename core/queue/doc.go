// Package queue orders the calls that wait at a gate: by priority first, then by weighted fair queueing between
// client accounts. Each account has guaranteed places in the queue, from which more important calls of other accounts
// cannot displace its calls. Some of the turns to leave the queue are fair turns, in which priority does not count.
//
// The queue is not safe for concurrent use; the gate calls it under its mutex.
package queue
