package node

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"flamingoreach/core/lifecycle"
	"flamingoreach/core/membership"
	"flamingoreach/core/membership/change"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/io/backendserver"
	"flamingoreach/io/caller"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/httplistener"
	"flamingoreach/io/message"
)

const (
	// leaveNotice is the time from the announcement that this node leaves until its gate refuses new calls. Other nodes
	// learn of the leaving in this time.
	leaveNotice = 1500 * time.Millisecond
	// drainTimeout bounds the drain, and after it the closing of each listener.
	drainTimeout = 30 * time.Second
	// requestReadTimeout bounds the reading of one request from a caller, the backend server or an operator.
	requestReadTimeout = time.Minute
	// leaveTimeout bounds the wait for the last messages: returned tokens, leadership and the update for the members.
	leaveTimeout = 3 * time.Second
	// leavePollInterval is the time between two checks whether these messages were sent.
	leavePollInterval = 50 * time.Millisecond
)

// listeners holds the four HTTP listeners of a node.
type listeners struct {
	callers       *httplistener.Listener
	backendServer *httplistener.Listener
	peers         *httplistener.Listener
	operators     *httplistener.Listener
}

func (lis *listeners) all() []*httplistener.Listener {
	return []*httplistener.Listener{lis.callers, lis.backendServer, lis.peers, lis.operators}
}

// Run serves until the context ends, then drains and returns nil. It returns an error if a listener cannot be bound or
// fails, or if the drain does not finish in time.
func (nod *Node) Run(ctx context.Context) error {
	if err := nod.listen(ctx); err != nil {
		return err
	}
	close(nod.ready)
	nod.log.Info("node listens", "id", nod.id, "callers", nod.listeners.callers.Address(),
		"backendServer", nod.listeners.backendServer.Address(), "peers", nod.listeners.peers.Address(),
		"operators", nod.listeners.operators.Address())
	var group run.Group
	dispatcher.AddActor(&group, nod.control.Run)
	for _, lis := range nod.listeners.all() {
		group.Add(lis.Serve, func(error) { nod.closeListener(lis) })
	}
	if nod.credentials != nil {
		dispatcher.AddActor(&group, nod.credentials.ReloadPeriodically)
	}
	dispatcher.AddActor(&group, nod.tasks.Run)
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Add(func() error { <-stop.Done(); return nod.drain() }, func(error) { cancel() })
	err := group.Run()
	nod.close()
	return err
}

// listen binds the four listeners and then sets up the modules of the control thread, which use the bound address for
// peers.
func (nod *Node) listen(ctx context.Context) error {
	lim := nod.settings.Limits
	bounds := httplistener.Bounds{
		HeaderBytes: lim.HeaderBytes, HeaderTime: lim.HeaderTime, ReadTime: requestReadTimeout,
		IdleTime: lim.IdleTime, Connections: lim.Connections,
		Farewell: http.Header{message.Outcome: {outcome.NotRun.String()}, message.Reason: {string(reason.Draining)}},
	}
	// A peer sends many concurrent calls over one connection, so there is no time limit for reading.
	peerBounds := bounds
	peerBounds.ReadTime = 0
	peerBounds.Counter = &nod.inboundBytes
	if nod.credentials != nil {
		peerBounds.TLS = nod.credentials.Server()
	}
	for _, bind := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		bounds  httplistener.Bounds
		target  **httplistener.Listener
	}{
		{"callers", nod.settings.Listen.Callers, nod.callerFrontEnd(), bounds, &nod.listeners.callers},
		{"backendServer", nod.settings.Listen.BackendServer, nod.backendServerHandler(), bounds, &nod.listeners.backendServer},
		{"peers", nod.settings.Listen.Peers, nod.peerServer.Handler(), peerBounds, &nod.listeners.peers},
		{"operators", nod.settings.Listen.Operators, nod.operatorServer().Handler(), bounds, &nod.listeners.operators},
	} {
		lis, err := httplistener.Listen(ctx, bind.address, bind.handler, bind.bounds)
		if err != nil {
			return eris.Wrapf(err, "start listener for %s", bind.name)
		}
		*bind.target = lis
	}
	nod.self.Peer = nod.listeners.peers.Address()
	nod.setUpControl()
	return nil
}

