package hostnode

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"flamingoreach/core/membership/change"
	"flamingoreach/io/httplistener"
	"flamingoreach/io/work"
)

const (
	// leaveNotice is the time in which callers and other nodes learn that this one leaves, before its gate refuses.
	leaveNotice = 2200 * time.Millisecond
	// stopParts is the part of the time to stop that running calls may use, of six.
	stopParts, wholeParts = 5, 6
	// closeTime is for the end of the answers that are being written.
	closeTime      = 300 * time.Millisecond
	settleInterval = 50 * time.Millisecond

	headerBytes = 64 << 10
	// headerTime and idleTime are at least what the operators let callers take.
	headerTime = 3 * time.Second
	idleTime   = time.Minute
	// maxConnections leaves descriptors for the connections to other nodes and to the backend server.
	maxConnections = 2048
)

// Handlers are the platform's front ends.
type Handlers struct {
	Callers, Announcements, Ready http.Handler
}

type listeners struct {
	callers *httplistener.Listener
	all     []*httplistener.Listener
}

// Run serves until the context ends, then drains and returns nil; it fails if a listener cannot be bound or breaks.
func (nod *Node) Run(ctx context.Context, han Handlers) error {
	if err := nod.listen(ctx, han); err != nil {
		return err
	}
	close(nod.ready)
	nod.log.Info("node starts", "id", nod.id, "host", nod.settings.Name, "dataCentre", nod.settings.DataCentre,
		"service", nod.settings.Service, "callers", nod.settings.Callers, "peers", nod.settings.Peers)
	var group run.Group
	work.AddActor(&group, nod.control.Run)
	for _, lis := range nod.listeners.all {
		group.Add(lis.Serve, func(error) { nod.closeListener(lis) })
	}
	work.AddActor(&group, nod.tasks.Run)
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Add(func() error { <-stop.Done(); return nod.drain() }, func(error) { cancel() })
	err := group.Run()
	nod.platform.Drop()
	nod.peerClient.Close()
	nod.log.Info("node stops", "id", nod.id, "error", err)
	return err
}

func (nod *Node) listen(ctx context.Context, han Handlers) error {
	bounds := httplistener.Bounds{HeaderBytes: headerBytes, HeaderTime: headerTime, IdleTime: idleTime, Connections: maxConnections}
	for _, bind := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"callers", nod.settings.Callers, han.Callers},
		{"announcements", nod.settings.Announcements, han.Announcements},
		{"ready", nod.settings.Ready, han.Ready},
		{"peers", nod.settings.Peers, nod.peerServer.Handler()},
		{"metrics", nod.settings.Metrics, nod.metrics},
	} {
		lis, err := httplistener.Listen(ctx, bind.address, bind.handler, bounds)
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

// drain tells callers and other nodes that this one leaves, goes on serving until they know, and lets the calls at its
// gate end as long as the time to stop allows; those that began on this host end while the listeners close.
func (nod *Node) drain() error {
	began := time.Now()
	bound := began.Add(nod.bounds.Load().StopTime * stopParts / wholeParts)
	nod.closeBy = bound.Add(closeTime)
	ctx, cancel := context.WithDeadline(context.Background(), bound)
	defer cancel()
	nod.leaving.Store(true)
	nod.log.Info("node drains", "id", nod.id)
	nod.listeners.callers.EndKeepAlive()
	if err := nod.control.Do(ctx, "node.leave", nod.announceDrain); err != nil {
		return eris.Wrap(err, "announce leaving")
	}
	work.Wait(ctx, leaveNotice)
	if err := nod.gate.Drain(ctx); err != nil {
		nod.log.Warn("calls still run", "running", nod.gate.Stats().Running, "after", time.Since(began))
	}
	last, cancelLast := context.WithDeadline(context.Background(), nod.closeBy)
	defer cancelLast()
	if err := nod.control.Do(last, "node.left", nod.members.Leave); err != nil {
		return eris.Wrap(err, "leave")
	}
	nod.awaitSettled(ctx)
	return nil
}

func (nod *Node) announceDrain() {
	self := nod.members.Self()
	nod.members.LocalServerChanged(change.Change{Event: change.Drain, Service: self.Service, Slots: self.Slots})
}

// awaitSettled waits until the news that this node has left was sent.
func (nod *Node) awaitSettled(ctx context.Context) {
	for ctx.Err() == nil {
		settled, err := work.OnControl(ctx, nod.work, "node.settled", nil, nod.members.LeaveAnnounced)
		if err != nil || settled {
			return
		}
		work.Wait(ctx, settleInterval)
	}
}

func (nod *Node) closeListener(lis *httplistener.Listener) {
	ctx, cancel := context.WithDeadline(context.Background(), nod.closeBy)
	defer cancel()
	if err := lis.Close(ctx); err != nil {
		nod.log.Warn("listener closed late", "error", err)
	}
}
