package hostnode

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"flamingoreach/core/membership/change"
	"flamingoreach/core/stopwindow"
	"flamingoreach/io/decisionlog"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/httplistener"
)

const (
	// leaveNotice is the time in which callers and other nodes learn that this node leaves, before its gate refuses
	// calls.
	leaveNotice = 2200 * time.Millisecond
	// drainParts/stopTimeParts is the fraction of the stop time within which running calls may end.
	drainParts, stopTimeParts = 5, 6
	// closeTimeout is the time from the deadline of the drain until the listeners must be closed, for the answers that
	// are still being written.
	closeTimeout      = 300 * time.Millisecond
	leavePollInterval = 50 * time.Millisecond

	headerBytes = 64 << 10
	// headerTime and idleTime are not shorter than the times that the operators allow callers.
	headerTime = 3 * time.Second
	idleTime   = time.Minute
	// maxConnections bounds the open connections of each listener, as does its part of the process's descriptors. The rest of
	// these is for connections to other nodes, to the backend server and to the store.
	maxConnections   = 2048
	callersNumerator = 10
	peersNumerator   = 12
	othersNumerator  = 1
	partsDenominator = 32
	// evictionLinesPerSecond is the most log lines per second about connections that end for new ones.
	evictionLinesPerSecond = 2
)

// Handlers are the platform's handlers of callers' requests, of the backend server's announcements and of readiness
// checks.
type Handlers struct {
	Callers, Announcements, Ready http.Handler
	// MayRunAhead, if set, reports which callers' requests may run before those before them on their connection are answered.
	MayRunAhead func(req *http.Request) bool
}

type listeners struct {
	callers *httplistener.Listener
	all     []*httplistener.Listener
	closing sync.Once
}

// Run serves until the context ends, then drains and returns nil; it fails if a listener cannot be bound or fails,
// or if the control thread does not announce in time that the node leaves.
func (nod *Node) Run(ctx context.Context, han Handlers) error {
	if err := nod.listen(ctx, han); err != nil {
		return err
	}
	close(nod.ready)
	nod.log.Info("node starts", "id", nod.id, "host", nod.settings.Name, "dataCentre", nod.settings.DataCentre,
		"service", nod.settings.Service, "callers", nod.settings.Callers, "peers", nod.settings.Peers)
	var group run.Group
	dispatcher.AddActor(&group, nod.control.Run)
	for _, lis := range nod.listeners.all {
		group.Add(lis.Serve, func(error) { nod.closeListeners() })
	}
	dispatcher.AddActor(&group, nod.tasks.Run)
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Add(func() error { <-stop.Done(); return nod.drain() }, func(error) { cancel() })
	err := group.Run()
	nod.endRequests()
	nod.platform.CloseIdle()
	nod.peerClient.Close()
	nod.log.Info("node stops", "id", nod.id, "error", err)
	return err
}

func (nod *Node) listen(ctx context.Context, han Handlers) error {
	lines := decisionlog.New(nod.log, evictionLinesPerSecond)
	nod.metrics.Gauge("connections_evicted", func() float64 { return float64(nod.connectionsEvicted.Load()) })
	for _, bind := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		part    int
	}{
		{"callers", nod.settings.Callers, han.Callers, callersNumerator},
		{"announcements", nod.settings.Announcements, han.Announcements, othersNumerator},
		{"ready", nod.settings.Ready, han.Ready, othersNumerator},
		{"peers", nod.settings.Peers, nod.peerServer.Handler(), peersNumerator},
		{"metrics", nod.settings.Metrics, nod.metrics, othersNumerator},
	} {
		limits := httplistener.Bounds{
			HeaderBytes: headerBytes, HeaderTime: headerTime, IdleTime: idleTime, Connections: nod.connectionBound(bind.part),
			OnEvict: func(why string, connections int) {
				nod.connectionsEvicted.Add(1)
				lines.Write("connection ends for a new one", "limit", bind.name, "connections", connections, "why", why)
			},
		}
		if bind.name == "callers" {
			limits.Pipeline = nod.newPipeline(han.MayRunAhead)
			limits.IdleLimit, limits.Room, limits.Patient = nod.callerIdleTime, nod.room, true
		}
		lis, err := httplistener.Listen(ctx, bind.address, bind.handler, limits)
		if err != nil {
			return eris.Wrapf(err, "start listener for %s", bind.name)
		}
		if nod.listeners.callers == nil {
			nod.listeners.callers = lis
		}
		nod.listeners.all = append(nod.listeners.all, lis)
	}
	return nil
}