func (nod *Node) callerFrontEnd() *caller.FrontEnd {
	return &caller.FrontEnd{
		BodyBytes: int64(nod.settings.Limits.BodyBytes),
		Admit:     nod.admission.Admit,
		Run:       nod.runAdmitted,
		OnRefusal: func(why reason.Reason) { nod.metrics.CountRefusal("ingress", why) },
		OnAnswer:  func() { nod.metrics.CountAnswer("ingress") },
		Log:       nod.logs.Caller,
	}
}

func (nod *Node) backendServerHandler() http.Handler {
	fro := nod.callerFrontEnd()
	fro.FindHandle = nod.handles.Find
	fro.OnRefusal = func(why reason.Reason) { nod.metrics.CountRefusal("deeper", why) }
	fro.OnAnswer = func() { nod.metrics.CountAnswer("deeper") }
	mux := http.NewServeMux()
	mux.Handle("POST "+backendserver.AnnouncePath, backendserver.AnnounceHandler(nod.settings.Node.Service, nod.receiveAnnouncement))
	mux.Handle("/", fro)
	return mux
}

// drain announces that the node leaves and keeps serving for leaveNotice, so that the other nodes stop sending calls.
// Then it waits for the running calls and returns its tokens and its leadership.
func (nod *Node) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	nod.log.Info("node drains")
	if err := nod.control.Do(ctx, "node.leave", nod.announceDrain); err != nil {
		return eris.Wrap(err, "announce that the node leaves")
	}
	nod.listeners.callers.EndKeepAlive()
	dispatcher.Wait(ctx, leaveNotice)
	if err := nod.gate.Drain(ctx); err != nil {
		return eris.Wrap(err, "wait for running calls")
	}
	if err := nod.control.Do(ctx, "node.left", nod.leave); err != nil {
		return eris.Wrap(err, "leave")
	}
	return nod.awaitLeave(ctx)
}

func (nod *Node) announceDrain() {
	nod.lifecycle.Fire(lifecycle.Drain)
	self := nod.members.Self()
	nod.members.LocalServerChanged(change.Change{Event: change.Drain, Service: self.Service, Slots: self.Slots})
}

// leave returns the tokens, hands the leadership over to another member and announces the end of this node to the
// members. It runs on the control thread.
func (nod *Node) leave() {
	nod.share.Leave()
	for _, mem := range nod.view.Load().Members {
		if mem.DataCentre == nod.self.DataCentre && mem.ID != nod.id && mem.State != membership.Draining {
			nod.lease.HandOver(mem.ID, mem.Peer)
			nod.handingOver = true
			break
		}
	}
	nod.members.Leave()
}

// awaitLeave waits up to leaveTimeout until the messages that leave caused were sent. The node ends even if they were
// not.
func (nod *Node) awaitLeave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		left, err := dispatcher.OnControl(ctx, nod.dispatcher, "node.settled", nil, func() bool {
			own, _ := nod.lease.Own()
			return nod.share.Left() && nod.members.LeaveAnnounced() && (own.Epoch == 0 || !nod.handingOver)
		})
		if err != nil || left {
			break
		}
		dispatcher.Wait(ctx, leavePollInterval)
	}
	return nil
}

func (nod *Node) closeListener(lis *httplistener.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := lis.Close(ctx); err != nil {
		nod.log.Warn("listener did not close in time", "error", err)
	}
}

func (nod *Node) close() {
	nod.backendClient.Close()
	nod.peerClient.Close()
	nod.table.Close()
	nod.objects.Close()
	if nod.traceFile != nil {
		if err := nod.traceFile.Close(); err != nil {
			nod.log.Error("trace incomplete", "step", "close trace", "error", err)
		}
	}
}
