package departurelink

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingoreach/core/departure"
	"flamingoreach/core/departures"
	"flamingoreach/core/member"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
)

const (
	recordDeparture = "RecordDeparture"
	askDeparture    = "AskDeparture"
	// replicaCount is the number of other nodes that are told of a departure. One of them may be lost, and one may be unknown
	// to the restarted node.
	replicaCount = 3
	// recordTime is how long a node must have recorded departures before its word that there is none counts. A heartbeat
	// that arrives later than that after a departure is not expected.
	recordTime = 30 * time.Second
	// membersPollInterval is half of the interval at which the members can change.
	membersPollInterval = 50 * time.Millisecond
	// answerReserve is the part of the time for Ask that is left for the answers while the members are not known. Round
	// trips within a region take less.
	answerReserve = 100 * time.Millisecond
)

// Link tells a few other nodes of departures and asks them. It is safe for concurrent use once Register was called.
type Link struct {
	Dispatcher *dispatcher.Dispatcher
	Client     *peer.Client
	Server     *peer.Server
	// Self is the node's own entry.
	Self member.Member
	// Members returns the live members.
	Members func() []member.Member
	// Complete reports whether Members returns all members of the fleet; it is called on the control thread.
	Complete func() bool
	// AskTimeout bounds one message.
	AskTimeout time.Duration
	// OnSendFailed, if set, is called with each message that another node did not confirm or answer.
	OnSendFailed func(peer netip.AddrPort, err error)

	failedSends, kept atomic.Uint64
	// table is control state.
	table *departures.Table
	began time.Time
}

// Register adds the handlers of messages; it must be called before the control thread starts.
func (lin *Link) Register() {
	lin.table, lin.began = departures.New(), time.Now()
	peer.Handle(lin.Server, recordDeparture, func(ctx context.Context, msg departureMessage) (struct{}, error) {
		dep := decodeDeparture(msg)
		if err := dep.Validate(); err != nil {
			return struct{}{}, err
		}
		return dispatcher.OnControl(ctx, lin.Dispatcher, "departure.heard", msg, func() struct{} {
			lin.table.Record(dep)
			lin.kept.Store(uint64(lin.table.Len()))
			return struct{}{}
		})
	})
	peer.Handle(lin.Server, askDeparture, func(ctx context.Context, que departureQuestion) (departureReply, error) {
		return dispatcher.OnControl(ctx, lin.Dispatcher, "departure.asked", que, func() departureReply {
			reply := departureReply{RecordedFor: time.Since(lin.began)}
			if dep, found := lin.table.Of(que.Host); found {
				msg := encodeDeparture(dep)
				reply.Departure = &msg
			}
			return reply
		})
	})
}

// FailedSends returns the number of messages that another node did not confirm or answer.
func (lin *Link) FailedSends() uint64 { return lin.failedSends.Load() }

// Kept returns the number of departures that this node keeps for other nodes.
func (lin *Link) Kept() uint64 { return lin.kept.Load() }

// Announce tells the replica holders of a departure. It returns once most of them have confirmed it, or when the context
// ends, with the number of replica holders and of those that have confirmed. Messages to the others are still sent.
func (lin *Link) Announce(ctx context.Context, dep departure.Departure) (confirmed, asked int) {
	msg := encodeDeparture(dep)
	results, asked := send(lin, func(ctx context.Context, address netip.AddrPort) (struct{}, error) {
		return peer.Ask[departureMessage, struct{}](ctx, lin.Client, address, recordDeparture, msg)
	})
	for received := 0; received < asked && confirmed < majority(asked); received++ {
		select {
		case res := <-results:
			if res.err == nil {
				confirmed++
			}
		case <-ctx.Done():
			return confirmed, asked
		}
	}
	return confirmed, asked
}

