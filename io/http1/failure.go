package http1

import "fmt"

// Stage says how far a failed exchange came.
type Stage int

// The stages of an exchange.
const (
	// Connecting means that nothing was sent.
	Connecting Stage = iota
	// Waiting means that the request may have been read and no answer began.
	Waiting
	// Reading means that the answer broke off, or cannot be read.
	Reading
)

// Failure is the error of an exchange without a whole answer.
type Failure struct {
	Stage Stage
	// Refused says that no process listens at the address.
	Refused bool
	Cause   error
}

// Error names the stage and the cause.
func (fai *Failure) Error() string {
	return fmt.Sprintf("%s: %v", [...]string{"connect", "wait for answer", "read answer"}[fai.Stage], fai.Cause)
}

// Unwrap returns the cause.
func (fai *Failure) Unwrap() error { return fai.Cause }
