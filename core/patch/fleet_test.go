package patch_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationleader"
	"flamingoreach/core/configurationnode"
	"flamingoreach/core/datacentre"
	"flamingoreach/core/directory"
	"flamingoreach/core/fence"
	"flamingoreach/core/heartbeat"
	"flamingoreach/core/lifecycle"
	"flamingoreach/core/patch"
	"flamingoreach/core/prepare"
	"flamingoreach/core/row"
	"flamingoreach/core/rowwrite"
	"flamingoreach/core/versionid"
	"flamingoreach/core/versionview"
	"flamingoreach/io/configurationtable"
)

var (
	errNoAnswer = errors.New("no answer")
	centres     = []datacentre.DataCentre{
		{Name: "a1", Region: "a", StoreRegion: true}, {Name: "a2", Region: "a", StoreRegion: true}, {Name: "b1", Region: "b"},
	}
)

const (
	nodesPerCentre  = 3
	leadershipLease = 4 * time.Second
)

// fleet runs the control state of several nodes over simulated links and a simulated table, both with faults.
type fleet struct {
	mu    sync.Mutex
	rng   *rand.Rand
	nodes []*process
	rows  map[string]row.Row
	// bodies holds the contents of the object store.
	bodies  map[string]configuration.Configuration
	leaders map[string]*leadership
	// The faults that are switched on; partitionedCentres names the data centres without a link to the store or to any
	// other data centre.
	storeDown          bool
	lossy              bool
	partitionedCentres map[string]bool
	// partitionedPair, if set, names two data centres without a link between them.
	partitionedPair [2]string
	stopped         bool
	violations      []string
}

type leadership struct {
	process *process
	epoch   uint64
	until   time.Time
}

// process runs one node; the fleet's lock serialises the calls of its methods.
type process struct {
	fle    *fleet
	name   string
	centre datacentre.DataCentre
	dead   bool
	frozen bool
	// A partitioned process receives calls, but has no link to other processes or the store.
	partitioned bool
	backlog     []func()
	dir         *directory.Directory
	fence       *fence.Fence
	view        *versionview.View
	node        *configurationnode.Node
	leader      *configurationleader.Leader
	lifecycle   *lifecycle.Lifecycle
	patches     []*patch.Patch
	// crashAt is the number of the coordinator's step after which the process crashes, or 0.
	crashAt int
	steps   int
}

func newFleet(seed int64) *fleet {
	fle := &fleet{
		rng: rand.New(rand.NewSource(seed)), rows: map[string]row.Row{}, partitionedCentres: map[string]bool{},
		bodies: map[string]configuration.Configuration{}, leaders: map[string]*leadership{},
	}
	for _, dat := range centres {
		fle.leaders[dat.Name] = &leadership{}
		for index := range nodesPerCentre {
			fle.start(fmt.Sprintf("%s.%d", dat.Name, index), dat)
		}
	}
	go fle.runElections()
	return fle
}

func (fle *fleet) start(name string, dat datacentre.DataCentre) {
	pro := &process{fle: fle, name: name, centre: dat, fence: fence.New(), lifecycle: lifecycle.New(), view: versionview.New(), dir: directory.New(configuration.Configuration{}, nil)}
	pro.view.Publish = func(dir *directory.Directory) { pro.dir = dir }
	pro.view.Fetch = pro.fetch
	pro.node = configurationnode.New(name, pro.view, pro.fence, pro.lifecycle)
	pro.node.SendHeartbeat = pro.sendHeartbeat
	pro.leader = configurationleader.New(dat, pro.view)
	pro.leader.Epoch = func() uint64 {
		if lea := fle.leaders[dat.Name]; lea.process == pro && time.Now().Before(lea.until) {
			return lea.epoch
		}
		return 0
	}
	pro.leader.ReadTable = func(number uint64) {
		pro.startTableRequest(func(tab *configurationtable.Table) func() {
			sta, err := tab.Read(context.Background(), "")
			return func() { pro.leader.TableRead(number, sta, err) }
		})
	}
	pro.leader.Join = func(dat datacentre.DataCentre) {
		pro.write(func(tab *configurationtable.Table) error { return tab.SetDataCentre(context.Background(), dat) }, nil)
	}
	pro.leader.Abort = func(vid versionid.VersionID) { pro.abort(vid, nil) }
	pro.leader.SendRegionHeartbeat = pro.sendRegionHeartbeat
	fle.nodes = append(fle.nodes, pro)
	go pro.tick()
}

