package node

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"flamingoreach/core/announcement"
	"flamingoreach/core/call"
	"flamingoreach/core/death"
	"flamingoreach/core/gate"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/mechanism"
	"flamingoreach/core/membership/change"
	"flamingoreach/io/dispatcher"
)

// Limits of the probe that tests whether the backend server's process still accepts connections.
const (
	// crashProbeTimeout bounds all connections of one probe together.
	crashProbeTimeout = 100 * time.Millisecond
	// crashProbeSilence is the time for which a connection must stay open to show that the process is running.
	crashProbeSilence = 20 * time.Millisecond
	crashProbes       = 3
)

// setUpServer connects the state of the local backend server with the gate and with this node's entry in the
// membership list.
func (nod *Node) setUpServer() {
	nod.localServer.Open = func(ann announcement.Announcement) {
		address := ann.Address
		nod.backendServerAddress.Store(&address)
		nod.gate.Configure(nod.gatePolicy(ann.Slots))
		nod.deeperLimit.SetSlots(ann.Slots)
		nod.gate.SetState(gate.Warming)
		nod.gate.SetState(gate.Serving)
	}
	nod.localServer.Drain = func() { nod.gate.SetState(gate.Draining) }
	nod.localServer.Crash = nod.gate.Crashed
	nod.localServer.OnAlive = nod.gate.ConfirmAlive
	nod.gate.OnDeath = func(dea death.Death) {
		nod.log.Warn("backend server died", dea.Fields()...)
	}
	nod.localServer.OnChange = func(state string, ann announcement.Announcement) {
		nod.logs.Gate.Info("backend server", "state", state, "address", ann.Address, "slots", ann.Slots)
		nod.members.LocalServerChanged(change.Change{Event: entryChanges[state], Service: ann.Service, Slots: ann.Slots})
	}
	nod.localServer.RecordEffects()
	nod.control.AddTicker(nod.localServer.Tick)
}

// gateMechanisms maps the mechanisms that a configuration can disable to those of the gate's policy.
var gateMechanisms = map[mechanism.Mechanism]gatepolicy.Mechanism{
	mechanism.AdaptiveLimit:  gatepolicy.AdaptiveLimit,
	mechanism.FairQueue:      gatepolicy.FairQueue,
	mechanism.QueueDelay:     gatepolicy.QueueDelay,
	mechanism.AdmissionLevel: gatepolicy.AdmissionLevel,
	mechanism.Quarantine:     gatepolicy.Quarantine,
}

func (nod *Node) gatePolicy(slots int) gatepolicy.Policy {
	pol := gatepolicy.Policy{Slots: slots}
	cfg := nod.view.Load().Configuration
	if cfg == nil {
		return pol
	}
	pol.QueueLength = cfg.QueueLength
	pol.QueueWait = cfg.QueueWait
	pol.QuarantineTime = cfg.QuarantineTime
	for mec, bit := range gateMechanisms {
		if !cfg.Uses(mec) {
			pol.Off |= bit
		}
	}
	pol.Weights = map[string]float64{}
	for _, acc := range cfg.Accounts {
		pol.Weights[acc.Name] = acc.Weight
	}
	return pol
}

// receiveAnnouncement passes an announcement of the backend server to the control thread.
func (nod *Node) receiveAnnouncement(ann announcement.Announcement) {
	nod.control.Offer(dispatcher.Event("localServer.announced", ann, func() { nod.localServer.Announced(ann) }))
}

// checkCrash probes the backend server after a connection to it broke, and reports a crash if the process no longer
// accepts connections. It does so at once, while the gate still counts the other calls of the process as running: these
// are the calls that may have caused the crash.
func (nod *Node) checkCrash(call.Call) {
	address := nod.backendServerAddress.Load()
	if address == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	if !acceptsConnections(ctx, *address) {
		nod.handleCrash()
	}
}

func (nod *Node) handleCrash() {
	nod.gate.Crashed()
	nod.control.Offer(dispatcher.Event("localServer.broken", nil, func() {
		nod.localServer.ConnectionRefused()
		nod.crashLink.Send()
	}))
}

// acceptsConnections reports whether a process accepts connections at the address. A process that ends may close its
// connections before its listener, so a connection that is closed at once is not conclusive and the probe is repeated.
// After crashProbes inconclusive ones, the process counts as running.
func acceptsConnections(ctx context.Context, address netip.AddrPort) bool {
	for range crashProbes {
		con, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
		if err != nil {
			return false
		}
		open := staysOpen(con)
		_ = con.Close()
		if open {
			return true
		}
	}
	return true
}

// staysOpen reports whether the other side neither closes nor resets a connection within crashProbeSilence.
func staysOpen(con net.Conn) bool {
	_ = con.SetReadDeadline(time.Now().Add(crashProbeSilence))
	_, err := con.Read(make([]byte, 1))
	var timeout net.Error
	return err == nil || errors.As(err, &timeout) && timeout.Timeout()
}
