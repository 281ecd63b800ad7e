package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/machine"
	"flamingoreach/core/member"
	"flamingoreach/core/membership/change"
	"flamingoreach/core/membership/counts"
	"flamingoreach/core/membership/exchange"
	"flamingoreach/core/membership/memberrow"
	"flamingoreach/core/membership/probe"
)

// The states of the chart backendServer.
const (
	Announced = "announced"
	Warming   = "warming"
	Serving   = "serving"
	Ejected   = "ejected"
	Draining  = "draining"
	Gone      = "gone"
)

// pauseLimit is the gap between two inputs above which the node distrusts its own timers.
const pauseLimit = time.Second

// List is control state; its methods are called on the control thread only.
type List struct {
	// SendProbe starts a probe; its end comes back as ProbeAcked or ProbeFailed with the same number.
	// Number 0 marks a probe whose failure means nothing.
	SendProbe func(number uint64, peer netip.AddrPort, pro probe.Probe)
	// SendIndirectProbe has another node pass the probe on to its target and the acknowledgement back.
	SendIndirectProbe func(number uint64, through, target netip.AddrPort, pro probe.Probe)
	// SendExchange starts an exchange; its end comes back as ExchangeAnswered or ExchangeFailed.
	SendExchange func(peer netip.AddrPort, exc exchange.Exchange)
	// WriteRow and DeleteRow change a member's row whatever its revision; a failure comes back as RowFailed.
	WriteRow  func(row memberrow.Row)
	DeleteRow func(id string)
	// Publish is given all live members, in the order of their IDs, after a change; the slice is the receiver's.
	Publish func(members []member.Member)
	// Leader names the leader of a data centre, if one is known.
	Leader func(dataCentre string) (id string, known bool)
	// Contacted, if set, is told when another node of the data centre was certainly reached: the probe's start.
	Contacted func(at time.Time)
	// Random returns a number from 0 to limit-1.
	Random func(limit int) int

	self *entry
	// changed is set by the chart's action while LocalChanged runs.
	changed     bool
	leaving     bool
	seeds       []netip.AddrPort
	entries     map[string]*entry
	live        []*entry
	services    map[string][]*entry
	dataCentres map[string]*dataCentre
	// ring holds the other live members of this data centre, each probed by its predecessor.
	ring   []*entry
	digest uint64

	attempts map[uint64]*attempt
	number   uint64
	pending  []pendingNews
	differs  netip.AddrPort
	// opened is the own digest when the last exchange was started.
	opened  uint64
	reached bool
	synced  bool
	dirty   bool
	counts  counts.Counts

	lastInput    time.Time
	lastChange   time.Time
	lastExchange time.Time
	nextProbe    time.Time
	nextReprobe  time.Time
	nextGossip   time.Time
	nextAcross   time.Time
	nextRow      time.Time
	nextExpiry   time.Time
}

var backendServer = machine.MustNew(charts.Must("backendServer"),
	[]string{change.WarmUp, change.Serve, change.Eject, change.Drain, change.Stop},
	map[string]func(*List) bool{"staying": func(lis *List) bool { return !lis.leaving }},
	map[string]func(*List){"announce": func(lis *List) { lis.changed = true }})

// New returns a list that knows only its own node; seeds are addresses to ask first, and may be empty.
func New(self member.Member, seeds []netip.AddrPort) *List {
	now := time.Now()
	self.State = backendServer.Initial()
	self.Incarnation = 1
	lis := &List{
		SendProbe:         func(uint64, netip.AddrPort, probe.Probe) {},
		SendIndirectProbe: func(uint64, netip.AddrPort, netip.AddrPort, probe.Probe) {},
		SendExchange:      func(netip.AddrPort, exchange.Exchange) {},
		WriteRow:          func(memberrow.Row) {},
		DeleteRow:         func(string) {},
		Publish:           func([]member.Member) {},
		Leader:            func(string) (string, bool) { return "", false },
		Random:            rand.IntN,
		seeds:             seeds,
		entries:           map[string]*entry{},
		services:          map[string][]*entry{},
		dataCentres:       map[string]*dataCentre{},
		attempts:          map[uint64]*attempt{},
		lastInput:         now,
		nextReprobe:       now.Add(reprobeInterval),
		nextExpiry:        now.Add(expiryInterval),
	}
	lis.self = &entry{member: self, liveness: alive, since: now, position: position(self.ID)}
	lis.entries[self.ID] = lis.self
	lis.index(lis.self)
	lis.spread(lis.self)
	return lis
}

