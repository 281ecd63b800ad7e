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
	"flamingoreach/core/reason"
	"flamingoreach/io/backendserver"
	"flamingoreach/io/caller"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/httplistener"
)

const (
	// The time in which other nodes learn that this one leaves, before its gate refuses new calls.
	leaveNotice  = 1500 * time.Millisecond
	drainTimeout = 30 * time.Second
	requestTime  = time.Minute
	// The time for handing back tokens and leadership, and for telling the members.
	leaveTimeout   = 3 * time.Second
	settleInterval = 50 * time.Millisecond
)

// listeners are the four servers of a node.
type listeners struct {
	callers       *httplistener.Listener
	backendServer *httplistener.Listener
	peers         *httplistener.Listener
	operators     *httplistener.Listener
}

func (lis *listeners) all() []*httplistener.Listener {
	return []*httplistener.Listener{lis.callers, lis.backendServer, lis.peers, lis.operators}
}

// Run serves until the context ends, then drains and returns nil; it fails if a listener cannot be bound or breaks.
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
		dispatcher.AddActor(&group, nod.credentials.Follow)
	}
	dispatcher.AddActor(&group, nod.tasks.Run)
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Add(func() error { <-stop.Done(); return nod.drain() }, func(error) { cancel() })
	err := group.Run()
	nod.close()
	return err
}

func (nod *Node) listen(ctx context.Context) error {
	lim := nod.settings.Limits
	bounds := httplistener.Bounds{
		HeaderBytes: lim.HeaderBytes, HeaderTime: lim.HeaderTime, ReadTime: requestTime,
		IdleTime: lim.IdleTime, Connections: lim.Connections,
	}
	// Peers keep one connection each, with many calls on it.
	peerBounds := bounds
	peerBounds.ReadTime = 0
	peerBounds.Counter = &nod.accepted
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
		{"callers", nod.settings.Listen.Callers, nod.callerFront(), bounds, &nod.listeners.callers},
		{"backendServer", nod.settings.Listen.BackendServer, nod.backendServerFront(), bounds, &nod.listeners.backendServer},
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
	nod.joinControl()
	return nil
}

func (nod *Node) callerFront() *caller.Front {
	return &caller.Front{
		BodyBytes: int64(nod.settings.Limits.BodyBytes),
		Admit:     nod.admission.Admit,
		Run:       nod.runAdmitted,
		OnRefusal: func(why reason.Reason) { nod.metrics.CountRefusal("ingress", why) },
		OnAnswer:  func() { nod.metrics.CountAnswer("ingress") },
		Log:       nod.logs.Caller,
	}
}

func (nod *Node) backendServerFront() http.Handler {
	front := nod.callerFront()
	front.FindHandle = nod.handles.Find
	front.OnRefusal = func(why reason.Reason) { nod.metrics.CountRefusal("deeper", why) }
	front.OnAnswer = func() { nod.metrics.CountAnswer("deeper") }
	mux := http.NewServeMux()
	mux.Handle("POST "+backendserver.AnnouncePath, backendserver.AnnounceHandler(nod.settings.Node.Service, nod.announced))
	mux.Handle("/", front)
	return mux
}

// drain announces that the node leaves, goes on serving until the others know, lets running calls end, and
// hands back its tokens and its leadership.
func (nod *Node) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	nod.log.Info("node drains")
	if err := nod.control.Do(ctx, "node.leave", nod.announceDrain); err != nil {
		return eris.Wrap(err, "announce leaving")
	}
	nod.listeners.callers.EndKeepAlive()
	dispatcher.Wait(ctx, leaveNotice)
	if err := nod.gate.Drain(ctx); err != nil {
		return eris.Wrap(err, "wait for running calls")
	}
	if err := nod.control.Do(ctx, "node.left", nod.leave); err != nil {
		return eris.Wrap(err, "leave")
	}
	return nod.awaitLeft(ctx)
}

func (nod *Node) announceDrain() {
	nod.life.Fire(lifecycle.Drain)
	self := nod.members.Self()
	nod.members.LocalServerChanged(change.Change{Event: change.Drain, Service: self.Service, Slots: self.Slots})
}

// leave gives back tokens, passes the leadership on and tells the members; it runs on the control thread.
func (nod *Node) leave() {
	nod.share.Leave()
	for _, mem := range nod.view.Load().Members {
		if mem.DataCentre == nod.self.DataCentre && mem.ID != nod.id && mem.State != membership.Draining {
			nod.lease.HandOver(mem.ID, mem.Peer)
			nod.handsOver = true
			break
		}
	}
	nod.members.Leave()
}

// awaitLeft waits a bounded time until the last messages were sent.
func (nod *Node) awaitLeft(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		left, err := dispatcher.OnControl(ctx, nod.dispatcher, "node.settled", nil, func() bool {
			own, _ := nod.lease.Own()
			return nod.share.Left() && nod.members.LeaveAnnounced() && (own.Epoch == 0 || !nod.handsOver)
		})
		if err != nil || left {
			break
		}
		dispatcher.Wait(ctx, settleInterval)
	}
	return nil
}

func (nod *Node) closeListener(lis *httplistener.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := lis.Close(ctx); err != nil {
		nod.log.Warn("listener closed late", "error", err)
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
