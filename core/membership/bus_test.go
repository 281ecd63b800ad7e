package membership_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"flamingoreach/core/member"
	"flamingoreach/core/membership"
	"flamingoreach/core/membership/change"
	"flamingoreach/core/membership/exchange"
	"flamingoreach/core/membership/memberrow"
	"flamingoreach/core/membership/probe"
)

const (
	latency      = time.Millisecond
	tickInterval = 100 * time.Millisecond
)

// node is a node on the bus with its membership list.
type node struct {
	list      *membership.List
	peer      netip.AddrPort
	published []member.Member
	stopped   bool
	frozen    bool
	rows      map[string]memberrow.Row
	deleted   []string
}

// bus carries messages between the lists of its nodes, by the clock of a synctest bubble.
type bus struct {
	random *rand.Rand
	nodes  []*node
	byPeer map[netip.AddrPort]*node
	due    []delivery
	// drop is the probability that a message is lost; partitioned reports whether two nodes cannot reach each other.
	drop        float64
	partitioned func(from, to *node) bool
	seeds       []netip.AddrPort
	// bytes, if set, sums up the JSON size of the messages that each node sends.
	bytes map[*node]int
	// lost holds the IDs of members that disappeared from any node's published list; in tests in which no node dies it
	// must stay empty.
	lost []string
}

type delivery struct {
	at    time.Time
	apply func()
}

func newBus(seed uint64) *bus {
	return &bus{
		random: rand.New(rand.NewPCG(seed, 0)), byPeer: map[netip.AddrPort]*node{},
		partitioned: func(_, _ *node) bool { return false },
	}
}

// add starts a node at the next unused address.
func (bu *bus) add(dataCentre string) *node {
	number := len(bu.nodes)
	address := netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)})
	return bu.addAt(dataCentre, netip.AddrPortFrom(address, 7000))
}

func (bu *bus) addAt(dataCentre string, peer netip.AddrPort) *node {
	nod := &node{peer: peer, rows: map[string]memberrow.Row{}}
	lis := membership.New(member.Member{
		ID: fmt.Sprintf("%s-%04d", dataCentre, len(bu.nodes)), Peer: peer, DataCentre: dataCentre,
		Region: "region", Service: "quotes", Slots: 90, Started: time.Now(),
	}, bu.seeds)
	lis.Random = bu.random.IntN
	lis.SendProbe = func(number uint64, to netip.AddrPort, pro probe.Probe) {
		bu.send(nod, bu.byPeer[to], pro, func(target *node) {
			reply := target.list.ProbeReceived(pro)
			bu.send(target, nod, reply, func(*node) { lis.ProbeAcked(number, reply) })
		})
	}
	lis.SendIndirectProbe = func(number uint64, through, to netip.AddrPort, pro probe.Probe) {
		bu.send(nod, bu.byPeer[through], pro, func(relay *node) {
			bu.send(relay, bu.byPeer[to], pro, func(target *node) {
				reply := target.list.ProbeReceived(pro)
				bu.send(target, relay, reply, func(*node) {
					bu.send(relay, nod, reply, func(*node) { lis.ProbeAcked(number, reply) })
				})
			})
		})
	}
	lis.SendExchange = func(to netip.AddrPort, exc exchange.Exchange) {
		bu.send(nod, bu.byPeer[to], exc, func(target *node) {
			reply := target.list.ExchangeReceived(exc)
			bu.send(target, nod, reply, func(*node) { lis.ExchangeAnswered(to, reply) })
		})
	}
	lis.WriteRow = func(row memberrow.Row) { nod.rows[row.Member.ID] = row }
	lis.DeleteRow = func(id string) { nod.deleted = append(nod.deleted, id) }
	lis.Publish = func(members []member.Member) { bu.publish(nod, members) }
	nod.list = lis
	bu.nodes = append(bu.nodes, nod)
	bu.byPeer[peer] = nod
	return nod
}

// addAll starts the nodes of a data centre; the first node of the first data centre is the seed of all others.
func (bu *bus) addAll(dataCentre string, count int) []*node {
	var added []*node
	for range count {
		nod := bu.add(dataCentre)
		if len(bu.seeds) == 0 {
			bu.seeds = []netip.AddrPort{nod.peer}
		}
		added = append(added, nod)
	}
	for _, nod := range added {
		nod.list.LocalServerChanged(change.Change{Event: change.Serve, Service: "quotes", Slots: 90})
	}
	return added
}

func (bu *bus) publish(nod *node, members []member.Member) {
	for _, old := range nod.published {
		if !slices.ContainsFunc(members, func(mem member.Member) bool { return mem.ID == old.ID }) {
			bu.recordLost(old.ID)
		}
	}
	nod.published = members
}

func (bu *bus) recordLost(id string) {
	if !slices.Contains(bu.lost, id) {
		bu.lost = append(bu.lost, id)
	}
}

func (bu *bus) send(from, to *node, message any, apply func(to *node)) {
	if bu.bytes != nil {
		text, _ := json.Marshal(message)
		bu.bytes[from] += len(text)
	}
	if to == nil || to.frozen || bu.random.Float64() < bu.drop || bu.partitioned(from, to) {
		return
	}
	at := time.Now().Add(latency)
	bu.due = append(bu.due, delivery{at, func() {
		if !to.stopped && !to.frozen {
			apply(to)
		}
	}})
}

// run advances the clock until the condition holds or the span is over, and returns the time taken.
func (bu *bus) run(span time.Duration, until func() bool) time.Duration {
	started := time.Now()
	for time.Since(started) < span {
		for _, nod := range bu.nodes {
			if !nod.stopped && !nod.frozen {
				nod.list.Tick()
			}
		}
		bu.deliver(time.Now().Add(tickInterval))
		if until != nil && until() {
			break
		}
	}
	return time.Since(started)
}

// deliver delivers the messages due by the end; all take the same time, so the queue is in order.
func (bu *bus) deliver(end time.Time) {
	for len(bu.due) > 0 && !bu.due[0].at.After(end) {
		next := bu.due[0]
		bu.due = bu.due[1:]
		time.Sleep(time.Until(next.at))
		next.apply()
	}
	time.Sleep(time.Until(end))
}

// agree reports whether each running node publishes exactly the running nodes.
func (bu *bus) agree() bool {
	var ids []string
	for _, nod := range bu.nodes {
		if !nod.stopped {
			ids = append(ids, nod.list.Self().ID)
		}
	}
	slices.SortFunc(ids, cmp.Compare[string])
	for _, nod := range bu.nodes {
		if !nod.stopped && !slices.EqualFunc(nod.published, ids, func(mem member.Member, id string) bool { return mem.ID == id }) {
			return false
		}
	}
	return true
}

// all reports whether all running nodes publish a member in the state; "" means that it is not published.
func (bu *bus) all(id, state string) bool {
	for _, nod := range bu.nodes {
		found := ""
		for _, mem := range nod.published {
			if mem.ID == id {
				found = mem.State
			}
		}
		if !nod.stopped && found != state {
			return false
		}
	}
	return true
}
