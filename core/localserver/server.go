package localserver

import (
	"slices"
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/announcement"
	"flamingoreach/core/machine"
)

// SilenceLimit is the time without an announcement after which a backend server counts as gone.
const SilenceLimit = 5 * time.Second

// formerKept bounds the IDs of earlier processes that are remembered.
const formerKept = 16

// The states of the chart localServer.
const (
	Absent   = "absent"
	Serving  = "serving"
	Draining = "draining"
)

// Server is control state; its methods are called on the control thread only.
type Server struct {
	// Open, Drain and Crash act on the gate.
	Open  func(ann announcement.Announcement)
	Drain func()
	Crash func()
	// Changed is told of each new state with the latest announcement.
	Changed func(state string, ann announcement.Announcement)

	state     string
	latest    announcement.Announcement
	announced time.Time
	// left holds the start of each process that took itself off, or when it did so if its start was not known.
	left map[string]time.Time
	// former lists the IDs of earlier processes, whose announcements may still arrive.
	former []string
}

var chart = machine.MustNew(charts.Must("localServer"),
	[]string{"serving", "draining", "restarted", "silent", "broken"}, nil,
	map[string]func(*Server){
		"open":  func(ser *Server) { ser.Open(ser.latest) },
		"drain": func(ser *Server) { ser.Drain() },
		"crash": func(ser *Server) { ser.Crash() },
	})

// New returns a server that has not announced itself.
func New() *Server { return &Server{state: chart.Initial(), left: map[string]time.Time{}} }

// State returns the state of the chart localServer.
func (ser *Server) State() string { return ser.state }

// Latest returns the latest announcement.
func (ser *Server) Latest() announcement.Announcement { return ser.latest }

// Announced takes an announcement and reports whether it was news: one of an earlier process than the latest, or one
// that a later one of the same process has overtaken, is ignored.
func (ser *Server) Announced(ann announcement.Announcement) bool {
	another := ann.Started.After(ser.latest.Started) || ann.ID != ser.latest.ID
	if ann.Started.Before(ser.latest.Started) || ser.isFormer(ann) ||
		!another && ann.Sequence != 0 && ann.Sequence <= ser.latest.Sequence {
		return false
	}
	if ann.ID != ser.latest.ID && ser.latest.ID != "" {
		ser.former = append(ser.former, ser.latest.ID)
		ser.former = ser.former[max(len(ser.former)-formerKept, 0):]
	}
	restarted := ser.state != Absent && another
	ser.latest = ann
	ser.announced = time.Now()
	if restarted {
		ser.fire("restarted")
	}
	if ser.hasLeft(ann) {
		ser.fire(Draining)
		return true
	}
	ser.fire(ann.State)
	return true
}

// hasLeft reports whether an announcement comes from a process that has taken itself off, and not from a later one of
// the same ID.
func (ser *Server) hasLeft(ann announcement.Announcement) bool {
	at, left := ser.left[ann.ID]
	return left && !ann.Started.After(at)
}

// isFormer reports whether an announcement comes from a process that another one has followed.
func (ser *Server) isFormer(ann announcement.Announcement) bool {
	return slices.Contains(ser.former, ann.ID) && !ann.Started.After(ser.latest.Started)
}

// Leaving says that the process with an ID takes no more work, whatever it announces later. The process need not be
// known yet, as after a start of this node; Leaving reports whether it is the present one.
func (ser *Server) Leaving(id string) bool {
	if len(ser.left) >= formerKept {
		clear(ser.left)
	}
	if id != ser.latest.ID {
		ser.left[id] = time.Now()
		return false
	}
	ser.left[id] = ser.latest.Started
	ser.announced = time.Now()
	ser.fire(Draining)
	return true
}

// Broken says that connections to the backend server are refused.
func (ser *Server) Broken() { ser.fire("broken") }

// Tick notices silence.
func (ser *Server) Tick() {
	if time.Since(ser.announced) > SilenceLimit {
		ser.fire("silent")
	}
}

func (ser *Server) fire(event string) {
	before := ser.state
	ser.state = chart.Fire(ser, ser.state, event)
	if ser.state != before || event == "restarted" {
		ser.Changed(ser.state, ser.latest)
	}
}
