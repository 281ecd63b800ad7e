package arrival

import (
	"time"

	"github.com/google/uuid"

	"flamingoreach/io/load/account"
	"flamingoreach/io/load/kind"
)

// Arrival is one scheduled request.
type Arrival struct {
	// ID is a new UUID version 7 for each request of each run, whatever the seed; it contains the start time.
	ID uuid.UUID
	// Offset is the scheduled start, counted from the start of the run.
	Offset  time.Duration
	Account account.Account
	Kind    kind.Kind
	// WithinRate marks a request that the allowed rate and burst of its account cover.
	WithinRate bool
	// Seed determines the random choices made for this request.
	Seed uint64
}
