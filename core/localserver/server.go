package localserver

import (
	"slices"
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/announcement"
	"flamingoreach/core/departure"
	"flamingoreach/core/departurecheck/verdict"
	"flamingoreach/core/machine"
)

// SilenceLimit is the time without an announcement after which a backend server is taken to have ended.
const SilenceLimit = 5 * time.Second

// CheckLimit is longer than a check takes. One that has not ended by then is taken to be lost.
const CheckLimit = 5 * time.Second

// formerLimit bounds the IDs of earlier processes that are kept.
const formerLimit = 16

// The states of the chart localServer.
const (
	Absent   = "absent"
	Doubted  = "doubted"
	Serving  = "serving"
	Draining = "draining"
)

// Server tracks the node's own backend server. It is control state: its methods are called on the control thread only.
type Server struct {
	// Open, Drain and Crash make the gate admit calls, admit no new calls, or handle the end of the process.
	Open  func(ann announcement.Announcement)
	Drain func()
	Crash func()
	// OnAlive, if set, is called when another announcement of the same process shows that it runs.
	OnAlive func()
	// OnAccepted is called with each announcement that is used, before the gate is opened or closed by it.
	OnAccepted func(ann announcement.Announcement)
	// OnChange is called with each new state and the latest announcement.
	OnChange func(state string, ann announcement.Announcement)
	// Check, if set, starts to find out whether the process of an announcement has left; Checked gets the result. It is called
	// for a process that may be older than this node, which may have acknowledged the departure before it was restarted.
	Check func(ann announcement.Announcement)
	// NodeStarted is when this node started, by the clock of the host.
	NodeStarted time.Time

	// opened is the announcement of the process for which the gate was opened last.
	opened announcement.Announcement
	// checkBegan is when the check that is under way began; it is zero if there is none.
	checkBegan    time.Time
	state         string
	latest        announcement.Announcement
	lastAnnounced time.Time
	// leftAt maps the ID of each process that has left to its start time, or to the time at which it left if this node had
	// not received its start time. An announcement with a later start time comes from a new process of the same ID.
	leftAt map[string]time.Time
	// formerIDs holds the IDs of earlier processes, whose announcements may still arrive.
	formerIDs []string
}

var chart = machine.MustNew(charts.MustLoad("localServer"),
	[]string{"serving", "draining", "restarted", "silent", "broken", "cleared", "left", "unclear"},
	map[string]func(*Server) bool{
		"mayBeLate":  (*Server).mayBeLate,
		"checkEnded": func(ser *Server) bool { return time.Since(ser.checkBegan) > CheckLimit },
	},
	map[string]func(*Server){
		"check": func(ser *Server) {
			ser.checkBegan = time.Now()
			ser.Check(ser.latest)
		},
		"open": func(ser *Server) {
			ser.opened = ser.latest
			ser.Open(ser.latest)
		},
		"drain": func(ser *Server) { ser.Drain() },
		"crash": func(ser *Server) { ser.Crash() },
	})

// New returns a server that has not announced itself.
func New() *Server {
	return &Server{state: chart.Initial(), leftAt: map[string]time.Time{}, OnAccepted: func(announcement.Announcement) {}}
}

// State returns the state of the chart localServer.
func (ser *Server) State() string { return ser.state }

// Latest returns the latest announcement.
func (ser *Server) Latest() announcement.Announcement { return ser.latest }

// Announced handles an announcement and reports whether it was used. It ignores announcements of an earlier process
// than the latest one, and those that arrive after a later announcement of the same process.
func (ser *Server) Announced(ann announcement.Announcement) bool {
	another := ann.Started.After(ser.latest.Started) || ann.ID != ser.latest.ID
	if ann.Started.Before(ser.latest.Started) || ser.isFromFormerProcess(ann) ||
		!another && (ann.Numbered || ann.Sequence != 0) && ann.Sequence <= ser.latest.Sequence {
		return false
	}
	if ann.ID != ser.latest.ID && ser.latest.ID != "" {
		ser.formerIDs = append(ser.formerIDs, ser.latest.ID)
		ser.formerIDs = ser.formerIDs[max(len(ser.formerIDs)-formerLimit, 0):]
	}
	restarted := ser.state != Absent && another
	ser.latest = ann
	ser.lastAnnounced = time.Now()
	ser.OnAccepted(ann)
	switch {
	case restarted:
		ser.fire("restarted")
	case !another && ser.OnAlive != nil:
		ser.OnAlive()
	}
	if ser.hasLeft(ann) {
		ser.fire(Draining)
		return true
	}
	ser.fire(ann.State)
	return true
}

