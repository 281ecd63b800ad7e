package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"flamingoreach/core/membership/update"
)

const (
	// While updates are pending, each gossipInterval up to gossipFanout members are sent some of them.
	gossipInterval = 200 * time.Millisecond
	gossipFanout   = 3
	// updateLimit bounds the updates in one probe or acknowledgement.
	updateLimit = 8
	// pendingLimit bounds the queue of updates to send; updates dropped from it spread by exchanges.
	pendingLimit = 256
	// sendFactor times the binary logarithm of the data centre's size is the number of times each node sends an update.
	sendFactor = 3
)

// pendingUpdate is an entry whose update is still to be sent, and how often it was sent.
type pendingUpdate struct {
	ent  *entry
	sent int
}

// gossip sends pending updates to random members of this data centre. They travel in untracked probes, of whose
// acknowledgements only the updates are used.
func (lis *List) gossip(now time.Time) {
	if len(lis.pendingUpdates) == 0 || len(lis.ring) == 0 || now.Before(lis.nextGossip) {
		return
	}
	lis.nextGossip = now.Add(gossipInterval)
	for _, target := range lis.pick(gossipFanout, nil) {
		if len(lis.pendingUpdates) == 0 {
			return
		}
		lis.counts.GossipSent++
		lis.SendProbe(untracked, target.member.Peer, lis.newProbe(&attempt{target: target}))
	}
}

// enqueue puts an entry's update at the head of the queue, replacing an earlier update of the same entry.
func (lis *List) enqueue(ent *entry) {
	lis.pendingUpdates = slices.DeleteFunc(lis.pendingUpdates, func(pen pendingUpdate) bool { return pen.ent == ent })
	lis.pendingUpdates = slices.Insert(lis.pendingUpdates, 0, pendingUpdate{ent: ent})
	if len(lis.pendingUpdates) > pendingLimit {
		lis.pendingUpdates = slices.Delete(lis.pendingUpdates, pendingLimit, len(lis.pendingUpdates))
	}
}

// takeUpdates returns the updates for one message. The first is the receiver's own entry if this list does not hold it
// as alive, so that the receiver can refute; the others come from the queue.
func (lis *List) takeUpdates(receiver *entry) []update.Update {
	var taken []update.Update
	if receiver != nil && receiver.liveness != alive {
		taken = append(taken, receiver.update())
	}
	count := min(len(lis.pendingUpdates), updateLimit-len(taken))
	first := slices.Clone(lis.pendingUpdates[:count])
	lis.pendingUpdates = slices.Delete(lis.pendingUpdates, 0, count)
	limit := lis.sendLimit()
	for _, pen := range first {
		if pen.ent != receiver {
			taken = append(taken, pen.ent.update())
		}
		pen.sent++
		if pen.sent < limit {
			lis.requeue(pen)
		}
	}
	return taken
}

// requeue puts an update behind all updates that were sent as often or less. The node's own update goes to the head of
// the queue, so that each message carries it.
func (lis *List) requeue(pen pendingUpdate) {
	if pen.ent == lis.self {
		lis.pendingUpdates = slices.Insert(lis.pendingUpdates, 0, pen)
		return
	}
	at, _ := slices.BinarySearchFunc(lis.pendingUpdates, pen.sent+1, func(other pendingUpdate, sent int) int {
		return cmp.Compare(other.sent, sent)
	})
	lis.pendingUpdates = slices.Insert(lis.pendingUpdates, at, pen)
}

func (lis *List) sendLimit() int {
	return sendFactor * int(math.Ceil(math.Log2(float64(len(lis.ring)+2))))
}

func (lis *List) applyUpdates(all []update.Update) {
	for _, upd := range all {
		lis.applyUpdate(upd)
	}
}