// Tick does the work that is due; it is called about every 100 ms.
func (lis *List) Tick() {
	now := lis.begin()
	lis.failLateProbes(now)
	lis.endSuspicions(now)
	lis.expire(now)
	if !lis.leaving {
		lis.probe(now)
		lis.reprobe(now)
		lis.exchange(now)
		lis.exchangeAcross(now)
		lis.refreshRow(now)
	}
	lis.gossip(now)
	if lis.dirty {
		lis.dirty = false
		lis.counts.Published++
		lis.Publish(lis.Members())
	}
}

// LocalChanged takes an event of the backend server beside this node.
func (lis *List) LocalChanged(cha change.Change) {
	lis.begin()
	lis.changed = false
	state := backendServer.Fire(lis, lis.self.member.State, cha.Event)
	mem := lis.self.member
	if !lis.changed && cha.Service == mem.Service && cha.Slots == mem.Slots {
		return
	}
	lis.announce(func(mem *member.Member) {
		mem.State = state
		mem.Service = cha.Service
		mem.Slots = cha.Slots
	})
	lis.tellAcross()
}

// Leave says that this node goes; Tick must run on until Settled.
func (lis *List) Leave() {
	lis.begin()
	if lis.leaving {
		return
	}
	lis.leaving = true
	state := backendServer.Fire(lis, lis.self.member.State, change.Stop)
	lis.unindex(lis.self)
	lis.self.member.State = state
	lis.self.member.Incarnation++
	lis.self.liveness = left
	lis.spread(lis.self)
	lis.dirty = true
	lis.counts.RowsDeleted++
	lis.DeleteRow(lis.self.member.ID)
}

// Settled reports whether the news that this node has left was sent as often as it will be.
func (lis *List) Settled() bool {
	own := func(pen pendingNews) bool { return pen.ent == lis.self }
	return lis.leaving && (len(lis.ring) == 0 || !slices.ContainsFunc(lis.pending, own))
}

// Synced reports whether this list agreed once with another one, or has found nobody to ask.
func (lis *List) Synced() bool { return lis.synced }

// Self returns this node's own entry.
func (lis *List) Self() member.Member { return lis.self.member }

// Members returns all live members in the order of their IDs.
func (lis *List) Members() []member.Member { return membersOf(lis.live) }

// Service returns the live members of a service in the order of their IDs.
func (lis *List) Service(name string) []member.Member { return membersOf(lis.services[name]) }

// Counts returns numbers of messages and events since the start.
func (lis *List) Counts() counts.Counts { return lis.counts }

// LastHeard returns when an exchange with a node of the data centre last ended well; zero if never.
func (lis *List) LastHeard(name string) time.Time {
	if cen, known := lis.dataCentres[name]; known {
		return cen.heard
	}
	return time.Time{}
}

// announce changes this node's own entry under a new incarnation.
func (lis *List) announce(edit func(mem *member.Member)) {
	lis.unindex(lis.self)
	edit(&lis.self.member)
	lis.self.member.Incarnation++
	lis.index(lis.self)
	lis.spread(lis.self)
	lis.dirty = true
}

// begin notes an input; after a gap the probes under way prove nothing, and suspects get the gap as extra time.
func (lis *List) begin() time.Time {
	now := time.Now()
	gap := now.Sub(lis.lastInput)
	lis.lastInput = now
	if gap <= pauseLimit {
		return now
	}
	lis.counts.Pauses++
	clear(lis.attempts)
	for _, ent := range lis.ring {
		if ent.liveness == suspect {
			ent.since = ent.since.Add(gap)
		}
	}
	return now
}

func membersOf(entries []*entry) []member.Member {
	members := make([]member.Member, 0, len(entries))
	for _, ent := range entries {
		members = append(members, ent.member)
	}
	return members
}
