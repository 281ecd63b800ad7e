package sharerig

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"flamingoreach/core/allocation"
	"flamingoreach/measure/sharesettings"
)

// Rig is one run; its exported fields may be set before Run or by events.
type Rig struct {
	// Settle waits until all other goroutines of the bubble are blocked.
	Settle func()
	// Loss, Duplicate and Late are the shares of messages that are lost, delivered twice and delayed.
	Loss, Duplicate, Late float64
	// Cut, if set, reports whether messages between two data centres are lost.
	Cut func(from, to string) bool
	// CutNode, if set, reports whether a node is cut off from all others and from the table.
	CutNode func(name string) bool
	// StoreDown, if set, reports whether the table cannot be reached from a data centre.
	StoreDown func(dataCentre string) bool
	// LoseAnswers is the share of the table's answers that are lost after the write took effect.
	LoseAnswers float64
	// CutHold is passed on to the leaders.
	CutHold time.Duration

	settings sharesettings.ShareSettings
	random   *rand.Rand
	start    time.Time
	mutex    sync.Mutex
	events   queue
	next     uint64
	nodes    []*node
	byName   map[string]*node
	byAddr   map[netip.AddrPort]*node
	table    *table
	accounts []*account
	requests int
	moves    int
}

// New returns a rig of the settings' sizes, whose traffic and faults follow the settings' seed.
func New(set sharesettings.ShareSettings) *Rig {
	rig := &Rig{
		Settle: func() {}, settings: set, random: rand.New(rand.NewPCG(set.Seed, 3)), start: time.Now(),
		byName: map[string]*node{}, byAddr: map[netip.AddrPort]*node{},
	}
	rig.table = &table{rig: rig, region: set.DataCentres[0].Region, rows: map[string]tableRow{}}
	for _, dac := range set.DataCentres {
		for range dac.Nodes {
			rig.AddNode(dac.Name, dac.Region)
		}
	}
	for _, acc := range set.Accounts {
		rig.accounts = append(rig.accounts, newAccount(rig, acc.Name, allocation.Allocation{Rate: acc.Rate, Burst: acc.Burst}, acc.Load))
	}
	return rig
}

// AddNode starts a node in a data centre and returns its name.
func (rig *Rig) AddNode(dataCentre, region string) string {
	number := len(rig.nodes) + 1
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(number >> 8), byte(number)}), 7000)
	nod := newNode(rig, fmt.Sprintf("%s-%03d", dataCentre, number), dataCentre, region, address)
	rig.nodes = append(rig.nodes, nod)
	rig.byName[nod.name], rig.byAddr[address] = nod, nod
	rig.schedule(time.Duration(rig.random.Int64N(int64(tickInterval))), nod, nod.tick)
	return nod.name
}

// At has a function run at the given time after the start.
func (rig *Rig) At(offset time.Duration, apply func()) {
	rig.schedule(time.Until(rig.start.Add(offset)), nil, apply)
}

// Leader returns the name of the node that leads a data centre by its own word and has the highest epoch, or "".
func (rig *Rig) Leader(dataCentre string) string {
	name, epoch := "", uint64(0)
	for _, nod := range rig.nodes {
		own, _ := nod.lease.Own()
		if nod.dataCentre == dataCentre && !nod.dead && own.Epoch > epoch {
			name, epoch = nod.name, own.Epoch
		}
	}
	return name
}

// Leading reports whether a node may grant tokens at present.
func (rig *Rig) Leading(name string) bool {
	nod := rig.byName[name]
	_, opened := nod.lease.GrantsFrom()
	return nod.issuer != nil && nod.issuer.Leads(time.Now()) && opened
}

// Part returns a data centre's part of an account as its leader last read it.
func (rig *Rig) Part(dataCentre, account string) allocation.Allocation {
	if nod := rig.byName[rig.Leader(dataCentre)]; nod != nil && nod.division != nil {
		return nod.division.Allocation(account)
	}
	return allocation.Allocation{}
}

// LeaderState returns the state of a node's chart leadership.
func (rig *Rig) LeaderState(name string) string { return rig.byName[name].lease.State() }

// Kill ends a node without notice.
func (rig *Rig) Kill(name string) {
	if nod := rig.byName[name]; nod != nil {
		nod.dead = true
	}
}

// Pause freezes a node for a time; what arrives meanwhile is handled afterwards.
func (rig *Rig) Pause(name string, length time.Duration) {
	if nod := rig.byName[name]; nod != nil {
		nod.pausedUntil = time.Now().Add(length)
	}
}

// HandOver has a leader pass its leadership on to another node.
func (rig *Rig) HandOver(name, successor string) {
	if nod := rig.byName[name]; nod != nil && name != successor {
		nod.lease.HandOver(successor, rig.byName[successor].address)
	}
}

// Run handles all events up to the length of the run.
func (rig *Rig) Run() {
	end := rig.start.Add(rig.settings.Length.Duration)
	for _, acc := range rig.accounts {
		acc.begin()
	}
	for {
		occ, ok := rig.pop(end)
		if !ok {
			break
		}
		time.Sleep(time.Until(occ.at))
		rig.handle(occ)
		rig.Settle()
	}
	time.Sleep(time.Second)
	rig.Settle()
}

func (rig *Rig) handle(occ *occurrence) {
	switch {
	case occ.node == nil:
		occ.apply()
	case occ.node.dead:
	case time.Now().Before(occ.node.pausedUntil):
		rig.schedule(time.Until(occ.node.pausedUntil), occ.node, occ.apply)
	default:
		occ.apply()
	}
}

func (rig *Rig) pop(end time.Time) (*occurrence, bool) {
	rig.mutex.Lock()
	defer rig.mutex.Unlock()
	if len(rig.events) == 0 || rig.events[0].at.After(end) {
		return nil, false
	}
	return heap.Pop(&rig.events).(*occurrence), true
}

func (rig *Rig) schedule(after time.Duration, nod *node, apply func()) {
	rig.mutex.Lock()
	defer rig.mutex.Unlock()
	rig.next++
	heap.Push(&rig.events, &occurrence{at: time.Now().Add(max(0, after)), number: rig.next, node: nod, apply: apply})
}

// message delivers a function call to a node after the network's latency, unless a fault takes it.
func (rig *Rig) message(from, to *node, apply func()) {
	if from != to && (rig.cut(from) || rig.cut(to)) {
		return
	}
	if rig.Cut != nil && rig.Cut(from.dataCentre, to.dataCentre) || rig.random.Float64() < rig.Loss {
		return
	}
	copies := 1
	if rig.random.Float64() < rig.Duplicate {
		copies = 2
	}
	for range copies {
		delay := rig.latency(from, to.region, from.dataCentre == to.dataCentre)
		if rig.random.Float64() < rig.Late {
			delay += time.Duration(rig.random.Int64N(int64(lateBy)))
		}
		rig.schedule(delay, to, apply)
	}
}

func (rig *Rig) cut(nod *node) bool { return rig.CutNode != nil && rig.CutNode(nod.name) }

func (rig *Rig) latency(from *node, region string, near bool) time.Duration {
	base := regionLatency
	switch {
	case near:
		base = nearLatency
	case from.region == region:
		base = dataCentreLatency
	}
	return base + time.Duration(rig.random.Int64N(int64(base/4)))
}
