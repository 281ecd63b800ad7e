package localservertrace

import (
	"flamingoreach/core/announcement"
	"flamingoreach/core/localserver"
	"flamingoreach/core/replay"
	"flamingoreach/core/trace"
	"flamingoreach/core/trace/scope"
)

const (
	module    = "localServer"
	created   = "localServer.new"
	announced = "localServer.announced"
	broken    = "localServer.broken"
	opened    = "localServer.open"
	drained   = "localServer.drain"
	crashed   = "localServer.crash"
	changed   = "localServer.changed"
)

// Server is a localserver.Server whose inputs and effects are recorded.
type Server struct {
	*localserver.Server

	scope scope.Scope
}

// state is the recorded effect of a change of state.
type state struct {
	State   string `json:"state"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
}

// New returns a server that has not announced itself.
func New(rec *trace.Recorder) *Server {
	rec.Input(created, nil)
	return &Server{Server: localserver.New(), scope: scope.Scope{Recorder: rec}}
}

// RecordEffects wraps the function fields so that their calls are recorded. The fields must be set before; without a
// recorder nothing changes.
func (ser *Server) RecordEffects() {
	rec := ser.scope.Recorder
	if !rec.Enabled() {
		return
	}
	open, drain, crash, change := ser.Open, ser.Drain, ser.Crash, ser.OnChange
	ser.Open = func(ann announcement.Announcement) {
		rec.Effect(opened, ann)
		open(ann)
	}
	ser.Drain = func() {
		rec.Effect(drained, nil)
		drain()
	}
	ser.Crash = func() {
		rec.Effect(crashed, nil)
		crash()
	}
	ser.OnChange = func(now string, ann announcement.Announcement) {
		rec.Effect(changed, state{State: now, Address: ann.Address.String(), Slots: ann.Slots})
		change(now, ann)
	}
}

// Announced records and handles an announcement.
func (ser *Server) Announced(ann announcement.Announcement) {
	ser.scope.Input(announced, ann, func() { ser.Server.Announced(ann) })
}

// ConnectionRefused records and handles that the backend server refuses connections.
func (ser *Server) ConnectionRefused() { ser.scope.Input(broken, nil, ser.Server.ConnectionRefused) }

// Tick records the tick and checks the age of the last announcement.
func (ser *Server) Tick() { ser.scope.Tick(module, ser.Server.Tick) }

// Register registers the inputs, ticks and effects of the module localserver with a player, which replays a recorded
// trace and compares the effects of the module with the recorded ones.
func Register(pla *replay.Player) {
	rec := pla.Recorder()
	var ser *Server
	replay.HandleInput(pla, created, func(struct{}) {
		ser = New(rec)
		ser.Open = func(announcement.Announcement) {}
		ser.Drain, ser.Crash = func() {}, func() {}
		ser.OnChange = func(string, announcement.Announcement) {}
		ser.RecordEffects()
	})
	replay.HandleInput(pla, announced, func(ann announcement.Announcement) { ser.Announced(ann) })
	replay.HandleInput(pla, broken, func(struct{}) { ser.ConnectionRefused() })
	pla.HandleTick(module, func() { ser.Tick() })
	pla.CompareEffects(opened, drained, crashed, changed)
}