// connectionBound returns the bound on the connections of a listener with a part of the process's descriptors.
func (nod *Node) connectionBound(numerator int) int {
	if nod.settings.Descriptors == 0 {
		return maxConnections
	}
	return max(min(nod.settings.Descriptors*numerator/partsDenominator, maxConnections), 1)
}

// callerIdleTime returns how long a caller's connection may be idle.
func (nod *Node) callerIdleTime() time.Duration {
	if cfg := nod.view.Load().Configuration; cfg != nil && cfg.IdleTime > 0 {
		return cfg.IdleTime
	}
	return idleTime
}

// drain announces to callers and other nodes that this node leaves, keeps serving for leaveNotice, and then lets the
// calls at its gate end as long as the stop time allows. At last it waits until the other nodes were sent the update
// that this node has left, or until the deadline of the drain. Requests that began on this host end while the listeners
// close; late ones are refused unless they end in time.
func (nod *Node) drain() error {
	began := time.Now()
	drainDeadline := began.Add(nod.bounds.Load().StopTime * drainParts / stopTimeParts)
	nod.closeDeadline = drainDeadline.Add(closeTimeout)
	requestsEnd := nod.closeDeadline.Add(-answerGrace)
	nod.stopWindow.Store(stopwindow.New(began, requestsEnd))
	time.AfterFunc(time.Until(requestsEnd), nod.endRequests)
	ctx, cancel := context.WithDeadline(context.Background(), drainDeadline)
	defer cancel()
	nod.leaving.Store(true)
	nod.log.Info("node drains", "id", nod.id)
	nod.listeners.callers.EndKeepAlive()
	if err := nod.control.Do(ctx, "node.leave", nod.announceDrain); err != nil {
		return eris.Wrap(err, "announce leaving")
	}
	dispatcher.Wait(ctx, leaveNotice)
	if err := nod.gate.Drain(ctx); err != nil {
		nod.log.Warn("calls still run", "running", nod.gate.Stats().Running, "after", time.Since(began))
	}
	closeCtx, cancelClose := context.WithDeadline(context.Background(), nod.closeDeadline)
	defer cancelClose()
	if err := nod.control.Do(closeCtx, "node.left", nod.members.Leave); err != nil {
		return eris.Wrap(err, "leave")
	}
	nod.awaitLeaveAnnounced(ctx)
	return nil
}

func (nod *Node) announceDrain() {
	self := nod.members.Self()
	nod.members.LocalServerChanged(change.Change{Event: change.Drain, Service: self.Service, Slots: self.Slots})
}

// awaitLeaveAnnounced waits until the membership update that this node has left was sent.
func (nod *Node) awaitLeaveAnnounced(ctx context.Context) {
	for ctx.Err() == nil {
		settled, err := dispatcher.OnControl(ctx, nod.dispatcher, "node.settled", nil, nod.members.LeaveAnnounced)
		if err != nil || settled {
			return
		}
		dispatcher.Wait(ctx, leavePollInterval)
	}
}

// closeListeners closes all listeners at the same time and waits for them, at the first call: each may take a while, in
// which nobody can connect to this host.
func (nod *Node) closeListeners() {
	nod.listeners.closing.Do(func() {
		ctx, cancel := context.WithDeadline(context.Background(), nod.closeDeadline)
		defer cancel()
		closed := make(chan error, len(nod.listeners.all))
		for _, lis := range nod.listeners.all {
			go func() { closed <- lis.Close(ctx) }()
		}
		for range nod.listeners.all {
			if err := <-closed; err != nil {
				nod.log.Warn("listener did not close in time", "error", err)
			}
		}
	})
}
