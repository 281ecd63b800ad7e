package crashlink

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"flamingoreach/core/crash/record"
	"flamingoreach/core/gate"
	"flamingoreach/core/member"
	"flamingoreach/core/outcome"
	"flamingoreach/core/placement"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
)

const (
	shareCrashes = "ShareCrashes"
	// retryInterval is the time until a message is sent again to a node that did not confirm it.
	retryInterval = time.Second
	// retryWait bounds the time for which AwaitSpread delays the answer to a call that may be retried: a round trip between
	// regions takes less, and a node that does not answer must not hold up the retries.
	retryWait = 100 * time.Millisecond
)

// Link sends a gate's crash records to the other nodes of its service, each until the node confirms it, and receives
// theirs. A node that becomes known gets all records. The link is control state: all methods but AwaitSpread and
// FailedSends are called on the control thread only.
type Link struct {
	Dispatcher *dispatcher.Dispatcher
	Client     *peer.Client
	Server     *peer.Server
	Gate       *gate.Gate
	// Peers returns the other nodes of the service.
	Peers func() []member.Member
	// AskTimeout bounds one message, and the time for which AwaitSpread delays an answer.
	AskTimeout time.Duration
	// OnSendFailed, if set, is called with each message that another node did not confirm.
	OnSendFailed func(peer netip.AddrPort, err error)
	// Table, if set, keeps the records of contents in quarantine, so that they outlast all nodes of the service.
	Table *Table

	failedSends atomic.Uint64
	// recipients holds the other nodes of the service by member ID.
	recipients map[string]*recipient
	// inFlight counts the messages that were sent and not answered yet; done is closed once there are none.
	inFlight int
	done     chan struct{}
}

// recipient is what the link knows of another node.
type recipient struct {
	address netip.AddrPort
	region  string
	// joined is the revision of the gate's records at which the node became known, and confirmed the revision up to which
	// it has them.
	joined, confirmed uint64
	inFlight          bool
	retryAt           time.Time
}

// Register adds the link's ticker and its handler of messages; it must be called before the control thread starts.
func (lin *Link) Register() {
	lin.recipients = map[string]*recipient{}
	lin.Dispatcher.Control.AddTicker(lin.Send)
	if lin.Table != nil {
		lin.Dispatcher.Control.AddTicker(func() { lin.Table.tick(lin) })
	}
	peer.Handle(lin.Server, shareCrashes, func(ctx context.Context, messages []recordMessage) (struct{}, error) {
		return dispatcher.OnControl(ctx, lin.Dispatcher, "quarantine.heard", messages, func() struct{} {
			lin.Gate.AddCrashRecords(decodeRecords(messages, time.Now()))
			return struct{}{}
		})
	})
}

// Send sends each other node the records that it has not confirmed; it runs on the control thread.
func (lin *Link) Send() {
	revision := lin.Gate.CrashRevision()
	if revision == 0 {
		return
	}
	known := make(map[string]*recipient, len(lin.recipients))
	for _, mem := range lin.Peers() {
		rec, found := lin.recipients[mem.ID]
		if !found {
			rec = &recipient{joined: revision}
		}
		rec.address, rec.region = mem.Peer, mem.Region
		known[mem.ID] = rec
	}
	lin.recipients = known
	for _, rec := range known {
		if rec.confirmed < revision && !rec.inFlight && !time.Now().Before(rec.retryAt) {
			lin.sendTo(rec)
		}
	}
}

// sendTo sends a node the oldest records that it has not confirmed, except those that its region must not have.
func (lin *Link) sendTo(rec *recipient) {
	records, upTo := lin.Gate.CrashRecords(rec.confirmed, rec.joined)
	records = slices.DeleteFunc(records, func(cra record.Record) bool { return !placement.Allows(cra.Regions, rec.region) })
	if len(records) == 0 {
		rec.confirmed = upTo
		return
	}
	address, messages := rec.address, encodeRecords(records, time.Now())
	rec.inFlight = true
	lin.begin()
	dispatcher.Start(lin.Dispatcher, "quarantine.sent", lin.AskTimeout, func(ctx context.Context) (struct{}, error) {
		return peer.Ask[[]recordMessage, struct{}](ctx, lin.Client, address, shareCrashes, messages)
	}, func(_ struct{}, err error) {
		rec.inFlight = false
		if err != nil {
			rec.retryAt = time.Now().Add(retryInterval)
			lin.countFailure(address, err)
		} else {
			rec.confirmed = upTo
			lin.Send()
		}
		lin.end()
	})
}

// FailedSends returns the number of messages that another node did not confirm.
func (lin *Link) FailedSends() uint64 { return lin.failedSends.Load() }

func (lin *Link) countFailure(address netip.AddrPort, err error) {
	lin.failedSends.Add(1)
	if lin.OnSendFailed != nil {
		lin.OnSendFailed(address, err)
	}
}

// begin counts a message that is sent.
func (lin *Link) begin() {
	if lin.inFlight == 0 {
		lin.done = make(chan struct{})
	}
	lin.inFlight++
}

// end counts a message that was answered or has failed.
func (lin *Link) end() {
	lin.inFlight--
	if lin.inFlight == 0 {
		close(lin.done)
	}
}

// AwaitSpread delays the answer to a call that may have crashed the backend server until the other nodes of the service
// know of the crash: for AskTimeout at most, or for retryWait if the call may be retried. Otherwise a retry could reach
// them before they do.
func (lin *Link) AwaitSpread(ctx context.Context, ref *refusal.Refusal) {
	if ref == nil || ref.Outcome != outcome.Unknown {
		return
	}
	timeout := lin.AskTimeout
	switch ref.Reason {
	case reason.Quarantined:
	case reason.BackendServerDown:
		timeout = retryWait
	default:
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done, err := dispatcher.OnControl(ctx, lin.Dispatcher, "quarantine.awaited", nil, func() <-chan struct{} {
		lin.Send()
		return lin.done
	})
	if err != nil || done == nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}
