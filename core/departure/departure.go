package departure

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/core/announcement"
)

const (
	// Retention is how long a departure is kept. Heartbeats arrive seconds late at most.
	Retention = 10 * time.Minute
	// maxIDBytes is longer than the ID of any backend server.
	maxIDBytes = 200
)

// Departure is the departure of a backend server, as its node acknowledged it.
type Departure struct {
	// Host is the address at which other nodes reach the node beside the backend server. It outlasts a restart of the node.
	Host     netip.AddrPort
	ServerID string
	// Started is when the process of the backend server started, or zero if that is not known.
	Started time.Time
	// Sequence is the number of the latest announcement before the acknowledgement.
	Sequence uint64
	// Deregistered is set if the process has left for good. A process that only announced that it drains may announce later
	// that it serves again.
	Deregistered bool
	// At is the time of the departure, by the clock of the host.
	At time.Time
}

// Covers reports whether an announcement comes from before the departure, or from a process that has left for good. A
// departure says nothing about a process that started later.
func (dep Departure) Covers(ann announcement.Announcement) bool {
	if ann.ID != dep.ServerID {
		// A host has one backend server at a time, so an earlier process has ended.
		return !ann.Started.IsZero() && ann.Started.Before(dep.Started)
	}
	latestStart := dep.Started
	if latestStart.IsZero() {
		latestStart = dep.At
	}
	switch {
	case ann.Started.After(latestStart):
		return false
	case dep.Deregistered, !ann.Numbered && ann.Sequence == 0:
		return true
	case !ann.Started.IsZero() && ann.Started.Before(dep.Started):
		return true
	}
	return ann.Sequence <= dep.Sequence
}

// Replaces reports whether the departure is to be kept in place of an earlier known one of the same host.
func (dep Departure) Replaces(known Departure) bool {
	if dep.Started.IsZero() || known.Started.IsZero() || dep.Started.Equal(known.Started) {
		return !dep.At.Before(known.At)
	}
	return dep.Started.After(known.Started)
}

// Expired reports whether the departure is older than Retention.
func (dep Departure) Expired(now time.Time) bool { return now.Sub(dep.At) > Retention }

// Validate returns an error if no node can have announced the departure.
func (dep Departure) Validate() error {
	switch {
	case !dep.Host.IsValid() || dep.Host.Port() == 0:
		return eris.Errorf("departure: no node listens at %q", dep.Host)
	case dep.ServerID == "" || len(dep.ServerID) > maxIDBytes:
		return eris.Errorf("departure: the ID has %d bytes", len(dep.ServerID))
	case dep.At.IsZero():
		return eris.New("departure: the time is missing")
	}
	return nil
}