func (pro *process) tick() {
	for {
		time.Sleep(100*time.Millisecond + pro.fle.jitter())
		pro.fle.mu.Lock()
		if pro.dead || pro.fle.stopped {
			pro.fle.mu.Unlock()
			return
		}
		if !pro.frozen {
			pro.node.Tick()
			pro.leader.Tick()
			for _, pat := range pro.patches {
				pat.Tick()
			}
		}
		pro.fle.mu.Unlock()
	}
}

func (fle *fleet) jitter() time.Duration {
	fle.mu.Lock()
	defer fle.mu.Unlock()
	return time.Duration(fle.rng.Intn(1e6))
}

// runElections renews the leadership of running processes; while the store is up, it elects another process after the
// expiry of a leadership.
func (fle *fleet) runElections() {
	for {
		time.Sleep(500*time.Millisecond + fle.jitter())
		fle.mu.Lock()
		if fle.stopped {
			fle.mu.Unlock()
			return
		}
		for _, dat := range centres {
			lea := fle.leaders[dat.Name]
			running := lea.process != nil && !lea.process.dead && !lea.process.frozen
			switch {
			case running && time.Now().Before(lea.until):
				lea.until = time.Now().Add(leadershipLease)
			case time.Now().After(lea.until) && !fle.storeDown && !fle.partitionedCentres[dat.Name]:
				fle.elect(dat.Name, lea)
			}
		}
		fle.mu.Unlock()
	}
}

func (fle *fleet) elect(name string, lea *leadership) {
	for _, index := range fle.rng.Perm(len(fle.nodes)) {
		pro := fle.nodes[index]
		if pro.centre.Name == name && !pro.dead && !pro.frozen && !pro.partitioned {
			lea.process, lea.until = pro, time.Now().Add(leadershipLease)
			lea.epoch++
			return
		}
	}
}

// do applies an input on the control thread of the process, or queues it while the process is frozen.
func (pro *process) do(apply func()) {
	switch {
	case pro.dead || pro.fle.stopped:
	case pro.frozen:
		pro.backlog = append(pro.backlog, apply)
	default:
		apply()
	}
}

// deliver delays a message between two processes; on lossy links it may also drop or duplicate it.
func (pro *process) deliver(to *process, apply func()) {
	fle := pro.fle
	copies := 1
	if fle.lossy {
		copies = []int{0, 1, 1, 1, 1, 1, 2}[fle.rng.Intn(7)]
	}
	for range copies {
		delay := time.Duration(fle.rng.Intn(20e6))
		if fle.lossy && fle.rng.Intn(20) == 0 {
			delay += time.Duration(fle.rng.Intn(6e9))
		}
		time.AfterFunc(delay, func() {
			fle.mu.Lock()
			defer fle.mu.Unlock()
			if fle.linked(pro, to) {
				to.do(apply)
			}
		})
	}
}

func (fle *fleet) linked(one, other *process) bool {
	if other == nil || one != other && (one.partitioned || other.partitioned) {
		return false
	}
	if names := [2]string{min(one.centre.Name, other.centre.Name), max(one.centre.Name, other.centre.Name)}; names == fle.partitionedPair {
		return false
	}
	return one.centre.Name == other.centre.Name || !fle.partitionedCentres[one.centre.Name] && !fle.partitionedCentres[other.centre.Name]
}

func (pro *process) sendHeartbeat(hea heartbeat.Heartbeat) {
	to := pro.fle.leaders[pro.centre.Name].process
	pro.deliver(to, func() {
		rep := to.leader.ReceiveHeartbeat(hea)
		to.deliver(pro, func() { pro.node.HandleReply(rep) })
	})
}

func (pro *process) sendRegionHeartbeat(hea heartbeat.Heartbeat) {
	for _, dat := range centres {
		if to := pro.fle.leaders[dat.Name].process; dat.StoreRegion {
			pro.deliver(to, func() {
				rep := to.leader.ReceiveRegionHeartbeat(hea)
				to.deliver(pro, func() { pro.leader.HandleRegionReply(rep) })
			})
		}
	}
}

