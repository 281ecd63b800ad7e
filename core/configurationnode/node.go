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

// HeartbeatInterval is the time between two heartbeats, but for changes, which are told at once.
const HeartbeatInterval = time.Second

// Node is the configuration side of one node.
type Node struct {
	// SendHeartbeat starts to send a heartbeat to the data centre's leader; the reply comes by HeartbeatReply.
	SendHeartbeat func(hb heartbeat.Heartbeat)

	id       string
	view     *versionview.View
	fence    *fence.Fence
	life     *lifecycle.Lifecycle
	sequence uint64
	last     time.Time
	changed  bool
	// sent holds the heartbeats whose reply could still renew the lease.
	sent map[uint64]sending
	// told is the accepted version that the leader has shown to know, or 0.
	told uint64
}

// sending is a heartbeat on its way.
type sending struct {
	at      time.Time
	version uint64
}

// New joins the parts of a node; it takes over the view's Changed function.
func New(id string, vie *versionview.View, fen *fence.Fence, lif *lifecycle.Lifecycle) *Node {
	nod := &Node{id: id, view: vie, fence: fen, life: lif, sent: map[uint64]sending{}}
	vie.Changed = func() {
		nod.changed = true
		nod.fence.SetCutHold(vie.CutHold())
	}
	return nod
}

// Tick sends heartbeats when they are due and moves the node's life on.
func (nod *Node) Tick() {
	nod.view.Tick()
	if nod.changed || time.Since(nod.last) >= HeartbeatInterval {
		nod.send()
	}
	nod.fireLife()
}

func (nod *Node) send() {
	nod.sequence++
	nod.last = time.Now()
	nod.changed = false
	for sequence, sen := range nod.sent {
		if time.Since(sen.at) >= fence.Lease {
			delete(nod.sent, sequence)
		}
	}
	hb := heartbeat.Heartbeat{
		From:     nod.id,
		Sequence: nod.sequence,
		Current:  nod.view.Current(),
		Prepared: nod.view.Prepared(),
	}
	nod.sent[nod.sequence] = sending{at: nod.last, version: hb.Current.Version}
	if hb.Current.Known() && hb.Current.Version == nod.told {
		hb.Version, hb.Current = nod.told, versionid.VersionID{}
	}
	nod.SendHeartbeat(hb)
}

func (nod *Node) fireLife() {
	if nod.view.KnownCurrent().Known() {
		nod.life.Fire(lifecycle.Learned)
	}
	if nod.fence.Check() != reason.None {
		nod.life.Fire(lifecycle.ContactLost)
		return
	}
	if nod.view.Current().Known() {
		nod.life.Fire(lifecycle.Ready)
	}
}

// HeartbeatReply takes a reply in any order; one that is late or doubled renews nothing.
func (nod *Node) HeartbeatReply(rep heartbeatreply.HeartbeatReply) {
	nod.view.Learn(rep.Current, rep.Prepared)
	if held := nod.view.Prepared(); rep.Aborted != (versionid.VersionID{}) && held == rep.Aborted {
		nod.view.LearnAborted(held)
	}
	sen, pending := nod.sent[rep.Sequence]
	if rep.NeedsFullVersion {
		nod.told, nod.changed = 0, true
	} else if pending {
		nod.told = sen.version
	}
	if !pending || !rep.OK {
		return
	}
	delete(nod.sent, rep.Sequence)
	nod.fence.Contact(sen.at)
	if rep.InRegionContact {
		nod.fence.RegionContact(sen.at.Add(-rep.RegionAge))
	}
}
