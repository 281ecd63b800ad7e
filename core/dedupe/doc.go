// Package dedupe remembers call IDs and idempotency keys with their answers, so that a call that must not run twice
// runs at most once.
//
// The table is not safe for concurrent use; the gate calls it under its mutex.
package dedupe
