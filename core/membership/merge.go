package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/machine"
	"flamingoreach/core/membership/update"
)

// The states of the chart liveness; updates carry alive, suspect, dead and left only.
const (
	unheard   = "unheard"
	alive     = "alive"
	suspect   = "suspect"
	dead      = "dead"
	left      = "left"
	forgotten = "forgotten"
)

const (
	timedOut = "timedOut"
	replaced = "replaced"
	expired  = "expired"
)

const (
	// suspicionTime is the time that a suspect has to refute the suspicion before it is declared dead.
	suspicionTime = 2 * time.Second
	// challengeTime is the age of a suspicion at which this node probes the suspect itself if it has received no
	// refutation, as the update may not have reached the suspect.
	challengeTime = 1200 * time.Millisecond
	// tombstoneTime is how long the entry of a dead or departed member is kept, so that outdated updates do not revive
	// it. It must exceed the longest network partition between two parts of the fleet.
	tombstoneTime = 24 * time.Hour
	// expiryInterval is the time between two searches for entries older than tombstoneTime.
	expiryInterval = time.Minute
)

// merge applies one update to one entry; the guards and actions of the state chart liveness run on it.
type merge struct {
	lis *List
	ent *entry
	upd update.Update
	// kept is set if the entry was left unchanged, reindex if unindex was called, so that fire adds it again.
	kept    bool
	reindex bool
}

var liveness = machine.MustNew(charts.MustLoad("liveness"),
	[]string{alive, suspect, dead, left, timedOut, replaced, expired},
	map[string]func(*merge) bool{
		"newer": func(mer *merge) bool { return mer.upd.Member.Incarnation > mer.ent.member.Incarnation },
		"notOlderInOwnDataCentre": func(mer *merge) bool {
			return mer.upd.Member.Incarnation >= mer.ent.member.Incarnation &&
				mer.ent.member.DataCentre == mer.lis.self.member.DataCentre
		},
		"notOlder": func(mer *merge) bool { return mer.upd.Member.Incarnation >= mer.ent.member.Incarnation },
	},
	map[string]func(*merge){
		"accept":      (*merge).accept,
		"keep":        func(mer *merge) { mer.kept = true },
		"verify":      func(mer *merge) { mer.lis.verify(mer.ent, mer.upd) },
		"declareDead": (*merge).declareDead,
		"forget":      func(mer *merge) { delete(mer.lis.entries, mer.ent.member.ID) },
	})

var livenessRank = map[string]int{unheard: 0, alive: 1, suspect: 2, dead: 3, left: 4}

// applyUpdate merges an update into the list and reports whether the update was outdated, so that the sender should be
// sent the entry of this list.
func (lis *List) applyUpdate(upd update.Update) (outdated bool) {
	if !isValidUpdate(upd) {
		return false
	}
	if upd.Member.ID == lis.self.member.ID {
		lis.refute(upd)
		return false
	}
	ent, known := lis.entries[upd.Member.ID]
	if !known {
		ent = &entry{member: upd.Member, liveness: unheard, position: position(upd.Member.ID)}
		lis.entries[upd.Member.ID] = ent
	}
	mer := &merge{lis: lis, ent: ent, upd: upd}
	lis.fire(mer, upd.Liveness)
	return mer.kept && mer.isUpdateOutdated()
}

// isValidUpdate rejects updates that no node of this version sends. They may come from a row of another writer.
func isValidUpdate(upd update.Update) bool {
	switch upd.Liveness {
	case alive, suspect, dead, left:
		return upd.Member.Validate() == nil
	}
	return false
}

// refute raises this node's incarnation above that of an update about this node, if the update says that this node is
// not alive, or carries a newer incarnation than this node has announced.
func (lis *List) refute(upd update.Update) {
	own := &lis.self.member
	refuted := upd.Liveness != alive && upd.Member.Incarnation >= own.Incarnation
	if lis.leaving || !refuted && upd.Member.Incarnation <= own.Incarnation {
		return
	}
	lis.counts.Refuted++
	lis.unindex(lis.self)
	own.Incarnation = upd.Member.Incarnation + 1
	lis.index(lis.self)
	lis.enqueue(lis.self)
	lis.dirty = true
}

