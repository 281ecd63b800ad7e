package configurationnode

import (
	"time"

	"flamingoreach/core/fence"
	"flamingoreach/core/heartbeat"
	"flamingoreach/core/heartbeatreply"
	"flamingoreach/core/lifecycle"
	"flamingoreach/core/reason"
	"flamingoreach/core/versionid"
	"flamingoreach/core/versionview"
)

// HeartbeatInterval is the time between two heartbeats; a change of the configuration is sent at the next tick.
const HeartbeatInterval = time.Second

// Node reports one node's configuration to the leader and applies the replies.
type Node struct {
	// SendHeartbeat starts to send a heartbeat to the data centre's leader; the reply goes to HandleReply.
	SendHeartbeat func(hea heartbeat.Heartbeat)

	id        string
	view      *versionview.View
	fence     *fence.Fence
	lifecycle *lifecycle.Lifecycle
	sequence  uint64
	lastSent  time.Time
	changed   bool
	// sent holds the heartbeats whose reply can still renew the lease.
	sent map[uint64]sentHeartbeat
	// leaderKnows is the number of the accepted version whose full ID the leader knows, or 0. While that version is in
	// force, heartbeats send only its number.
	leaderKnows uint64
}

// sentHeartbeat is a heartbeat whose reply has not arrived yet.
type sentHeartbeat struct {
	at      time.Time
	version uint64
}

// New returns a Node for the given view, fence and lifecycle; it sets the view's OnChange function.
func New(id string, vie *versionview.View, fen *fence.Fence, lcy *lifecycle.Lifecycle) *Node {
	nod := &Node{id: id, view: vie, fence: fen, lifecycle: lcy, sent: map[uint64]sentHeartbeat{}}
	vie.OnChange = func() {
		nod.changed = true
		nod.fence.SetCutHold(vie.CutHold())
	}
	return nod
}

// Tick sends heartbeats when they are due and fires the events of the lifecycle.
func (nod *Node) Tick() {
	nod.view.Tick()
	if nod.changed || time.Since(nod.lastSent) >= HeartbeatInterval {
		nod.send()
	}
	nod.updateLifecycle()
}

func (nod *Node) send() {
	nod.sequence++
	nod.lastSent = time.Now()
	nod.changed = false
	for sequence, sen := range nod.sent {
		if time.Since(sen.at) >= fence.Lease {
			delete(nod.sent, sequence)
		}
	}
	hea := heartbeat.Heartbeat{
		From:     nod.id,
		Sequence: nod.sequence,
		Current:  nod.view.Current(),
		Prepared: nod.view.Prepared(),
	}
	nod.sent[nod.sequence] = sentHeartbeat{at: nod.lastSent, version: hea.Current.Version}
	if hea.Current.Known() && hea.Current.Version == nod.leaderKnows {
		hea.Version, hea.Current = nod.leaderKnows, versionid.VersionID{}
	}
	nod.SendHeartbeat(hea)
}

func (nod *Node) updateLifecycle() {
	if nod.view.KnownCurrent().Known() {
		nod.lifecycle.Fire(lifecycle.Learned)
	}
	if nod.fence.Check() != reason.None {
		nod.lifecycle.Fire(lifecycle.ContactLost)
		return
	}
	if nod.view.Current().Known() {
		nod.lifecycle.Fire(lifecycle.Ready)
	}
}

// HandleReply handles a reply. Replies may arrive in any order; one that is late or a duplicate does not renew the
// lease.
func (nod *Node) HandleReply(rep heartbeatreply.HeartbeatReply) {
	nod.view.Learn(rep.Current, rep.Prepared)
	if held := nod.view.Prepared(); rep.Aborted != (versionid.VersionID{}) && held == rep.Aborted {
		nod.view.LearnAborted(held)
	}
	sen, pending := nod.sent[rep.Sequence]
	if rep.NeedsFullVersion {
		nod.leaderKnows, nod.changed = 0, true
	} else if pending {
		nod.leaderKnows = sen.version
	}
	if !pending || !rep.OK {
		return
	}
	delete(nod.sent, rep.Sequence)
	nod.fence.RecordContact(sen.at)
	if rep.InStoreRegionContact {
		nod.fence.RecordRegionContact(sen.at.Add(-rep.StoreRegionAge))
	}
}
