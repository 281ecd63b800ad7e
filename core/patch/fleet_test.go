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
	errLost = errors.New("no answer")
	centres = []datacentre.DataCentre{
		{Name: "a1", Region: "a", StoreRegion: true}, {Name: "a2", Region: "a", StoreRegion: true}, {Name: "b1", Region: "b"},
	}
)

const (
	nodesPerCentre  = 3
	leadershipLease = 4 * time.Second
)

// fleet runs the cores of several nodes over a bus and a table, both with faults.
type fleet struct {
	mu    sync.Mutex
	rng   *rand.Rand
	nodes []*host
	rows  map[string]row.Row
	// Bodies stand for the object store's contents.
	bodies  map[string]configuration.Configuration
	leaders map[string]*leadership
	// The faults that are on; cut names the data centres without any link to another region or centre.
	storeDown bool
	lossy     bool
	cut       map[string]bool
	// Severed, if set, names two data centres without a link to each other.
	severed [2]string
	stopped bool
	log     []string
}

type leadership struct {
	host  *host
	term  uint64
	until time.Time
}

// host is one process; its methods' calls are serialised by the fleet's lock.
type host struct {
	fle    *fleet
	name   string
	centre datacentre.DataCentre
	dead   bool
	frozen bool
	// Isolated hosts take calls, but exchange no message with others.
	isolated bool
	backlog  []func()
	dir      *directory.Directory
	fence    *fence.Fence
	view     *versionview.View
	node     *configurationnode.Node
	leader   *configurationleader.Leader
	life     *lifecycle.Lifecycle
	patches  []*patch.Patch
	// DieAt is the number of the coordinator's step after which the process is gone, or 0.
	dieAt int
	steps int
}

func newFleet(seed int64) *fleet {
	fle := &fleet{
		rng: rand.New(rand.NewSource(seed)), rows: map[string]row.Row{}, cut: map[string]bool{},
		bodies: map[string]configuration.Configuration{}, leaders: map[string]*leadership{},
	}
	for _, dat := range centres {
		fle.leaders[dat.Name] = &leadership{}
		for index := range nodesPerCentre {
			fle.start(fmt.Sprintf("%s.%d", dat.Name, index), dat)
		}
	}
	go fle.lead()
	return fle
}

func (fle *fleet) start(name string, dat datacentre.DataCentre) {
	hos := &host{fle: fle, name: name, centre: dat, fence: fence.New(), life: lifecycle.New(), view: versionview.New(), dir: directory.New(configuration.Configuration{}, nil)}
	hos.view.Publish = func(dir *directory.Directory) { hos.dir = dir }
	hos.view.Fetch = hos.fetch
	hos.node = configurationnode.New(name, hos.view, hos.fence, hos.life)
	hos.node.SendHeartbeat = hos.sendHeartbeat
	hos.leader = configurationleader.New(dat, hos.view)
	hos.leader.Term = func() uint64 {
		if lea := fle.leaders[dat.Name]; lea.host == hos && time.Now().Before(lea.until) {
			return lea.term
		}
		return 0
	}
	hos.leader.ReadTable = func(reading uint64) {
		hos.table(func(tab *configurationtable.Table) func() {
			sta, err := tab.Read(context.Background(), "")
			return func() { hos.leader.TableRead(reading, sta, err) }
		})
	}
	hos.leader.Join = func(dat datacentre.DataCentre) {
		hos.write(func(tab *configurationtable.Table) error { return tab.SetDataCentre(context.Background(), dat) }, nil)
	}
	hos.leader.Abort = func(vid versionid.VersionID) { hos.abort(vid, nil) }
	hos.leader.SendRegionHeartbeat = hos.sendRegionHeartbeat
	fle.nodes = append(fle.nodes, hos)
	go hos.tick()
}

func (hos *host) tick() {
	for {
		time.Sleep(100*time.Millisecond + hos.fle.jitter())
		hos.fle.mu.Lock()
		if hos.dead || hos.fle.stopped {
			hos.fle.mu.Unlock()
			return
		}
		if !hos.frozen {
			hos.node.Tick()
			hos.leader.Tick()
			for _, pat := range hos.patches {
				pat.Tick()
			}
		}
		hos.fle.mu.Unlock()
	}
}

func (fle *fleet) jitter() time.Duration {
	fle.mu.Lock()
	defer fle.mu.Unlock()
	return time.Duration(fle.rng.Intn(1e6))
}

