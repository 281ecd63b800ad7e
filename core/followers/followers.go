package followers

import (
	"time"

	"flamingoreach/core/followers/confirmation"
	"flamingoreach/core/member"
)

// perDataCentre is the number of nodes that follow the store in each data centre. One may be gone unnoticed, and another
// turned away by the store, without the data centre depending on the others.
const perDataCentre = 3

// isolatedAfter is the number of requests to other nodes, one after the other, whose failure means that this node may be cut
// off from them. The members take longer to find that out.
const isolatedAfter = 3

// asksUntilStandIn is the number of intervals between two requests to other nodes after which a confirmation of any
// follower has normally reached each node.
const asksUntilStandIn = 4

// asksUntilNextTurn is the number of these intervals for which each perDataCentre nodes, in order, wait for those before
// them to stand in. While the store is away for all, it bounds how many nodes ask it in vain.
const asksUntilNextTurn = 2

// Followers tells whether a node follows the store. All nodes with the same members agree, without messages. Where they
// differ, for example after a start or during a partition, more nodes follow than needed rather than fewer.
//
// Followers may lose the store and still answer other nodes. Each node therefore passes on the latest confirmation that it
// knows of. When these stop coming, the next nodes in order stand in until one that is before them follows again. The
// methods are called on the control thread only.
type Followers struct {
	// OnStandIn, if set, is called when this node starts or stops standing in, with the time since the latest confirmation
	// to another node.
	OnStandIn func(standsIn bool, since time.Duration)

	id, dataCentre string
	// askInterval returns the time between two requests of a node to other nodes.
	askInterval func() time.Duration
	// failed counts the latest requests to other nodes that failed one after the other.
	failed int
	// heard is the time of the latest confirmation to another node, follower that node's ID. heardBefore is the time of the
	// latest one to a node whose ID is before this node's.
	heard, heardBefore time.Time
	follower           string
	standsIn           bool
}

// New returns the choice for the node with an ID in a data centre, which asks another node for its version at intervals.
func New(id, dataCentre string, askInterval func() time.Duration) *Followers {
	return &Followers{id: id, dataCentre: dataCentre, askInterval: askInterval, heard: time.Now()}
}

// RecordAsk records the result of a request to another node for its version.
func (fol *Followers) RecordAsk(err error) {
	if err == nil {
		fol.failed = 0
		return
	}
	fol.failed++
}

// RecordConfirmation records what another node knew at a time. This node's version must be at least as new as that node's.
func (fol *Followers) RecordConfirmation(at time.Time, con confirmation.Confirmation) {
	if con.Follower == "" || con.Follower == fol.id || con.Age < 0 {
		return
	}
	at = at.Add(-con.Age)
	if at.After(fol.heard) {
		fol.heard, fol.follower = at, con.Follower
	}
	if con.Follower < fol.id && at.After(fol.heardBefore) {
		fol.heardBefore = at
	}
}

// Confirmation returns the latest confirmation that this node knows of, given the time of the latest one to itself, which
// is zero if there is none.
func (fol *Followers) Confirmation(own time.Time) confirmation.Confirmation {
	if own.After(fol.heard) {
		return confirmation.Confirmation{Follower: fol.id, Age: time.Since(own)}
	}
	return confirmation.Confirmation{Follower: fol.follower, Age: time.Since(fol.heard)}
}

// IncludeSelf reports whether this node follows the store, given the live members, and records whether it stands in for
// others by that. It answers the load of a fleet whose
// calls to the store grow with its hosts. IDs are random, so that their order spreads the work.
func (fol *Followers) IncludeSelf(members []member.Member) bool {
	if fol.failed >= isolatedAfter {
		return true
	}
	before := 0
	for _, mem := range members {
		if mem.DataCentre == fol.dataCentre && mem.ID < fol.id {
			before++
		}
	}
	if before < perDataCentre {
		fol.setStandsIn(false)
		return true
	}
	fol.setStandsIn(fol.mustStandIn(before))
	return fol.standsIn
}

// mustStandIn reports whether this node follows in place of followers that have lost the store. It waits longer the more
// nodes are before it, so that these try first.
func (fol *Followers) mustStandIn(before int) bool {
	interval := fol.askInterval()
	silence := asksUntilStandIn * interval
	if fol.standsIn {
		return time.Since(fol.heardBefore) >= silence
	}
	turn := before/perDataCentre - 1
	return time.Since(fol.heard) >= silence+time.Duration(turn*asksUntilNextTurn)*interval
}

func (fol *Followers) setStandsIn(standsIn bool) {
	if standsIn == fol.standsIn {
		return
	}
	fol.standsIn = standsIn
	if fol.OnStandIn != nil {
		fol.OnStandIn(standsIn, time.Since(fol.heard))
	}
}
