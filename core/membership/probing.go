package membership

import (
	"maps"
	"slices"
	"time"

	"flamingoreach/core/membership/ack"
	"flamingoreach/core/membership/probe"
	"flamingoreach/core/membership/update"
)

const (
	probeInterval = time.Second
	// directTimeout is how long a probe may stay unacknowledged before it is retried, directly and through
	// indirectProbes other nodes; indirectTimeout is the same for the retry, after which the target becomes suspect.
	directTimeout   = 400 * time.Millisecond
	indirectTimeout = 600 * time.Millisecond
	indirectProbes  = 2
	// reprobeInterval is the time between probes of dead members, by which a list recovers after a network partition.
	reprobeInterval = 5 * time.Second
	// untracked is the number of the probes that have no attempt: of their results, only the updates in the
	// acknowledgement are used.
	untracked = 0
	// verifyLimit is the number of probes in flight from which reported deaths are no longer verified by a probe, but left
	// to later exchanges.
	verifyLimit = 16
)

// attempt is a probe in flight.
type attempt struct {
	target *entry
	sent   time.Time
	// disputed holds updates of other nodes that the target is not alive, for the target to refute; it may be empty.
	disputed []update.Update
	// outstanding is the number of messages of this probe that may still be acknowledged.
	outstanding int
	indirect    bool
	// introduction marks a probe that carries this node's own entry to the target; its failure is ignored.
	introduction bool
	deadline     time.Time
}

// probe probes two members each probeInterval: the successor on the ring, so that each member is probed every second,
// and a random member.
func (lis *List) probe(now time.Time) {
	if now.Before(lis.nextProbe) {
		return
	}
	if lis.nextProbe.IsZero() {
		// A random phase spreads the fleet's probes over the interval.
		lis.nextProbe = now.Add(probeInterval * time.Duration(lis.Random(jitterSteps)) / jitterSteps)
		return
	}
	lis.nextProbe = now.Add(probeInterval)
	if len(lis.ring) == 0 {
		return
	}
	lis.probeTarget(lis.successor(lis.self), now)
	lis.probeTarget(lis.ring[lis.Random(len(lis.ring))], now)
}

// successor returns the member that follows another one on the ring, which must not be empty.
func (lis *List) successor(ent *entry) *entry {
	at, found := slices.BinarySearchFunc(lis.ring, ent, byPosition)
	if found {
		at++
	}
	return lis.ring[at%len(lis.ring)]
}

func (lis *List) probeTarget(target *entry, now time.Time) {
	lis.start(&attempt{target: target, sent: now, outstanding: 1, deadline: now.Add(directTimeout)})
}

// disputesSelf reports whether an update says that this node is not alive, so that its sender needs this node's entry.
func (lis *List) disputesSelf(upd update.Update) bool {
	return upd.Member.ID == lis.self.member.ID && upd.Liveness != alive
}

// challenge sends a probe with this list's entry of the target, so that the target can refute it in the
// acknowledgement.
func (lis *List) challenge(ent *entry) { lis.sendUntracked(&attempt{target: ent}) }

func (lis *List) sendUntracked(att *attempt) {
	lis.counts.ProbesSent++
	lis.SendProbe(untracked, att.target.member.Peer, lis.newProbe(att))
}

// verify probes a member that is alive in this list and reported dead by another node.
func (lis *List) verify(target *entry, disputed update.Update) {
	if len(lis.attempts) >= verifyLimit {
		return
	}
	now := time.Now()
	lis.start(&attempt{
		target: target, sent: now, outstanding: 1, deadline: now.Add(directTimeout), disputed: []update.Update{disputed},
	})
}

// start sends a tracked probe unless a probe of the target is already in flight.
func (lis *List) start(att *attempt) {
	for _, other := range lis.attempts {
		if other.target == att.target {
			return
		}
	}
	lis.lastProbeNumber++
	lis.attempts[lis.lastProbeNumber] = att
	lis.counts.ProbesSent++
	lis.SendProbe(lis.lastProbeNumber, att.target.member.Peer, lis.newProbe(att))
}

