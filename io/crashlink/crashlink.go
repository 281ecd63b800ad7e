package crashlink

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"flamingoreach/core/crash"
	"flamingoreach/core/gate"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
)

const (
	spreadCrashes = "SpreadCrashes"
	// sendsPerCrash is the number of times that each crash is sent, so that a lost message does no harm.
	sendsPerCrash = 3
	sendInterval  = time.Second
)

// Link sends the crashes that a gate has recorded to other nodes and receives theirs. It is control state: all methods
// but AwaitSpread are called on the control thread only.
type Link struct {
	Dispatcher *dispatcher.Dispatcher
	Client     *peer.Client
	Server     *peer.Server
	Gate       *gate.Gate
	// Peers returns the addresses of the other nodes of the service.
	Peers func() []netip.AddrPort
	// AskTimeout bounds one message, and the time for which AwaitSpread delays an answer.
	AskTimeout time.Duration
	// OnSendFailed, if set, is called with each message that another node did not confirm.
	OnSendFailed func(peer netip.AddrPort, err error)

	failedSends atomic.Uint64
	// sent counts how often each crash was sent.
	sent     map[uuid.UUID]int
	lastSend time.Time
	// inFlight counts the messages that were sent and not answered yet; done is closed once there are none.
	inFlight int
	done     chan struct{}
}

// Register adds the link's ticker and its handler of messages; it must be called before the control thread starts.
func (lin *Link) Register() {
	lin.sent = map[uuid.UUID]int{}
	lin.Dispatcher.Control.AddTicker(func() {
		if time.Since(lin.lastSend) >= sendInterval {
			lin.Send()
		}
	})
	peer.Handle(lin.Server, spreadCrashes, func(ctx context.Context, crashes []crash.Crash) (struct{}, error) {
		lin.Dispatcher.Post(ctx, "quarantine.heard", crashes, func() {
			// Crashes that were received from another node are not sent on.
			for _, cra := range crashes {
				lin.sent[cra.ID] = sendsPerCrash
			}
			lin.Gate.AddCrashes(crashes)
		})
		return struct{}{}, nil
	})
}

// Send sends the crashes that were sent fewer than sendsPerCrash times to all peers; it runs on the control thread.
func (lin *Link) Send() {
	lin.lastSend = time.Now()
	var pending []crash.Crash
	counts := map[uuid.UUID]int{}
	for _, cra := range lin.Gate.Crashes() {
		counts[cra.ID] = lin.sent[cra.ID]
		if counts[cra.ID] < sendsPerCrash {
			pending = append(pending, cra)
		}
	}
	for _, cra := range pending {
		counts[cra.ID] = lin.sent[cra.ID] + 1
	}
	lin.sent = counts
	if len(pending) == 0 {
		return
	}
	for _, address := range lin.Peers() {
		lin.begin()
		dispatcher.Start(lin.Dispatcher, "quarantine.sent", lin.AskTimeout, func(ctx context.Context) (struct{}, error) {
			return peer.Ask[[]crash.Crash, struct{}](ctx, lin.Client, address, spreadCrashes, pending)
		}, func(_ struct{}, err error) {
			if err != nil {
				lin.countFailure(address, err)
			}
			lin.end()
		})
	}
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
// know of the crash, for AskTimeout at most. Otherwise the caller's retry could reach them before they do.
func (lin *Link) AwaitSpread(ctx context.Context, ref *refusal.Refusal) {
	if ref == nil || ref.Reason != reason.Quarantined || ref.Outcome != outcome.Unknown {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lin.AskTimeout)
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
