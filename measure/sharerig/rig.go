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

// Rig is one simulated run. Its exported fields may be set before Run or by events.
type Rig struct {
	// Settle waits until all other goroutines of the bubble are blocked; tests set it to synctest.Wait.
	Settle func()
	// LossRate, DuplicateRate and DelayRate are the fractions of messages that are lost, delivered twice and delayed.
	LossRate, DuplicateRate, DelayRate float64
	// Partitioned, if set, reports whether messages are lost on the way from one data centre to another; from and to are
	// names of data centres, which may be the same.
	Partitioned func(from, to string) bool
	// Isolated, if set, reports whether a node can reach neither the other nodes nor the table.
	Isolated func(name string) bool
	// TableDown, if set, reports whether the table cannot be reached from a data centre.
	TableDown func(dataCentre string) bool
	// LostAnswerRate is the fraction of writes to the table whose answer is lost; these writes are applied late.
	LostAnswerRate float64
	// CutHold is the setting cutHold: the time without contact after which a data centre stops granting, so that others
	// may take over its allocations; 0 means never. A data centre has contact when all data centres that may take over
	// confirm its messages, or when its leader row in the table is renewed.
	CutHold time.Duration

	settings       sharesettings.ShareSettings
	random         *rand.Rand
	start          time.Time
	mutex          sync.Mutex
	events         eventQueue
	lastNumber     uint64
	nodes          []*node
	byName         map[string]*node
	byAddress      map[netip.AddrPort]*node
	table          *table
	accounts       []*account
	shareRequests  int
	divisionWrites int
}

// New returns a rig with the nodes and accounts of the settings. Its random choices derive from the settings' seed.
func New(set sharesettings.ShareSettings) *Rig {
	rig := &Rig{
		Settle: func() {}, settings: set, random: rand.New(rand.NewPCG(set.Seed, 3)), start: time.Now(),
		byName: map[string]*node{}, byAddress: map[netip.AddrPort]*node{},
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
	rig.byName[nod.name], rig.byAddress[address] = nod, nod
	rig.schedule(time.Duration(rig.random.Int64N(int64(tickInterval))), nod, nod.tick)
	return nod.name
}

// At schedules a function at the given time after the start of the run.
func (rig *Rig) At(offset time.Duration, apply func()) {
	rig.schedule(time.Until(rig.start.Add(offset)), nil, apply)
}

// Leader returns the name of the data centre's live node whose lease module reports the highest epoch of its own, or
// "" if there is none.
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

// Leading reports whether a node may currently grant tokens.
func (rig *Rig) Leading(name string) bool {
	nod := rig.byName[name]
	_, opened := nod.lease.GrantsFrom()
	return nod.issuer != nil && nod.issuer.Leads(time.Now()) && opened
}

// Allocation returns a data centre's allocation of an account's rate and burst as the data centre's leader last read
// it.
func (rig *Rig) Allocation(dataCentre, account string) allocation.Allocation {
	if nod := rig.byName[rig.Leader(dataCentre)]; nod != nil && nod.division != nil {
		return nod.division.Allocation(account)
	}
	return allocation.Allocation{}
}

// LeaderState returns the current state of a node's state chart "leadership".
func (rig *Rig) LeaderState(name string) string { return rig.byName[name].lease.State() }

// Kill ends a node abruptly; it handles no further events.
func (rig *Rig) Kill(name string) {
	if nod := rig.byName[name]; nod != nil {
		nod.dead = true
	}
}

// Pause stops a node for a time, as a long garbage collection or a stopped process would; its events are handled
// after the pause.
func (rig *Rig) Pause(name string, length time.Duration) {
	if nod := rig.byName[name]; nod != nil {
		nod.pausedUntil = time.Now().Add(length)
	}
}

// HandOver makes a leader pass its leadership to another node.
func (rig *Rig) HandOver(name, successor string) {
	if nod := rig.byName[name]; nod != nil && name != successor {
		nod.lease.HandOver(successor, rig.byName[successor].address)
	}
}

// Run handles all events until the end of the run.
func (rig *Rig) Run() {
	end := rig.start.Add(rig.settings.Length.Duration)
	for _, acc := range rig.accounts {
		acc.start()
	}
	for {
		eve, ok := rig.popEvent(end)
		if !ok {
			break
		}
		time.Sleep(time.Until(eve.at))
		rig.handle(eve)
		rig.Settle()
	}
	// Calls that still wait for a token end before the results are read.
	time.Sleep(time.Second)
	rig.Settle()
}

func (rig *Rig) handle(eve *event) {
	switch {
	case eve.node == nil:
		eve.apply()
	case eve.node.dead:
	case time.Now().Before(eve.node.pausedUntil):
		rig.schedule(time.Until(eve.node.pausedUntil), eve.node, eve.apply)
	default:
		eve.apply()
	}
}

func (rig *Rig) popEvent(end time.Time) (*event, bool) {
	rig.mutex.Lock()
	defer rig.mutex.Unlock()
	if len(rig.events) == 0 || rig.events[0].at.After(end) {
		return nil, false
	}
	return heap.Pop(&rig.events).(*event), true
}

func (rig *Rig) schedule(after time.Duration, nod *node, apply func()) {
	rig.mutex.Lock()
	defer rig.mutex.Unlock()
	rig.lastNumber++
	heap.Push(&rig.events, &event{at: time.Now().Add(max(0, after)), number: rig.lastNumber, node: nod, apply: apply})
}

// send runs a function at a node after the network's latency. Faults may lose, duplicate or delay it.
func (rig *Rig) send(from, to *node, apply func()) {
	if from != to && (rig.isolated(from) || rig.isolated(to)) {
		return
	}
	if rig.Partitioned != nil && rig.Partitioned(from.dataCentre, to.dataCentre) || rig.random.Float64() < rig.LossRate {
		return
	}
	copies := 1
	if rig.random.Float64() < rig.DuplicateRate {
		copies = 2
	}
	for range copies {
		delay := rig.latency(from, to.region, from.dataCentre == to.dataCentre)
		if rig.random.Float64() < rig.DelayRate {
			delay += time.Duration(rig.random.Int64N(int64(maxExtraDelay)))
		}
		rig.schedule(delay, to, apply)
	}
}

func (rig *Rig) isolated(nod *node) bool { return rig.Isolated != nil && rig.Isolated(nod.name) }

func (rig *Rig) latency(from *node, region string, sameDataCentre bool) time.Duration {
	base := betweenRegionsLatency
	switch {
	case sameDataCentre:
		base = withinDataCentreLatency
	case from.region == region:
		base = withinRegionLatency
	}
	return base + time.Duration(rig.random.Int64N(int64(base/4)))
}
