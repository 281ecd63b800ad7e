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

// pauseLimit is the time without any input, Tick included, after which the process is taken to have been paused, so
// that its timers prove nothing about other nodes.
const pauseLimit = time.Second

// List is the membership list of one node. It is control state: its methods are called on the control thread only.
type List struct {
	// SendProbe sends a probe; its result is reported by ProbeAcked or ProbeFailed with the same number.
	// Number 0 marks a probe whose failure is ignored.
	SendProbe func(number uint64, peer netip.AddrPort, pro probe.Probe)
	// SendIndirectProbe asks another node to relay the probe to its target and the acknowledgement back.
	SendIndirectProbe func(number uint64, through, target netip.AddrPort, pro probe.Probe)
	// SendExchange sends an exchange request; its result is reported by ExchangeAnswered or ExchangeFailed.
	SendExchange func(peer netip.AddrPort, exc exchange.Exchange)
	// WriteRow and DeleteRow change a member's row in the table whatever its revision. RowWritten reports that WriteRow
	// succeeded, RowFailed that it failed.
	WriteRow  func(row memberrow.Row)
	DeleteRow func(id string)
	// Publish is called after a change with all live members in the order of their IDs; the receiver owns the slice.
	Publish func(members []member.Member)
	// Leader returns the ID of the leader of a data centre, if one is known.
	Leader func(dataCentre string) (id string, known bool)
	// OnContact, if set, is called when a node acknowledges a tracked probe, with the time at which the probe was sent:
	// the node was reached then or later.
	OnContact func(at time.Time)
	// Random returns a number from 0 to limit-1.
	Random func(limit int) int

	self *entry
	// changed is set by the chart's action announce while LocalServerChanged runs.
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

	attempts        map[uint64]*attempt
	lastProbeNumber uint64
	pendingUpdates  []pendingUpdate
	// differingPeer is the address of a node whose last digest differed from this list's; it is invalid if there is
	// none.
	differingPeer netip.AddrPort
	// openingDigest is this list's digest at the time when it last started an exchange.
	openingDigest uint64
	// peerAnswered is set once another node has answered an exchange.
	peerAnswered bool
	synced       bool
	// dirty is set when the published members are out of date.
	dirty  bool
	counts counts.Counts

	lastInput         time.Time
	lastChange        time.Time
	lastExchange      time.Time
	nextProbe         time.Time
	nextReprobe       time.Time
	nextGossip        time.Time
	nextCrossExchange time.Time
	nextRow           time.Time
	// rowWritten is set once this node's row was written; before, rowRetry is the time until the write is tried again.
	rowWritten bool
	rowRetry   time.Duration
	// repeatsDeletions is set while this node deletes rows of members that have died or left again, see RepeatRow.
	repeatsDeletions bool
	nextExpiry       time.Time
}

var backendServer = machine.MustNew(charts.MustLoad("backendServer"),
	[]string{change.WarmUp, change.Serve, change.Eject, change.Drain, change.Stop},
	map[string]func(*List) bool{"notLeaving": func(lis *List) bool { return !lis.leaving }},
	map[string]func(*List){"announce": func(lis *List) { lis.changed = true }})

// New returns a list that holds only its own node. Seeds are the addresses of nodes to contact first; they may be
// empty.
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
	lis.enqueue(lis.self)
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
		lis.exchangeWithDataCentres(now)
		lis.refreshRow(now)
	}
	lis.gossip(now)
	if lis.dirty {
		lis.dirty = false
		lis.counts.Published++
		lis.Publish(lis.Members())
	}
}

// LocalServerChanged handles an event of this node's own backend server, and announces its state, service and slots to
// other nodes if one of them changed.
func (lis *List) LocalServerChanged(cha change.Change) {
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
	lis.notifyDataCentres()
}

// ColdRateChanged announces the rate of calls that this node's backend server can handle while it is cold, or 0 if it is not
// cold, to other nodes if it has changed.
func (lis *List) ColdRateChanged(rate float64) {
	if lis.leaving || lis.self.member.ColdRate == rate {
		return
	}
	lis.begin()
	lis.announce(func(mem *member.Member) { mem.ColdRate = rate })
	lis.notifyDataCentres()
}

// Leave announces that this node leaves the fleet; Tick must still be called until LeaveAnnounced returns true.
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
	lis.enqueue(lis.self)
	lis.dirty = true
	lis.counts.RowsDeleted++
	lis.DeleteRow(lis.self.member.ID)
}

// LeaveAnnounced reports whether the update that this node has left was sent as many times as any update is sent, or
// there is no other node in the data centre to send it to.
func (lis *List) LeaveAnnounced() bool {
	own := func(pen pendingUpdate) bool { return pen.ent == lis.self }
	return lis.leaving && (len(lis.ring) == 0 || !slices.ContainsFunc(lis.pendingUpdates, own))
}

// Synced reports whether this list has once agreed with that of another node, or has stopped waiting for that after
// initialSyncLimit or noPeersLimit.
func (lis *List) Synced() bool { return lis.synced }

// Self returns this node's own entry.
func (lis *List) Self() member.Member { return lis.self.member }

// Members returns all live members in the order of their IDs.
func (lis *List) Members() []member.Member { return membersOf(lis.live) }

// Service returns the live members of a service in the order of their IDs.
func (lis *List) Service(name string) []member.Member { return membersOf(lis.services[name]) }

// Counts returns the numbers of messages and events since the start.
func (lis *List) Counts() counts.Counts { return lis.counts }

// LastContact returns when this node last received an exchange request or response from a node of the data centre, or
// zero if it never did.
func (lis *List) LastContact(name string) time.Time {
	if cen, known := lis.dataCentres[name]; known {
		return cen.lastContact
	}
	return time.Time{}
}

// announce changes this node's own entry, raises its incarnation and queues the update for sending.
func (lis *List) announce(edit func(mem *member.Member)) {
	lis.unindex(lis.self)
	edit(&lis.self.member)
	lis.self.member.Incarnation++
	lis.index(lis.self)
	lis.enqueue(lis.self)
	lis.dirty = true
}

// begin records the time of an input and returns it. After a pause of this process, probes in flight are dropped, since
// their deadlines may have passed only because of the pause, and suspects get that much more time to refute.
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
