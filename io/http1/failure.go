package http1

import "fmt"

// Stage tells how far a failed exchange got.
type Stage int

// The stages of an exchange.
const (
	// Connecting means that nothing was sent.
	Connecting Stage = iota
	// Waiting means that the request may have been received, and no valid header of an answer to it was read.
	Waiting
	// Reading means that the body of an answer was truncated, is longer than its bound, or cannot be read.
	Reading
)

// Failure is the error of an exchange without a complete answer.
type Failure struct {
	Stage Stage
	// Refused means that no process listens at the address.
	Refused bool
	Cause   error
}

// Error names the stage and the cause.
func (fai *Failure) Error() string {
	return fmt.Sprintf("%s: %v", [...]string{"connect", "wait for answer", "read answer"}[fai.Stage], fai.Cause)
}

// Unwrap returns the cause.
func (fai *Failure) Unwrap() error { return fai.Cause }
