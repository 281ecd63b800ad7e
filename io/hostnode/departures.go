package hostnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/core/announcement"
	"flamingoreach/core/departure"
	"flamingoreach/core/departurecheck"
	"flamingoreach/core/departurecheck/verdict"
	"flamingoreach/core/localserver"
	"flamingoreach/core/member"
	"flamingoreach/io/departurelink"
	"flamingoreach/io/dispatcher"
)

const (
	// departureTimeout bounds the time by which the copies of a departure delay its acknowledgement. It is below the 0.5 s
	// within which the backend server must get it, as that waits for 1 s.
	departureTimeout = 450 * time.Millisecond
	// checkWait bounds the time for which a heartbeat waits for the end of a check, for the same reason.
	checkWait = 700 * time.Millisecond
	// copyInterval is the time between two attempts to make the copies of a departure that are missing. Within copyTime after
	// the departure they still matter: later, no heartbeat from before is expected.
	copyInterval = 2 * time.Second
	copyTime     = 30 * time.Second
)

var (
	errDoubted = eris.New("it is not known yet whether the backend server has left, the announcement must be repeated")
	errLeft    = eris.New("the announcement comes from before the departure of the backend server")
)

// departureState is what a node keeps of its backend server's departure and of the checks after its own start. Its fields
// but link and checks are control state.
type departureState struct {
	link *departurelink.Link
	// latest is the departure that this node acknowledges, or nil if the backend server has not left.
	latest *departureRecord
	// checkEnded is closed when the check that began last ends.
	checkEnded chan struct{}
	// checks counts the checks that have ended by the source of their verdict.
	checks map[string]*atomic.Uint64
}

// departureRecord is a departure and its copies.
type departureRecord struct {
	departure departure.Departure
	// began is when the latest attempt to make copies began; ended is closed when it has ended.
	began time.Time
	ended chan struct{}
	// informed is set once enough other nodes keep the departure, and written once the store does.
	informed, written atomic.Bool
	// writing is set while a write to the store is under way, which may outlast its attempt.
	writing atomic.Bool
}

// covers reports whether the record makes one of another departure needless.
func (rec *departureRecord) covers(dep departure.Departure) bool {
	return rec.sameProcess(dep) && (rec.departure.Deregistered || !dep.Deregistered)
}

func (rec *departureRecord) sameProcess(dep departure.Departure) bool {
	return rec.departure.ServerID == dep.ServerID && rec.departure.Started.Equal(dep.Started)
}

// underWay reports whether an attempt has begun and not ended.
func (rec *departureRecord) underWay() bool {
	select {
	case <-rec.ended:
		return false
	default:
		return true
	}
}

// setUpDepartures connects the state of the local backend server with the departures that other nodes and the store keep.
func (nod *Node) setUpDepartures() {
	nod.departures.link = &departurelink.Link{
		Dispatcher: nod.dispatcher, Client: nod.peerClient, Server: nod.peerServer, Self: nod.self,
		Members:    func() []member.Member { return nod.view.Load().Members },
		Complete:   func() bool { return nod.memberLink.Joined() || nod.members.Synced() },
		AskTimeout: askTimeout,
	}
	nod.departures.link.Register()
	nod.departures.checks = map[string]*atomic.Uint64{}
	for _, source := range []string{verdict.Nodes, verdict.Store, verdict.Probe, verdict.None} {
		count := new(atomic.Uint64)
		nod.departures.checks[source] = count
		nod.metrics.Gauge(`departure_checks{source="`+source+`"}`, func() float64 { return float64(count.Load()) })
	}
	nod.metrics.Gauge("departures_kept", func() float64 { return float64(nod.departures.link.Kept()) })
	nod.metrics.Gauge("departure_sends_failed", func() float64 { return float64(nod.departures.link.FailedSends()) })
	check := &departurecheck.Check{
		AskNodes: nod.departures.link.Ask,
		ReadStore: func(ctx context.Context) (departure.Departure, bool, error) {
			return nod.platform.ReadDeparture(ctx, nod.settings.Peers)
		},
		Probe: nod.platform.ProbeBackendServer,
	}
	nod.localServer.NodeStarted = nod.started
	nod.control.AddTicker(nod.tickDepartures)
	nod.localServer.Check = func(ann announcement.Announcement) { nod.startCheck(check, ann) }
}

// startCheck starts to find out whether the process of an announcement has left; it runs on the control thread.
func (nod *Node) startCheck(che *departurecheck.Check, ann announcement.Announcement) {
	began, ended := time.Now(), make(chan struct{})
	nod.departures.checkEnded = ended
	dispatcher.Start(nod.dispatcher, "departure.checked", localserver.CheckLimit, func(ctx context.Context) (verdict.Verdict, error) {
		return che.Run(ctx, ann), nil
	}, func(ver verdict.Verdict, err error) {
		defer close(ended)
		if count, known := nod.departures.checks[ver.Source]; known {
			count.Add(1)
		}
		left := ver.Found && ver.Departure.Covers(ann)
		nod.log.Info("departure checked", "id", ann.ID, "sequence", ann.Sequence, "started", ann.Started, "decided", ver.Decided,
			"left", left, "source", ver.Source, "departureId", ver.Departure.ServerID, "departureSequence", ver.Departure.Sequence,
			"after", time.Since(began), "error", err)
		if left && nod.departures.latest == nil {
			nod.departures.latest = &departureRecord{departure: ver.Departure, ended: ended}
			nod.departures.latest.informed.Store(true)
			nod.departures.latest.written.Store(true)
		}
		nod.localServer.Checked(ann, ver)
	})
}

