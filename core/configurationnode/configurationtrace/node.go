package configurationtrace

import (
	"errors"

	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationnode"
	"flamingoreach/core/directory"
	"flamingoreach/core/fence"
	"flamingoreach/core/heartbeat"
	"flamingoreach/core/heartbeatreply"
	"flamingoreach/core/lifecycle"
	"flamingoreach/core/reason"
	"flamingoreach/core/replay"
	"flamingoreach/core/trace"
	"flamingoreach/core/trace/scope"
	"flamingoreach/core/versionid"
	"flamingoreach/core/versionview"
)

// The names of the module, of its inputs and of its effects in a trace.
const (
	module  = "configuration"
	created = "configuration.new"
	replied = "configuration.heartbeatReply"
	learned = "configuration.learned"
	aborted = "configuration.aborted"
	fetched = "configuration.fetched"

	sent      = "configuration.sendHeartbeat"
	fetch     = "configuration.fetch"
	published = "configuration.publish"
	fenced    = "configuration.fence"
)

// Node is a configuration node whose inputs and effects are recorded, including those of its view.
type Node struct {
	*configurationnode.Node

	view  *versionview.View
	fence *fence.Fence
	scope scope.Scope
	// handlingReply is set while a heartbeat's reply is handled. The reply itself is recorded, so what the view learns
	// from it is not recorded again.
	handlingReply bool
	refusal       reason.Reason
}

type versions struct {
	Current  versionid.VersionID `json:"current"`
	Prepared versionid.VersionID `json:"prepared"`
}

type body struct {
	ID    versionid.VersionID         `json:"id"`
	Body  configuration.Configuration `json:"body"`
	Error string                      `json:"error,omitempty"`
}

// enforced describes what is in force by the numbers of the versions and the IDs of the valid keys.
type enforced struct {
	Version  uint64              `json:"version"`
	Prepared uint64              `json:"prepared"`
	KeyIDs   map[string][]string `json:"keyIds"`
}

type fenceState struct {
	Refuses string `json:"refuses"`
}

// New returns a recorded node for the given view, fence and lifecycle. It sets the view's function OnChange and, if the
// recorder is enabled, OnLearn and OnAbort.
func New(id string, vie *versionview.View, fen *fence.Fence, lcy *lifecycle.Lifecycle, rec *trace.Recorder) *Node {
	rec.Input(created, id)
	nod := &Node{Node: configurationnode.New(id, vie, fen, lcy), view: vie, fence: fen, scope: scope.Scope{Recorder: rec}}
	if rec.Enabled() {
		vie.OnLearn = func(current, prepared versionid.VersionID) {
			nod.recordViewInput(learned, versions{Current: current, Prepared: prepared})
		}
		vie.OnAbort = func(vid versionid.VersionID) { nod.recordViewInput(aborted, vid) }
	}
	return nod
}

// recordViewInput records an input of the view that comes from another module.
func (nod *Node) recordViewInput(name string, data any) {
	if !nod.handlingReply {
		nod.scope.Input(name, data, func() {})
	}
}

// RecordEffects wraps the function fields, which must be set before the call; without a recorder it does nothing.
func (nod *Node) RecordEffects() {
	rec := nod.scope.Recorder
	if !rec.Enabled() {
		return
	}
	send, startFetch, publish := nod.SendHeartbeat, nod.view.Fetch, nod.view.Publish
	nod.SendHeartbeat = func(hea heartbeat.Heartbeat) {
		rec.Effect(sent, hea)
		// A leader in the same process may change the view before send returns; such an input is recorded, because it is
		// not part of the reply being handled.
		replying := nod.handlingReply
		nod.handlingReply = false
		send(hea)
		nod.handlingReply = replying
	}
	nod.view.Fetch = func(vid versionid.VersionID) {
		rec.Effect(fetch, vid)
		startFetch(vid)
	}
	nod.view.Publish = func(dir *directory.Directory) {
		rec.Effect(published, describe(dir))
		publish(dir)
	}
}

func describe(dir *directory.Directory) enforced {
	enf := enforced{Version: dir.Version(), Prepared: dir.Prepared(), KeyIDs: map[string][]string{}}
	for _, acc := range dir.Accounts() {
		enf.KeyIDs[acc.Name] = []string{}
		for _, has := range acc.Keys {
			enf.KeyIDs[acc.Name] = append(enf.KeyIDs[acc.Name], has.ID())
		}
	}
	return enf
}

// Tick sends heartbeats when they are due, fires the events of the lifecycle and records changes of the fence.
func (nod *Node) Tick() {
	nod.scope.Tick(module, func() {
		nod.Node.Tick()
		if now := nod.fence.Check(); now != nod.refusal {
			nod.refusal = now
			nod.scope.Recorder.Effect(fenced, fenceState{Refuses: string(now)})
		}
	})
}

// HandleReply records and handles a reply; replies may arrive in any order.
func (nod *Node) HandleReply(rep heartbeatreply.HeartbeatReply) {
	nod.scope.Input(replied, rep, func() {
		nod.handlingReply = true
		nod.Node.HandleReply(rep)
		nod.handlingReply = false
	})
}

// Fetched records the result of one of the view's fetches and passes it to the view.
func (nod *Node) Fetched(vid versionid.VersionID, cfg configuration.Configuration, err error) {
	bod := body{ID: vid, Body: cfg}
	if err != nil {
		bod.Error = err.Error()
	}
	nod.scope.Input(fetched, bod, func() { nod.view.Fetched(vid, cfg, err) })
}

// Register registers the inputs, ticks and effects of the module configurationnode with a player, which replays a
// recorded trace and compares the effects of the module with the recorded ones.
func Register(pla *replay.Player) {
	rec := pla.Recorder()
	var nod *Node
	replay.HandleInput(pla, created, func(id string) {
		vie := versionview.New()
		vie.Fetch = func(versionid.VersionID) {}
		vie.Publish = func(*directory.Directory) {}
		nod = New(id, vie, fence.New(), lifecycle.New(), rec)
		vie.OnLearn, vie.OnAbort = nil, nil
		nod.SendHeartbeat = func(heartbeat.Heartbeat) {}
		nod.RecordEffects()
	})
	replay.HandleInput(pla, replied, func(rep heartbeatreply.HeartbeatReply) { nod.HandleReply(rep) })
	replay.HandleInput(pla, learned, func(ver versions) { nod.view.Learn(ver.Current, ver.Prepared) })
	replay.HandleInput(pla, aborted, func(vid versionid.VersionID) { nod.view.LearnAborted(vid) })
	replay.HandleInput(pla, fetched, func(bod body) {
		var err error
		if bod.Error != "" {
			err = errors.New(bod.Error)
		}
		nod.Fetched(bod.ID, bod.Body, err)
	})
	pla.HandleTick(module, func() { nod.Tick() })
	pla.CompareEffects(sent, fetch, published, fenced)
}