func (pro *process) askLeader(pat *patch.Patch, msg prepare.Prepare) {
	to := pro.fle.leaders[msg.DataCentre].process
	pro.deliver(to, func() {
		ans := to.leader.ReceivePrepare(msg)
		to.deliver(pro, func() { pat.HandleAnswer(ans) })
	})
}

// fetch reads a body from a peer or the object store; on lossy links it may return the body of another version.
func (pro *process) fetch(vid versionid.VersionID) {
	fle := pro.fle
	peer := fle.nodes[fle.rng.Intn(len(fle.nodes))]
	body, held := peer.view.Body(vid)
	if !held && !fle.storeDown && !pro.partitioned && !fle.partitionedCentres[pro.centre.Name] {
		body, held = fle.bodies[vid.ObjectName()]
	}
	if fle.lossy && fle.rng.Intn(5) == 0 {
		body = pro.view.Configuration()
	}
	if held {
		pro.deliver(pro, func() { pro.view.Fetched(vid, body, nil) })
	}
}

// startTableRequest runs a request to the table on another goroutine, with a delay before each of its steps.
func (pro *process) startTableRequest(request func(tab *configurationtable.Table) func()) {
	fle := pro.fle
	reach := func() error {
		time.Sleep(time.Millisecond + fle.jitter())
		fle.mu.Lock()
		defer fle.mu.Unlock()
		if fle.storeDown || pro.partitioned || fle.partitionedCentres[pro.centre.Name] {
			return errNoAnswer
		}
		return nil
	}
	tab := &configurationtable.Table{
		Get: func(_ context.Context, key string) (row.Row, error) {
			if err := reach(); err != nil {
				return row.Row{}, err
			}
			fle.mu.Lock()
			defer fle.mu.Unlock()
			rec, found := fle.rows[key]
			if !found {
				return rec, row.ErrNotFound
			}
			return rec, nil
		},
		List: func(_ context.Context, collection string) ([]row.Row, error) {
			err := reach()
			fle.mu.Lock()
			defer fle.mu.Unlock()
			var recs []row.Row
			for key, rec := range fle.rows {
				if strings.HasPrefix(key, collection+"/") {
					recs = append(recs, rec)
				}
			}
			slices.SortFunc(recs, func(one, other row.Row) int { return strings.Compare(one.Key, other.Key) })
			return recs, err
		},
		Transact: func(_ context.Context, writes []rowwrite.Write) error {
			if err := reach(); err != nil {
				return err
			}
			return fle.transact(writes)
		},
	}
	go func() {
		apply := request(tab)
		fle.mu.Lock()
		defer fle.mu.Unlock()
		pro.do(apply)
	}()
}

func (pro *process) write(request func(tab *configurationtable.Table) error, done func(error)) {
	pro.startTableRequest(func(tab *configurationtable.Table) func() {
		err := request(tab)
		return func() {
			if done != nil {
				done(err)
			}
		}
	})
}

func (pro *process) abort(vid versionid.VersionID, done func(error)) {
	pro.write(func(tab *configurationtable.Table) error { return tab.Abort(context.Background(), vid) }, done)
}

// transact applies a transaction; on a lossy link it may lose the answer and apply the transaction up to 3 s later.
func (fle *fleet) transact(writes []rowwrite.Write) error {
	fle.mu.Lock()
	defer fle.mu.Unlock()
	if !fle.lossy || fle.rng.Intn(4) > 0 {
		return fle.apply(writes)
	}
	time.AfterFunc(time.Duration(fle.rng.Intn(3e9)), func() {
		fle.mu.Lock()
		defer fle.mu.Unlock()
		_ = fle.apply(writes)
	})
	return errNoAnswer
}

func (fle *fleet) apply(writes []rowwrite.Write) error {
	for _, wri := range writes {
		if fle.rows[wri.Key].Revision != wri.Expected {
			return row.ErrConflict
		}
	}
	for _, wri := range writes {
		if !wri.CheckOnly {
			fle.rows[wri.Key] = row.Row{Key: wri.Key, Revision: wri.Expected + 1, Value: wri.Value}
		}
	}
	return nil
}