// Ask asks the replica holders for the latest departure on this host; found is set if one of them knows of one. decided is
// set if this node knows all members, and most of the replica holders have recorded departures for long enough to tell which
// one is the latest, or that there is none. Ask first waits until this node knows all members.
func (lin *Link) Ask(ctx context.Context) (dep departure.Departure, found, decided bool) {
	complete := lin.awaitMembers(ctx)
	question := departureQuestion{Host: lin.Self.Peer}
	results, asked := send(lin, func(ctx context.Context, address netip.AddrPort) (departureReply, error) {
		return peer.Ask[departureQuestion, departureReply](ctx, lin.Client, address, askDeparture, question)
	})
	sure := 0
	for range asked {
		select {
		case res := <-results:
			if res.err == nil && res.value.RecordedFor >= recordTime {
				sure++
			}
			if msg := res.value.Departure; msg != nil {
				if reported := decodeDeparture(*msg); !found || reported.Replaces(dep) {
					dep, found = reported, true
				}
			}
		case <-ctx.Done():
			return dep, found, false
		}
		if complete && sure >= majority(asked) {
			return dep, found, true
		}
	}
	return dep, found, false
}

// awaitMembers waits until Members returns all members, and reports whether it does before nearly all of the context's time
// has passed.
func (lin *Link) awaitMembers(ctx context.Context) bool {
	if deadline, bounded := ctx.Deadline(); bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-answerReserve))
		defer cancel()
	}
	for {
		complete, err := dispatcher.OnControl(ctx, lin.Dispatcher, "departure.membersKnown", nil, lin.Complete)
		if complete || err != nil || ctx.Err() != nil {
			return complete
		}
		dispatcher.Wait(ctx, membersPollInterval)
	}
}

// majority returns the number of replica holders that must confirm or answer. Of two majorities at least one node is in both.
func majority(asked int) int { return asked/2 + 1 }

// result is the result of one message.
type result[T any] struct {
	value T
	err   error
}

// send sends a message to each replica holder and returns a channel with room for all results, and their number. The messages
// outlast the sender's wait, because they matter to a later question.
func send[T any](lin *Link, message func(ctx context.Context, address netip.AddrPort) (T, error)) (<-chan result[T], int) {
	addresses := lin.replicaHolders()
	results := make(chan result[T], len(addresses))
	for _, address := range addresses {
		started := lin.Dispatcher.Tasks.Start(func(root context.Context) {
			root, cancel := context.WithTimeout(root, lin.AskTimeout)
			defer cancel()
			value, err := message(root, address)
			if err != nil {
				lin.failedSends.Add(1)
				if lin.OnSendFailed != nil {
					lin.OnSendFailed(address, err)
				}
			}
			results <- result[T]{value, err}
		})
		if !started {
			lin.failedSends.Add(1)
			results <- result[T]{err: context.Canceled}
		}
	}
	return results, len(addresses)
}

// replicaHolders returns the addresses of the other nodes that rendezvous hashing of this host's address ranks first. They are
// nodes of the own region, where messages are quick and cheap, if there are enough.
func (lin *Link) replicaHolders() []netip.AddrPort {
	type candidate struct {
		address netip.AddrPort
		weight  uint64
		near    bool
	}
	var candidates []candidate
	near := 0
	known := map[netip.AddrPort]bool{lin.Self.Peer: true}
	self := lin.Self.Peer.String()
	for _, mem := range lin.Members() {
		if known[mem.Peer] {
			continue
		}
		known[mem.Peer] = true
		can := candidate{mem.Peer, xxhash.Sum64String(self + "\x00" + mem.Peer.String()), mem.Region == lin.Self.Region}
		if can.near {
			near++
		}
		candidates = append(candidates, can)
	}
	if near >= replicaCount {
		candidates = slices.DeleteFunc(candidates, func(can candidate) bool { return !can.near })
	}
	slices.SortFunc(candidates, func(can, other candidate) int { return cmp.Compare(other.weight, can.weight) })
	addresses := make([]netip.AddrPort, 0, replicaCount)
	for _, can := range candidates[:min(replicaCount, len(candidates))] {
		addresses = append(addresses, can.address)
	}
	return addresses
}
