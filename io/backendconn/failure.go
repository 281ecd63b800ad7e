package backendconn

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
	// Refused says that the backend server's process does not listen.
	Refused bool
	Cause   error
}

// Error names the stage and the cause.
func (fai *Failure) Error() string {
	return fmt.Sprintf("%s backend server: %v", [...]string{"connect to", "wait for", "read answer of"}[fai.Stage], fai.Cause)
}

// Unwrap returns the cause.
func (fai *Failure) Unwrap() error { return fai.Cause }