func (lis *List) newProbe(att *attempt) probe.Probe {
	own := lis.self.member
	pro := probe.Probe{
		Sender: own.ID, Peer: own.Peer, Target: att.target.member.ID,
		Digest: lis.digest, Updates: append(lis.takeUpdates(att.target), att.disputed...),
	}
	if att.introduction && !slices.ContainsFunc(pro.Updates, func(upd update.Update) bool { return upd.Member.ID == own.ID }) {
		pro.Updates = append(pro.Updates, lis.self.update())
	}
	return pro
}

// ProbeReceived handles a probe and returns its acknowledgement.
func (lis *List) ProbeReceived(pro probe.Probe) ack.Ack {
	lis.begin()
	lis.counts.ProbesReceived++
	_, known := lis.entries[pro.Sender]
	lis.applyUpdates(pro.Updates)
	lis.compare(pro.Digest, pro.Peer)
	reply := ack.Ack{Sender: lis.self.member.ID, Digest: lis.digest, Updates: lis.takeUpdates(lis.entries[pro.Sender])}
	if !known || slices.ContainsFunc(pro.Updates, lis.disputesSelf) {
		reply.Updates = append(reply.Updates, lis.self.update())
	}
	return reply
}

// ProbeAcked handles the acknowledgement of a direct or indirect probe.
func (lis *List) ProbeAcked(number uint64, ack ack.Ack) {
	lis.begin()
	lis.applyUpdates(ack.Updates)
	att, known := lis.attempts[number]
	if !known {
		return
	}
	delete(lis.attempts, number)
	if ack.Sender != att.target.member.ID {
		// Another node answers at the target's address, so the target's process has ended.
		lis.fire(&merge{lis: lis, ent: att.target}, replaced)
		return
	}
	lis.compare(ack.Digest, att.target.member.Peer)
	if lis.OnContact != nil {
		lis.OnContact(att.sent)
	}
}

// ProbeFailed reports that one message of a probe will get no acknowledgement.
func (lis *List) ProbeFailed(number uint64) {
	now := lis.begin()
	att, known := lis.attempts[number]
	if !known {
		return
	}
	att.outstanding--
	if att.outstanding <= 0 {
		lis.probeTimedOut(number, att, now)
	}
}

func (lis *List) failLateProbes(now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(lis.attempts)) {
		if att := lis.attempts[number]; !now.Before(att.deadline) {
			lis.probeTimedOut(number, att, now)
		}
	}
}

// probeTimedOut retries a failed probe directly and through other nodes, and marks the target as suspect if the retry
// fails too.
func (lis *List) probeTimedOut(number uint64, att *attempt, now time.Time) {
	if !att.target.isLive() || att.introduction {
		delete(lis.attempts, number)
		return
	}
	if att.indirect {
		delete(lis.attempts, number)
		lis.counts.ProbesFailed++
		lis.suspect(att.target)
		return
	}
	att.indirect = true
	att.deadline = now.Add(indirectTimeout)
	// This counts the retried message. After a timeout the first one still counts, as its failure may yet be reported.
	att.outstanding++
	lis.counts.ProbesSent++
	lis.SendProbe(number, att.target.member.Peer, lis.newProbe(att))
	for _, through := range lis.pick(indirectProbes, att.target) {
		att.outstanding++
		lis.counts.IndirectProbesSent++
		lis.SendIndirectProbe(number, through.member.Peer, att.target.member.Peer, lis.newProbe(att))
	}
	// A dead target no longer probes its own successor, and members of one rack often die together.
	lis.probeTarget(lis.successor(att.target), now)
}

// reprobe probes a random dead member of this data centre with its entry in this list, so that it refutes if it is
// alive.
func (lis *List) reprobe(now time.Time) {
	if now.Before(lis.nextReprobe) {
		return
	}
	lis.nextReprobe = now.Add(reprobeInterval)
	var candidates []*entry
	for _, ent := range lis.entries {
		if ent.liveness == dead && ent.member.DataCentre == lis.self.member.DataCentre {
			candidates = append(candidates, ent)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, byID)
	lis.challenge(candidates[lis.Random(len(candidates))])
}

// pick returns up to count different random members of this data centre that are alive, without the given one.
func (lis *List) pick(count int, without *entry) []*entry {
	var picked []*entry
	for range count {
		ent := lis.ring[lis.Random(len(lis.ring))]
		if ent != without && ent.liveness == alive && !slices.Contains(picked, ent) {
			picked = append(picked, ent)
		}
	}
	return picked
}
