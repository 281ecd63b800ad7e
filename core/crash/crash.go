package crash

import (
	"time"

	"github.com/google/uuid"
)

// Crash records that a call with a fingerprint was running when a backend server's process died. Nodes send crashes
// to each other.
type Crash struct {
	// ID identifies the death of the process; it is the same for all calls that were running then.
	ID          uuid.UUID `json:"id"`
	Fingerprint uint64    `json:"fingerprint"`
	At          time.Time `json:"at"`
}
