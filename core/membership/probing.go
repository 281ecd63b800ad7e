package membership

import (
	"maps"
	"slices"
	"time"

	"flamingoreach/core/membership/ack"
	"flamingoreach/core/membership/news"
	"flamingoreach/core/membership/probe"
)

const (
	probeInterval   = time.Second
	directTimeout   = 400 * time.Millisecond
	indirectTimeout = 600 * time.Millisecond
	indirectProbes  = 2
	// reprobeInterval is the time between probes of members taken to be dead, by which a cut heals.
	reprobeInterval = 5 * time.Second
	// untracked marks probes whose failure means nothing.
	untracked = 0
	// verifyLimit bounds the probes under way above which news of deaths is not verified but left to later exchanges.
	verifyLimit = 16
)

// attempt is a probe under way.
type attempt struct {
	target *entry
	sent   time.Time
	// doubt is what others believe of the target, for the target to refute; it may be empty.
	doubt []news.News
	// waiting is the number of messages that may still be acknowledged.
	waiting  int
	indirect bool
	// greeting says that the probe tells the target of this node, and that its failure means nothing.
	greeting bool
	deadline time.Time
}

// probe tests the successor on the ring, so that each member is tested every second, and a random member.
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
	lis.start(&attempt{target: target, sent: now, waiting: 1, deadline: now.Add(directTimeout)})
}

// doubtsSelf reports whether the sender of the news is to be told again that this node is alive.
func (lis *List) doubtsSelf(nws news.News) bool {
	return nws.Member.ID == lis.self.member.ID && nws.Liveness != alive
}

// challenge lets a member know what this list believes of it, so that it can refute in its acknowledgement.
func (lis *List) challenge(ent *entry) { lis.sendUntracked(&attempt{target: ent}) }

func (lis *List) sendUntracked(att *attempt) {
	lis.counts.ProbesSent++
	lis.SendProbe(untracked, att.target.member.Peer, lis.newProbe(att))
}

// verify probes a member that this list takes to be alive and others take to be dead.
func (lis *List) verify(target *entry, doubt news.News) {
	if len(lis.attempts) >= verifyLimit {
		return
	}
	now := time.Now()
	lis.start(&attempt{
		target: target, sent: now, waiting: 1, deadline: now.Add(directTimeout), doubt: []news.News{doubt},
	})
}

// start sends a probe unless one of the target is under way.
func (lis *List) start(att *attempt) {
	for _, other := range lis.attempts {
		if other.target == att.target {
			return
		}
	}
	lis.number++
	lis.attempts[lis.number] = att
	lis.counts.ProbesSent++
	lis.SendProbe(lis.number, att.target.member.Peer, lis.newProbe(att))
}

func (lis *List) newProbe(att *attempt) probe.Probe {
	own := lis.self.member
	pro := probe.Probe{
		Sender: own.ID, Peer: own.Peer, Target: att.target.member.ID,
		Digest: lis.digest, News: append(lis.takeNews(att.target), att.doubt...),
	}
	if att.greeting && !slices.ContainsFunc(pro.News, func(nws news.News) bool { return nws.Member.ID == own.ID }) {
		pro.News = append(pro.News, lis.self.news())
	}
	return pro
}

// ProbeReceived takes in a probe and returns its acknowledgement.
func (lis *List) ProbeReceived(pro probe.Probe) ack.Ack {
	lis.begin()
	lis.counts.ProbesReceived++
	_, known := lis.entries[pro.Sender]
	lis.hearAll(pro.News)
	lis.compare(pro.Digest, pro.Peer)
	reply := ack.Ack{Sender: lis.self.member.ID, Digest: lis.digest, News: lis.takeNews(lis.entries[pro.Sender])}
	if !known || slices.ContainsFunc(pro.News, lis.doubtsSelf) {
		reply.News = append(reply.News, lis.self.news())
	}
	return reply
}

// ProbeAcked takes in the acknowledgement of a direct or indirect probe.
func (lis *List) ProbeAcked(number uint64, ack ack.Ack) {
	lis.begin()
	lis.hearAll(ack.News)
	att, known := lis.attempts[number]
	if !known {
		return
	}
	delete(lis.attempts, number)
	if ack.Sender != att.target.member.ID {
		// Another node answers at the address.
		lis.fire(&merge{lis: lis, ent: att.target}, replaced)
		return
	}
	lis.compare(ack.Digest, att.target.member.Peer)
	if lis.Contacted != nil {
		lis.Contacted(att.sent)
	}
}

// ProbeFailed says that one message of a probe certainly gets no acknowledgement.
func (lis *List) ProbeFailed(number uint64) {
	now := lis.begin()
	att, known := lis.attempts[number]
	if !known {
		return
	}
	att.waiting--
	if att.waiting <= 0 {
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

// probeTimedOut repeats a failed probe directly and through others, and suspects the target when that fails too.
func (lis *List) probeTimedOut(number uint64, att *attempt, now time.Time) {
	if !att.target.isLive() || att.greeting {
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
	// After a timeout the first message may still fail.
	att.waiting++
	lis.counts.ProbesSent++
	lis.SendProbe(number, att.target.member.Peer, lis.newProbe(att))
	for _, through := range lis.pick(indirectProbes, att.target) {
		att.waiting++
		lis.counts.IndirectProbesSent++
		lis.SendIndirectProbe(number, through.member.Peer, att.target.member.Peer, lis.newProbe(att))
	}
	// A dead target tests its own successor no more, and members of one rack often die together.
	lis.probeTarget(lis.successor(att.target), now)
}

// reprobe tells a random dead member of this data centre that it is taken to be dead, so that it refutes if it lives.
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

// pick returns up to count different members of this data centre, without the one left out.
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
