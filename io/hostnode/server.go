package hostnode

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/core/announcement"
	"flamingoreach/core/death"
	"flamingoreach/core/gate"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/localserver"
	"flamingoreach/core/membership/change"
	"flamingoreach/io/dispatcher"
)

const (
	// slotsFraction is the fraction of the backend server's slots that the gate uses: some servers slow down when
	// almost all slots are in use, and a new connection takes a slot for a moment.
	slotsFraction = 0.94
	// queueLengthFactor is the number of calls per slot that may wait in the gate's queue.
	queueLengthFactor = 2
	// longestQueueWait bounds the wait of calls whose route sets no target latency.
	longestQueueWait = time.Second
	// quarantineTime spans several retries by a caller whose request crashes backend servers.
	quarantineTime = time.Minute
	// maxDeeperReserve leaves at least half of the slots to new calls, because slots for the reserve become free only
	// when new calls end.
	maxDeeperReserve = 0.5
	// maxDedupeBytes bounds the answers that are kept for duplicate deliveries. What matters is the ID of each call,
	// not its answer.
	maxDedupeBytes = 256 << 10
	// dedupeDivisor divides the memory of the process to get the bound of all remembered calls together, which take about
	// dedupeCallBytes each.
	dedupeDivisor   = 16
	dedupeCallBytes = 768
	// sweepInterval is the time between two searches for connections that were idle too long.
	sweepInterval = time.Second
)

// entryChanges maps a state of the backend server to the event that changes this node's own membership entry.
var entryChanges = map[string]string{
	localserver.Serving:  change.Serve,
	localserver.Draining: change.Drain,
	localserver.Absent:   change.Eject,
}

func gatePolicy(slots int, memoryBytes int64) gatepolicy.Policy {
	usable := max(int(float64(slots)*slotsFraction), 1)
	return gatepolicy.Policy{
		Slots: usable, QueueLength: queueLengthFactor * usable, QueueWait: longestQueueWait,
		QuarantineTime: quarantineTime, MaxDeeperReserve: maxDeeperReserve, RetrySuspects: true, MaxDedupeBytes: maxDedupeBytes,
		MaxDedupeCalls: min(int(memoryBytes/dedupeDivisor/dedupeCallBytes), gatepolicy.DefaultMaxDedupeCalls),
		// The gate need not estimate the capacity: the backend server announces its slots, and the duration of calls
		// that wait for deeper calls says nothing about its own speed.
		Off: gatepolicy.AdaptiveLimit | gatepolicy.QueueDelay | gatepolicy.AdmissionLevel,
	}
}

// setUpServer connects the state of the local backend server with the gate and with this node's own membership entry.
func (nod *Node) setUpServer() {
	nod.localServer.Open = func(ann announcement.Announcement) {
		nod.departures.latest = nil
		nod.backend.Store(&ann)
		nod.gate.Configure(gatePolicy(ann.Slots, nod.settings.MemoryBytes))
		nod.gate.SetState(gate.Warming)
		nod.gate.SetState(gate.Serving)
	}
	nod.localServer.Drain = func() { nod.gate.SetState(gate.Draining) }
	nod.localServer.Crash = func() {
		nod.gate.Crashed()
		nod.crashLink.Send()
		nod.platform.CloseIdle()
	}
	nod.localServer.OnAccepted = func(ann announcement.Announcement) {
		nod.pacer.Announced(ann)
		nod.updateColdState()
	}
	nod.localServer.OnAlive = nod.gate.ConfirmAlive
	nod.gate.OnDeath = func(dea death.Death) {
		nod.log.Warn("backend server died", dea.Fields()...)
	}
	nod.localServer.OnChange = func(state string, ann announcement.Announcement) {
		nod.log.Info("backend server", "state", state, "id", ann.ID, "address", ann.Address, "slots", ann.Slots,
			"sequence", ann.Sequence, "started", ann.Started)
		if event, changes := entryChanges[state]; changes {
			nod.members.LocalServerChanged(change.Change{Event: event, Service: nod.settings.Service, Slots: ann.Slots})
		}
	}
	nod.control.AddTicker(nod.localServer.Tick)
	nod.control.AddTicker(nod.updateColdState)
	lastSweep := time.Now()
	nod.control.AddTicker(func() {
		if time.Since(lastSweep) >= sweepInterval {
			lastSweep = time.Now()
			nod.platform.Sweep()
			nod.peerClient.Sweep()
		}
	})
}

// ReceiveAnnouncement applies an announcement of the backend server and returns once it is in force; it fails with
// the context's error, or if the announcement must be repeated. The backend server gets the error's text in a 503. An
// announcement that the backend server drains is in force once the gate is closed and other nodes or the store know.
func (nod *Node) ReceiveAnnouncement(ctx context.Context, ann announcement.Announcement) error {
	var checked, departed <-chan struct{}
	err := nod.control.Do(ctx, "localServer.announced", func() {
		if !nod.localServer.Announced(ann) {
			nod.log.Info("announcement ignored", "id", ann.ID, "sequence", ann.Sequence, "started", ann.Started)
		}
		switch {
		case nod.localServer.State() == localserver.Doubted:
			checked = nod.departures.checkEnded
		case ann.State == localserver.Draining && nod.localServer.State() != localserver.Serving:
			departed = nod.beginDeparture(ann.ID, ann.Started, false)
		}
	})
	if err == nil && checked != nil {
		err = nod.awaitCheck(ctx, ann, checked)
	}
	if err == nil {
		err = awaitDeparture(ctx, departed)
	}
	return eris.Wrap(err, "take announcement")
}

// DeregisterBackendServer handles the deregistration of the backend server's process with the ID and start time, which may
// be zero, and returns once its gate is closed and other nodes or the store know; it fails with the context's error. The
// backend server gets the error's text in a 503.
func (nod *Node) DeregisterBackendServer(ctx context.Context, id string, started time.Time) error {
	var departed <-chan struct{}
	err := nod.control.Do(ctx, "localServer.left", func() {
		nod.log.Info("backend server leaves", "id", id, "started", started, "present", nod.localServer.ProcessLeaving(id, started))
		departed = nod.beginDeparture(id, started, true)
	})
	if err == nil {
		err = awaitDeparture(ctx, departed)
	}
	return eris.Wrap(err, "take the backend server off")
}

// LogInvalidHeartbeat logs a heartbeat of the backend server that cannot be used.
func (nod *Node) LogInvalidHeartbeat(id string, err error) {
	nod.gateLog.Write("heartbeat not used", "id", id, "error", err)
}

// HandleRefusedConnection handles a refused connection to the process of an announcement: it has died. If another process
// has announced itself since, nothing changes.
func (nod *Node) HandleRefusedConnection(ann announcement.Announcement) {
	if latest := nod.backend.Load(); latest == nil || !latest.SameProcess(ann) {
		return
	}
	nod.pacer.AssumeCold()
	nod.gate.Crashed()
	nod.control.Offer(dispatcher.Event("localServer.broken", nil, func() {
		if nod.localServer.Latest().SameProcess(ann) {
			nod.localServer.ConnectionRefused()
			nod.crashLink.Send()
		}
	}))
}
