package announcement

import (
	"net/netip"
	"time"
)

// Announcement is a backend server's word about itself; its load and health are hints only.
type Announcement struct {
	// ID names the backend server's process, and may be empty where addresses are not reused.
	ID string `json:"id,omitempty"`
	// Sequence rises with each announcement of one process, so that a late one can be told; 0 if it is not counted.
	Sequence uint64         `json:"sequence,omitempty"`
	Address  netip.AddrPort `json:"address"`
	Service  string         `json:"service"`
	Slots    int            `json:"slots"`
	// State is "serving" or "draining".
	State   string    `json:"state"`
	Started time.Time `json:"started"`
}
