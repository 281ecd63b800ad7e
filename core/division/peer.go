package division

import (
	"maps"
	"slices"
	"time"

	"flamingoreach/core/demanddigest"
	"flamingoreach/core/demandentry"
	"flamingoreach/core/leaderfence"
)

// peer is what this leader knows of another data centre.
type peer struct {
	epoch      uint64
	lastSent   time.Duration
	receivedAt time.Time
	// confirmedAt is the sending time of the last digest that the peer has confirmed.
	confirmedAt time.Time
	entries     map[string]demandentry.DemandEntry
	// leaderRevision is the revision of the peer's leader row, leaderSince when this revision was first seen, and
	// leaderReadAt when the last read of that row was started.
	leaderRevision uint64
	leaderSince    time.Time
	leaderReadAt   time.Time
}

func (div *Division) peer(name string) *peer {
	pee := div.peers[name]
	if pee == nil {
		pee = &peer{receivedAt: time.Now(), confirmedAt: div.began, entries: map[string]demandentry.DemandEntry{}}
		div.peers[name] = pee
	}
	return pee
}

// ReceiveDigest processes a digest from another data centre's leader, unless it is older than the last.
func (div *Division) ReceiveDigest(dig demanddigest.DemandDigest) {
	if dig.DataCentre == div.dataCentre {
		return
	}
	pee := div.peer(dig.DataCentre)
	if dig.Epoch < pee.epoch || dig.Epoch == pee.epoch && dig.Sent <= pee.lastSent {
		return
	}
	pee.epoch, pee.lastSent, pee.receivedAt = dig.Epoch, dig.Sent, time.Now()
	if at := div.began.Add(dig.LastReceived[div.dataCentre]); !at.After(pee.receivedAt) && at.After(pee.confirmedAt) {
		pee.confirmedAt = at
	}
	for _, den := range dig.Entries {
		pee.entries[den.Account] = den
		if ent := div.entries[den.Account]; ent != nil {
			ent.receive(den)
			div.advance(ent, pee.receivedAt)
		}
	}
}

// receive applies a newer row that the digest contains, or plans a read if it only names a newer revision.
func (ent *entry) receive(den demandentry.DemandEntry) {
	if ent.state != "steady" || den.Revision <= ent.revision {
		return
	}
	if den.Row == nil || ent.busy {
		ent.nextReadAt = time.Now()
		return
	}
	ent.rowRead, ent.readRevision = den.Row.Clone(), den.Revision
	ent.fire("read")
}

// lastContact returns a time at which no other data centre counted this one as silent: every data centre that may take
// over has confirmed a digest sent then or later, or this data centre's leader row was renewed then.
func (div *Division) lastContact() time.Time {
	last := time.Now()
	for _, name := range div.TakeoverDataCentres {
		if name == div.dataCentre {
			continue
		}
		if at := div.peer(name).confirmedAt; at.Before(last) {
			last = at
		}
	}
	if renewed := div.RenewedAt(); renewed.After(last) {
		last = renewed
	}
	return last
}

// takeOverFromLost reads the leader rows of silent data centres, and takes over the allocations of those whose leader row
// does not change either.
func (div *Division) takeOverFromLost(now time.Time) {
	if div.CutHold <= 0 || !slices.Contains(div.TakeoverDataCentres, div.dataCentre) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(div.silent(now))) {
		pee := div.peers[name]
		if now.Sub(pee.leaderReadAt) > div.longestHold()/10 {
			pee.leaderReadAt = now
			div.ReadLeader(name)
		}
		if div.lost(pee, now) {
			div.takeOver(name, pee, now)
		}
	}
}

func (div *Division) longestHold() time.Duration { return max(div.CutHold, div.TakeoverHold) }

// silent returns the data centres with an allocation of any account that have sent no digest for half of the hold.
func (div *Division) silent(now time.Time) map[string]bool {
	silent := map[string]bool{}
	for _, ent := range div.entries {
		for name, alc := range ent.row.Allocations {
			if name == div.dataCentre || alc.Rate == 0 && alc.Burst == 0 {
				continue
			}
			if now.Sub(div.peer(name).receivedAt) > div.longestHold()/2 {
				silent[name] = true
			}
		}
	}
	return silent
}

// lost reports whether a data centre has sent no digest, and its leader row has not changed, for longer than the hold.
func (div *Division) lost(pee *peer, now time.Time) bool {
	hold := div.longestHold() + takeoverMargin
	return !pee.leaderSince.IsZero() && now.Sub(pee.receivedAt) > hold && now.Sub(pee.leaderSince) > hold
}

// LeaderRead is called with the revision of the row of another data centre's leader, which is 0 if there is no row.
func (div *Division) LeaderRead(dataCentre string, revision uint64) {
	pee := div.peer(dataCentre)
	if pee.leaderSince.IsZero() || pee.leaderRevision != revision {
		pee.leaderRevision, pee.leaderSince = revision, time.Now()
	}
}

func (div *Division) takeOver(name string, pee *peer, now time.Time) {
	for _, account := range slices.Sorted(maps.Keys(div.entries)) {
		ent := div.entries[account]
		alc := ent.row.Allocations[name]
		if ent.state != "steady" || ent.busy || alc.Rate == 0 && alc.Burst == 0 {
			continue
		}
		value := ent.row.Clone()
		own := value.Allocations[div.dataCentre]
		own.Rate, own.Burst = own.Rate+alc.Rate, own.Burst+alc.Burst
		alc.Rate, alc.Burst = 0, 0
		value.Allocations[div.dataCentre], value.Allocations[name] = own, alc
		ent.attempt = attempt{value: value, expected: ent.revision, started: now, takeoverFence: &leaderfence.Fence{DataCentre: name, Revision: pee.leaderRevision}}
		ent.fire("change")
	}
}
