package crash

import (
	"time"

	"github.com/google/uuid"
)

// Crash records that a call with a fingerprint may have ended a backend server's process.
type Crash struct {
	// ID identifies the death of the process; it is the same for all calls that may have ended it.
	ID          uuid.UUID
	Fingerprint uint64
	At          time.Time
	// Regions are the regions in which the call may run, as in call.Call; nil means no restriction.
	Regions []string
}