// awaitCheck returns nil once the backend server of an announcement is in use. It fails if a check finds that it has left, if
// the check does not end in time or cannot tell, or with the context's error.
func (nod *Node) awaitCheck(ctx context.Context, ann announcement.Announcement, ended <-chan struct{}) error {
	timer := time.NewTimer(checkWait)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	state, err := dispatcher.OnControl(ctx, nod.dispatcher, "localServer.awaited", nil, func() string {
		if !nod.localServer.Latest().SameProcess(ann) {
			return localserver.Absent
		}
		return nod.localServer.State()
	})
	switch {
	case err != nil:
		return err
	case state == localserver.Doubted:
		return errDoubted
	case state == localserver.Absent:
		return errLeft
	}
	return nil
}

// beginDeparture starts to make copies of the departure of the process with the ID and start time, unless that has been done.
// It returns a channel that is closed when the departure may be acknowledged, or nil if it may be at once. It runs on the
// control thread.
func (nod *Node) beginDeparture(id string, started time.Time, deregistered bool) <-chan struct{} {
	dep, found := nod.localServer.DepartureOf(id, started)
	if !found {
		return nil
	}
	dep.Host, dep.Deregistered = nod.settings.Peers, deregistered
	rec := nod.departures.latest
	switch {
	case rec == nil || !rec.covers(dep):
		next := &departureRecord{departure: dep}
		// The drain of a process is a departure like its deregistration, so the store has what it needs.
		next.written.Store(rec != nil && rec.sameProcess(dep) && rec.written.Load())
		rec, nod.departures.latest = next, next
	case rec.underWay():
		return rec.ended
	case rec.informed.Load() && rec.written.Load():
		return nil
	}
	nod.startCopy(rec)
	return rec.ended
}

// startCopy starts an attempt to make the copies of a departure that are missing; it runs on the control thread.
func (nod *Node) startCopy(rec *departureRecord) {
	ended := make(chan struct{})
	rec.began, rec.ended = time.Now(), ended
	if !nod.tasks.Start(func(ctx context.Context) { nod.copyDeparture(ctx, rec, ended) }) {
		nod.log.Warn("departure not kept", "id", rec.departure.ServerID, "error", "too many tasks are waiting")
		close(ended)
	}
}

// tickDepartures makes the copies of a departure that could not be made before it was acknowledged.
func (nod *Node) tickDepartures() {
	rec := nod.departures.latest
	if rec == nil || rec.underWay() || rec.informed.Load() && rec.written.Load() ||
		time.Since(rec.began) < copyInterval || time.Since(rec.departure.At) > copyTime {
		return
	}
	nod.startCopy(rec)
}

// restoreDeparture writes the departure of the backend server again, after the store has come back from an older copy.
func (nod *Node) restoreDeparture() {
	rec := nod.departures.latest
	if rec == nil || time.Since(rec.departure.At) > departure.Retention {
		return
	}
	rec.written.Store(false)
	if !rec.underWay() {
		nod.startCopy(rec)
	}
}

// copyDeparture tells other nodes and the store of a departure, and closes the channel once enough of them have it or
// departureTimeout has passed.
func (nod *Node) copyDeparture(ctx context.Context, rec *departureRecord, ended chan<- struct{}) {
	defer close(ended)
	began := time.Now()
	stored := nod.startWrite(rec)
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	confirmed, asked := nod.departures.link.Announce(ctx, rec.departure)
	rec.informed.Store(2*confirmed > asked)
	select {
	case <-stored:
	case <-ctx.Done():
	}
	nod.log.Info("departure kept", "id", rec.departure.ServerID, "started", rec.departure.Started, "sequence", rec.departure.Sequence,
		"deregistered", rec.departure.Deregistered, "confirmed", confirmed, "asked", asked, "written", rec.written.Load(),
		"after", time.Since(began))
}

// startWrite starts to write a departure to the store, unless it is there or a write is under way. It returns a channel that is
// closed at the end of the write.
func (nod *Node) startWrite(rec *departureRecord) <-chan struct{} {
	stored := make(chan struct{})
	if rec.written.Load() || !rec.writing.CompareAndSwap(false, true) {
		close(stored)
		return stored
	}
	if !nod.tasks.Start(func(ctx context.Context) {
		defer close(stored)
		defer rec.writing.Store(false)
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		err := nod.platform.WriteDeparture(ctx, rec.departure)
		if err != nil {
			nod.log.Warn("departure not written", "id", rec.departure.ServerID, "error", err)
		}
		rec.written.Store(err == nil)
	}) {
		rec.writing.Store(false)
		close(stored)
	}
	return stored
}

// awaitDeparture waits until a departure may be acknowledged, for departureTimeout at most, because an attempt to make copies
// may have to wait for other tasks. It fails with the context's error.
func awaitDeparture(ctx context.Context, ended <-chan struct{}) error {
	if ended == nil {
		return nil
	}
	timer := time.NewTimer(departureTimeout)
	defer timer.Stop()
	select {
	case <-ended:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