// mayBeLate reports whether the latest announcement may come from a process whose departure this node acknowledged before it
// was restarted. A process that this node has used is known to it, and one that started after this node has not left yet. A
// process without a start time is taken to be new if this node has used another one.
func (ser *Server) mayBeLate() bool {
	switch {
	case ser.Check == nil, ser.opened.ID != "" && ser.latest.SameProcess(ser.opened):
		return false
	case ser.latest.Started.IsZero():
		return ser.opened.ID == ""
	}
	return !ser.latest.Started.After(ser.NodeStarted)
}

// Checked handles the result of a check of the process of an announcement. If it has left, later announcements that its
// departure covers are ignored. If that is not known, the next announcement starts another check.
func (ser *Server) Checked(ann announcement.Announcement, ver verdict.Verdict) {
	if ser.state != Doubted || !ser.latest.SameProcess(ann) {
		return
	}
	ser.checkBegan = time.Time{}
	switch {
	case !ver.Decided:
		ser.fire("unclear")
	case !ver.Found || !ver.Departure.Covers(ser.latest):
		ser.fire("cleared")
	default:
		if ver.Departure.Deregistered || ver.Departure.ServerID != ser.latest.ID {
			ser.recordLeft(ser.latest.ID, ser.latest.Started)
		}
		ser.latest.Sequence = max(ser.latest.Sequence, ver.Departure.Sequence)
		ser.fire("left")
	}
}

// DepartureOf returns the departure of the process with the ID and start time, which is zero if it is not known, for other
// nodes to keep; its field Host is not set. It returns false if a later process is known, as the earlier one has ended then.
func (ser *Server) DepartureOf(id string, started time.Time) (departure.Departure, bool) {
	dep := departure.Departure{ServerID: id, Started: started, At: time.Now()}
	if !started.IsZero() && started.Before(ser.latest.Started) {
		return dep, false
	}
	if id == ser.latest.ID {
		dep.Sequence = ser.latest.Sequence
		if started.IsZero() {
			dep.Started = ser.latest.Started
		}
	}
	return dep, true
}

// hasLeft reports whether an announcement comes from a process that has left, and not from a later process of the same
// ID.
func (ser *Server) hasLeft(ann announcement.Announcement) bool {
	at, left := ser.leftAt[ann.ID]
	return left && !ann.Started.After(at)
}

// isFromFormerProcess reports whether an announcement comes from a process that has been replaced by another one.
func (ser *Server) isFromFormerProcess(ann announcement.Announcement) bool {
	return slices.Contains(ser.formerIDs, ann.ID) && !ann.Started.After(ser.latest.Started)
}

// ProcessLeaving records that the process with the ID and start time takes no more work, whatever it announces later, and
// reports whether it is the process of the latest announcement. The start time is zero if it is not known. It may be a
// process that has not announced itself yet, as after a restart of this node, or one that a later process of the same ID
// has replaced.
func (ser *Server) ProcessLeaving(id string, started time.Time) bool {
	if id == ser.latest.ID && !started.IsZero() && started.Before(ser.latest.Started) {
		return false
	}
	if id != ser.latest.ID {
		if started.IsZero() {
			started = time.Now()
		}
		ser.recordLeft(id, started)
		return false
	}
	// A later process of the ID may leave before this node has heard of it.
	if started.Before(ser.latest.Started) {
		started = ser.latest.Started
	}
	ser.recordLeft(id, started)
	ser.lastAnnounced = time.Now()
	ser.fire(Draining)
	return true
}

func (ser *Server) recordLeft(id string, started time.Time) {
	if len(ser.leftAt) >= formerLimit {
		clear(ser.leftAt)
	}
	ser.leftAt[id] = started
}

// ConnectionRefused handles that the backend server refuses connections, which means that its process has ended.
func (ser *Server) ConnectionRefused() { ser.fire("broken") }

// Tick takes the process to have ended if its last announcement is older than SilenceLimit.
func (ser *Server) Tick() {
	if time.Since(ser.lastAnnounced) > SilenceLimit {
		ser.fire("silent")
	}
}

func (ser *Server) fire(event string) {
	before := ser.state
	ser.state = chart.Fire(ser, ser.state, event)
	if ser.state != before || event == "restarted" {
		ser.OnChange(ser.state, ser.latest)
	}
}
