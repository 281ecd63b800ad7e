package node

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"flamingoreach/core/announcement"
	"flamingoreach/core/call"
	"flamingoreach/core/gate"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/mechanism"
	"flamingoreach/core/membership/change"
	"flamingoreach/io/dispatcher"
)

// The bounds for finding out whether the backend server's process still listens.
const (
	crashProbeTime    = 100 * time.Millisecond
	crashProbeSilence = 20 * time.Millisecond
	crashProbes       = 3
)

// joinServer connects the local backend server's state with the gate and this node's own entry.
func (nod *Node) joinServer() {
	nod.server.Open = func(ann announcement.Announcement) {
		address := ann.Address
		nod.backend.Store(&address)
		nod.gate.Configure(nod.gatePolicy(ann.Slots))
		nod.deeper.SetSlots(ann.Slots)
		nod.gate.SetState(gate.Warming)
		nod.gate.SetState(gate.Serving)
	}
	nod.server.Drain = func() { nod.gate.SetState(gate.Draining) }
	nod.server.Crash = nod.gate.Crashed
	nod.server.OnChange = func(state string, ann announcement.Announcement) {
		nod.logs.Gate.Info("backend server", "state", state, "address", ann.Address, "slots", ann.Slots)
		nod.members.LocalServerChanged(change.Change{Event: changes[state], Service: ann.Service, Slots: ann.Slots})
	}
	nod.server.RecordEffects()
	nod.control.AddTicker(nod.server.Tick)
}

// The mechanisms of the gate that the configuration can switch off.
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

// announced hands an announcement of the backend server to the control thread.
func (nod *Node) announced(ann announcement.Announcement) {
	nod.control.Offer(dispatcher.Event("localServer.announced", ann, func() { nod.server.Announced(ann) }))
}

// checkCrash finds out at once whether a broken connection means that the process ended, while its other
// calls are still known to the gate as running.
func (nod *Node) checkCrash(call.Call) {
	address := nod.backend.Load()
	if address == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTime)
	defer cancel()
	if !listens(ctx, *address) {
		nod.crashed()
	}
}

func (nod *Node) crashed() {
	nod.gate.Crashed()
	nod.control.Offer(dispatcher.Event("localServer.broken", nil, func() {
		nod.server.ConnectionRefused()
		nod.crashes.Send()
	}))
}

// listens reports whether a process accepts connections at the address. One that ends may close its connections
// before its listener, so a probe that is cut off at once proves nothing and is repeated.
func listens(ctx context.Context, address netip.AddrPort) bool {
	for range crashProbes {
		con, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
		if err != nil {
			return false
		}
		kept := staysOpen(con)
		_ = con.Close()
		if kept {
			return true
		}
	}
	return true
}

// staysOpen reports whether the other side neither ends nor resets a connection for a while.
func staysOpen(con net.Conn) bool {
	_ = con.SetReadDeadline(time.Now().Add(crashProbeSilence))
	_, err := con.Read(make([]byte, 1))
	var timeout net.Error
	return err == nil || errors.As(err, &timeout) && timeout.Timeout()
}