// lead renews the leadership of running hosts, and gives lapsed ones to another host while the store is up.
func (fle *fleet) lead() {
	for {
		time.Sleep(500*time.Millisecond + fle.jitter())
		fle.mu.Lock()
		if fle.stopped {
			fle.mu.Unlock()
			return
		}
		for _, dat := range centres {
			lea := fle.leaders[dat.Name]
			running := lea.host != nil && !lea.host.dead && !lea.host.frozen
			switch {
			case running && time.Now().Before(lea.until):
				lea.until = time.Now().Add(leadershipLease)
			case time.Now().After(lea.until) && !fle.storeDown && !fle.cut[dat.Name]:
				fle.elect(dat.Name, lea)
			}
		}
		fle.mu.Unlock()
	}
}

func (fle *fleet) elect(name string, lea *leadership) {
	for _, index := range fle.rng.Perm(len(fle.nodes)) {
		hos := fle.nodes[index]
		if hos.centre.Name == name && !hos.dead && !hos.frozen && !hos.isolated {
			lea.host, lea.until = hos, time.Now().Add(leadershipLease)
			lea.term++
			return
		}
	}
}

// do applies an input on the host's control thread, later if the process is stopped for a while.
func (hos *host) do(apply func()) {
	switch {
	case hos.dead || hos.fle.stopped:
	case hos.frozen:
		hos.backlog = append(hos.backlog, apply)
	default:
		apply()
	}
}

// deliver drops, doubles and delays a message between two hosts.
func (hos *host) deliver(to *host, apply func()) {
	fle := hos.fle
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
			if fle.linked(hos, to) {
				to.do(apply)
			}
		})
	}
}

func (fle *fleet) linked(one, other *host) bool {
	if other == nil || one != other && (one.isolated || other.isolated) {
		return false
	}
	if names := [2]string{min(one.centre.Name, other.centre.Name), max(one.centre.Name, other.centre.Name)}; names == fle.severed {
		return false
	}
	return one.centre.Name == other.centre.Name || !fle.cut[one.centre.Name] && !fle.cut[other.centre.Name]
}

func (hos *host) sendHeartbeat(hb heartbeat.Heartbeat) {
	to := hos.fle.leaders[hos.centre.Name].host
	hos.deliver(to, func() {
		rep := to.leader.Heartbeat(hb)
		to.deliver(hos, func() { hos.node.HeartbeatReply(rep) })
	})
}

func (hos *host) sendRegionHeartbeat(hb heartbeat.Heartbeat) {
	for _, dat := range centres {
		if to := hos.fle.leaders[dat.Name].host; dat.StoreRegion {
			hos.deliver(to, func() {
				rep := to.leader.RegionHeartbeat(hb)
				to.deliver(hos, func() { hos.leader.RegionReply(rep) })
			})
		}
	}
}

func (hos *host) askLeader(pat *patch.Patch, msg prepare.Prepare) {
	to := hos.fle.leaders[msg.DataCentre].host
	hos.deliver(to, func() {
		ans := to.leader.Prepare(msg)
		to.deliver(hos, func() { pat.Answered(ans) })
	})
}

// fetch reads a body from a peer, from the object store, or gets another version's body.
func (hos *host) fetch(vid versionid.VersionID) {
	fle := hos.fle
	peer := fle.nodes[fle.rng.Intn(len(fle.nodes))]
	body, held := peer.view.Body(vid)
	if !held && !fle.storeDown && !hos.isolated && !fle.cut[hos.centre.Name] {
		body, held = fle.bodies[vid.Object()]
	}
	if fle.lossy && fle.rng.Intn(5) == 0 {
		body = hos.view.Configuration()
	}
	if held {
		hos.deliver(hos, func() { hos.view.Fetched(vid, body, nil) })
	}
}

// table runs a request to the table on another goroutine, with time passing between its single steps.
func (hos *host) table(request func(tab *configurationtable.Table) func()) {
	fle := hos.fle
	reach := func() error {
		time.Sleep(time.Millisecond + fle.jitter())
		fle.mu.Lock()
		defer fle.mu.Unlock()
		if fle.storeDown || hos.isolated || fle.cut[hos.centre.Name] {
			return errLost
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
		hos.do(apply)
	}()
}

func (hos *host) write(request func(tab *configurationtable.Table) error, done func(error)) {
	hos.table(func(tab *configurationtable.Table) func() {
		err := request(tab)
		return func() {
			if done != nil {
				done(err)
			}
		}
	})
}

func (hos *host) abort(vid versionid.VersionID, done func(error)) {
	hos.write(func(tab *configurationtable.Table) error { return tab.Abort(context.Background(), vid) }, done)
}

// transact may lose the answer, before the write or up to three seconds ahead of it.
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
	return errLost
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
