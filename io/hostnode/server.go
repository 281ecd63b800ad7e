package hostnode

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/core/announcement"
	"flamingoreach/core/gate"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/localserver"
	"flamingoreach/core/membership/change"
	"flamingoreach/io/work"
)

const (
	// slotsPart is the part of the backend server's slots that the gate fills: some servers slow down when nearly full,
	// and a new connection holds a slot for a moment.
	slotsPart = 0.94
	// queueLengthFactor is the number of calls that may wait for each slot.
	queueLengthFactor = 2
	// longestQueueWait bounds the wait of calls whose route sets no target latency.
	longestQueueWait = time.Second
	// quarantineTime spans several returns of a caller whose request crashes backend servers.
	quarantineTime = time.Minute
	// keptForDeeper leaves at least half of the slots to new work, whose end is what frees kept slots.
	keptForDeeper = 0.5
	// keptAnswerBytes bounds the answers kept for repeated deliveries: the ID of each call is what matters.
	keptAnswerBytes = 256 << 10
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = time.Second
)

// The change of the own entry for each state of the backend server.
var changes = map[string]string{
	localserver.Serving:  change.Serve,
	localserver.Draining: change.Drain,
	localserver.Absent:   change.Eject,
}

func gatePolicy(slots int) gatepolicy.Policy {
	usable := max(int(float64(slots)*slotsPart), 1)
	return gatepolicy.Policy{
		Slots: usable, QueueLength: queueLengthFactor * usable, QueueWait: longestQueueWait,
		QuarantineTime: quarantineTime, MaxDeeperReserve: keptForDeeper, RetrySuspects: true, MaxDedupeBytes: keptAnswerBytes,
		// The backend server tells its slots, and calls that wait for deeper ones say nothing about its own speed.
		Off: gatepolicy.AdaptiveLimit | gatepolicy.QueueDelay | gatepolicy.AdmissionLevel,
	}
}

// joinServer connects the local backend server's state with the gate and this node's own entry.
func (nod *Node) joinServer() {
	nod.server.Open = func(ann announcement.Announcement) {
		nod.backend.Store(&ann)
		nod.gate.Configure(gatePolicy(ann.Slots))
		nod.gate.SetState(gate.Warming)
		nod.gate.SetState(gate.Serving)
	}
	nod.server.Drain = func() { nod.gate.SetState(gate.Draining) }
	nod.server.Crash = func() {
		nod.gate.Crashed()
		nod.platform.Drop()
	}
	nod.server.OnChange = func(state string, ann announcement.Announcement) {
		nod.log.Info("backend server", "state", state, "id", ann.ID, "address", ann.Address, "slots", ann.Slots,
			"sequence", ann.Sequence, "started", ann.Started)
		nod.members.LocalServerChanged(change.Change{Event: changes[state], Service: nod.settings.Service, Slots: ann.Slots})
	}
	nod.control.AddTicker(nod.server.Tick)
	swept := time.Now()
	nod.control.AddTicker(func() {
		if time.Since(swept) >= sweepInterval {
			swept = time.Now()
			nod.platform.Sweep()
			nod.peerClient.Sweep()
		}
	})
}

// Announced takes what the backend server says of itself, and returns once that is in force; it fails with the
// context's error.
func (nod *Node) Announced(ctx context.Context, ann announcement.Announcement) error {
	err := nod.control.Do(ctx, "localServer.announced", func() {
		if !nod.server.Announced(ann) {
			nod.log.Info("announcement ignored", "id", ann.ID, "sequence", ann.Sequence, "started", ann.Started)
		}
	})
	return eris.Wrap(err, "take announcement")
}

// Left takes the backend server's word that it goes, and returns once its gate is closed; it fails with the context's
// error.
func (nod *Node) Left(ctx context.Context, id string) error {
	err := nod.control.Do(ctx, "localServer.left", func() {
		nod.log.Info("backend server leaves", "id", id, "present", nod.server.ProcessLeaving(id))
	})
	return eris.Wrap(err, "take the backend server off")
}

// Unreadable logs a heartbeat that cannot be used.
func (nod *Node) Unreadable(id string, err error) {
	nod.atGate.Write("heartbeat not used", "id", id, "error", err)
}

// Broke says that a connection to the backend server broke; where its process does not listen, it has crashed.
func (nod *Node) Broke(refused bool) {
	if !refused {
		return
	}
	nod.gate.Crashed()
	nod.control.Offer(work.Event("localServer.broken", nil, func() {
		nod.server.ConnectionRefused()
		nod.crashes.Send()
	}))
}
