package announcement

import (
	"net/netip"
	"time"
)

// Announcement is what a backend server reports about itself. It has no fields for load and health: a backend server
// may report them falsely, so the node decides nothing by them.
type Announcement struct {
	// ID identifies the backend server's process; it may be empty where addresses are not reused.
	ID string `json:"id,omitempty"`
	// Sequence rises with each announcement of one process, so that late ones can be ignored. A 0 stands for no number
	// unless Numbered is set.
	Sequence uint64 `json:"sequence,omitempty"`
	Numbered bool   `json:"numbered,omitempty"`
	// Address is where the backend server accepts calls.
	Address netip.AddrPort `json:"address"`
	Service string         `json:"service"`
	Slots   int            `json:"slots"`
	// State is "serving" or "draining".
	State string `json:"state"`
	// Started is when the process started.
	Started time.Time `json:"started"`
	// ColdFor is the time for which the backend server remains cold, if ColdKnown is set.
	ColdFor   time.Duration `json:"coldFor,omitempty"`
	ColdKnown bool          `json:"coldKnown,omitempty"`
}

// SameProcess reports whether two announcements come from the same process.
func (ann Announcement) SameProcess(other Announcement) bool {
	return ann.ID == other.ID && ann.Started.Equal(other.Started)
}
