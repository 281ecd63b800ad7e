package crashlink

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"flamingoreach/core/crash"
	"flamingoreach/core/gate"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/io/peer"
	"flamingoreach/io/work"
)

const (
	spreadCrashes = "SpreadCrashes"
	// Each crash is sent this often, so that a lost message does no harm.
	sends        = 3
	sendInterval = time.Second
)

// Link sends the crashes that a gate knows and takes in those of other nodes; all but AwaitSpread is control state.
type Link struct {
	Work   *work.Work
	Client *peer.Client
	Server *peer.Server
	Gate   *gate.Gate
	// Peers lists the other nodes of the service.
	Peers func() []netip.AddrPort
	// AskTime bounds one message, and the time for which an answer is held back.
	AskTime time.Duration

	// sent counts how often each crash was sent.
	sent map[uuid.UUID]int
	last time.Time
	// sending counts the messages under way; done is closed once there are none.
	sending int
	done    chan struct{}
}

// Join connects the link; it must precede the start of the control thread.
func (lin *Link) Join() {
	lin.sent = map[uuid.UUID]int{}
	lin.Work.Control.AddTicker(func() {
		if time.Since(lin.last) >= sendInterval {
			lin.Send()
		}
	})
	peer.Answer(lin.Server, spreadCrashes, func(ctx context.Context, crashes []crash.Crash) (struct{}, error) {
		lin.Work.Post(ctx, "quarantine.heard", crashes, func() {
			for _, cra := range crashes {
				lin.sent[cra.ID] = sends
			}
			lin.Gate.AddCrashes(crashes)
		})
		return struct{}{}, nil
	})
}

// Send sends what has not been sent often enough; it runs on the control thread.
func (lin *Link) Send() {
	lin.last = time.Now()
	var news []crash.Crash
	kept := map[uuid.UUID]int{}
	for _, cra := range lin.Gate.Crashes() {
		kept[cra.ID] = lin.sent[cra.ID]
		if kept[cra.ID] < sends {
			news = append(news, cra)
		}
	}
	for _, cra := range news {
		kept[cra.ID] = lin.sent[cra.ID] + 1
	}
	lin.sent = kept
	if len(news) == 0 {
		return
	}
	for _, address := range lin.Peers() {
		lin.begin()
		work.Start(lin.Work, "quarantine.sent", lin.AskTime, func(ctx context.Context) (struct{}, error) {
			return peer.Ask[[]crash.Crash, struct{}](ctx, lin.Client, address, spreadCrashes, news)
		}, func(struct{}, error) { lin.end() })
	}
}

// begin counts a message that is under way.
func (lin *Link) begin() {
	if lin.sending == 0 {
		lin.done = make(chan struct{})
	}
	lin.sending++
}

// end counts a message that was answered or given up.
func (lin *Link) end() {
	lin.sending--
	if lin.sending == 0 {
		close(lin.done)
	}
}

// AwaitSpread holds back the answer to a call that may have crashed the backend server until the other nodes of
// the service know of it, so that a caller cannot be quicker than the news.
func (lin *Link) AwaitSpread(ctx context.Context, ref *refusal.Refusal) {
	if ref == nil || ref.Reason != reason.Quarantined || ref.Outcome != outcome.Unknown {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lin.AskTime)
	defer cancel()
	sent, err := work.OnControl(ctx, lin.Work, "quarantine.awaited", nil, func() <-chan struct{} {
		lin.Send()
		return lin.done
	})
	if err != nil || sent == nil {
		return
	}
	select {
	case <-sent:
	case <-ctx.Done():
	}
}
