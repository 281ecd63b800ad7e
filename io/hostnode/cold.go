package hostnode

import (
	"time"

	"flamingoreach/core/backendservice"
	"flamingoreach/core/coldpacer"
)

// configurePace applies what the configuration and the bounds say about cold backend servers of this node's service; it runs
// on the control thread. Without a cold rate, the gate does not ask the pacer.
func (nod *Node) configurePace() {
	cfg, bounds := nod.view.Load().Configuration, nod.bounds.Load()
	var ser backendservice.Service
	if cfg != nil {
		ser = cfg.Service(nod.settings.Service)
	}
	nod.pacer.Configure(ser, bounds.ColdFactor, bounds.ColdSlack)
	nod.applyPace()
	nod.updateColdState()
}

// applyPace connects the gate with the pacer, or separates them if calls are never paced, and lets the gate dispatch the calls
// that the pace no longer holds up.
func (nod *Node) applyPace() {
	if nod.pacer.Paces() {
		nod.gate.SetPace(nod.pacer.Take, nod.pacer.Rate)
		return
	}
	nod.gate.SetPace(nil, nil)
}

// updateColdState logs when the backend server becomes cold or warm, and tells the other nodes, which then send it as few
// calls as it can handle. It runs on the control thread at least each 100 ms.
func (nod *Node) updateColdState() {
	now := time.Now()
	state, source := nod.pacer.State(now)
	rate, cold := nod.pacer.Rate(now)
	if !cold {
		rate = 0
	}
	nod.members.ColdRateChanged(rate)
	if !nod.pacer.Paces() {
		state = coldpacer.Warm
	}
	if state == nod.coldState {
		return
	}
	nod.coldState = state
	nod.log.Info("cold start of backend server", "state", state, "source", source, "rate", rate)
	nod.applyPace()
}

// LogIgnoredField logs a field of a heartbeat that is invalid; the rest of the heartbeat is used.
func (nod *Node) LogIgnoredField(id, field string, err error) {
	nod.gateLog.Write("field of heartbeat ignored", "id", id, "field", field, "error", err)
}