// unindex removes the entry from all indexes before it changes; fire adds it again if it is live after the change.
func (mer *merge) unindex() {
	if mer.ent.isLive() {
		mer.lis.unindex(mer.ent)
	}
	mer.reindex = true
}

// fire passes an event to the state chart liveness. If one of its actions called unindex, fire then adds the entry to
// the indexes, provided that it is live.
func (lis *List) fire(mer *merge, event string) {
	ent := mer.ent
	ent.liveness = liveness.Fire(mer, ent.liveness, event)
	if mer.reindex && ent.isLive() {
		lis.index(ent)
	}
}

func (mer *merge) accept() {
	before := mer.ent.member.Incarnation
	mer.unindex()
	wasLive := mer.ent.isLive()
	mer.ent.member = mer.upd.Member
	mer.ent.since = time.Now()
	mer.ent.challenged = false
	willLive := mer.upd.Liveness == alive || mer.upd.Liveness == suspect
	if wasLive != willLive || before != mer.upd.Member.Incarnation {
		mer.lis.dirty = true
		mer.lis.lastChange = time.Now()
	}
	if mer.lis.synced {
		mer.lis.enqueue(mer.ent)
	}
	if mer.upd.Liveness == dead {
		mer.deleteRow()
	}
}

// declareDead records that the member is dead and queues the update for sending.
func (mer *merge) declareDead() {
	lis := mer.lis
	mer.unindex()
	mer.ent.since = time.Now()
	lis.dirty = true
	lis.lastChange = time.Now()
	lis.counts.Died++
	lis.enqueue(mer.ent)
	mer.deleteRow()
}

// deleteRow deletes a dead member's row from the table if this node is the acting leader of the member's data centre.
func (mer *merge) deleteRow() {
	lis := mer.lis
	if mer.ent.member.DataCentre != lis.self.member.DataCentre || !lis.isActingLeader() {
		return
	}
	lis.counts.RowsDeleted++
	lis.DeleteRow(mer.ent.member.ID)
}

// isUpdateOutdated reports whether the entry takes precedence over the update: left over all other states, then the
// higher incarnation, then the later state in livenessRank. The integer division by the highest rank, that of left, is
// 1 for left and 0 for all other states.
func (mer *merge) isUpdateOutdated() bool {
	return cmp.Or(
		cmp.Compare(livenessRank[mer.ent.liveness]/livenessRank[left], livenessRank[mer.upd.Liveness]/livenessRank[left]),
		cmp.Compare(mer.ent.member.Incarnation, mer.upd.Member.Incarnation),
		cmp.Compare(livenessRank[mer.ent.liveness], livenessRank[mer.upd.Liveness]),
	) > 0
}

// suspect marks a member as suspect, because this node's own probes of it failed, and probes it at once so that it can
// refute.
func (lis *List) suspect(ent *entry) {
	if ent.liveness != alive {
		return
	}
	lis.counts.Suspected++
	lis.applyUpdate(update.Update{Member: ent.member, Liveness: suspect})
	lis.challenge(ent)
}

// endSuspicions challenges the suspects of this data centre and declares dead those that have not refuted in time.
func (lis *List) endSuspicions(now time.Time) {
	for _, ent := range slices.Clone(lis.ring) {
		if ent.liveness != suspect {
			continue
		}
		age := now.Sub(ent.since)
		if age >= suspicionTime {
			lis.fire(&merge{lis: lis, ent: ent}, timedOut)
		} else if age >= challengeTime && !ent.challenged {
			ent.challenged = true
			lis.challenge(ent)
		}
	}
}

// expire deletes the entries of members that died or left longer than tombstoneTime ago.
func (lis *List) expire(now time.Time) {
	if now.Before(lis.nextExpiry) {
		return
	}
	lis.nextExpiry = now.Add(expiryInterval)
	for _, id := range slices.Sorted(maps.Keys(lis.entries)) {
		ent := lis.entries[id]
		if !ent.isLive() && now.Sub(ent.since) >= tombstoneTime {
			lis.fire(&merge{lis: lis, ent: ent}, expired)
		}
	}
}
