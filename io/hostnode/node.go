package hostnode

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"flamingoreach/core/admission"
	"flamingoreach/core/announcement"
	"flamingoreach/core/attempt"
	"flamingoreach/core/collection"
	"flamingoreach/core/configurationfeed"
	"flamingoreach/core/control"
	"flamingoreach/core/gate"
	"flamingoreach/core/leader"
	"flamingoreach/core/linkbudget"
	"flamingoreach/core/locality"
	"flamingoreach/core/localserver"
	"flamingoreach/core/member"
	"flamingoreach/core/membership"
	"flamingoreach/core/pick"
	"flamingoreach/core/repeatbudget"
	"flamingoreach/core/splitter"
	"flamingoreach/core/tokenshare"
	"flamingoreach/core/view"
	"flamingoreach/io/crashlink"
	"flamingoreach/io/decisionlog"
	"flamingoreach/io/hostsettings"
	"flamingoreach/io/metricset"
	"flamingoreach/io/peer"
	"flamingoreach/io/tasks"
	"flamingoreach/io/work"
)

const (
	eventQueueLength = 4096
	// taskLimit bounds the requests of the control thread that run at a time.
	taskLimit = 64
	// askTimeout bounds one message to a node: several round trips between regions.
	askTimeout = time.Second
	// storeTimeout bounds one request to the store, whose answers take milliseconds when it is well.
	storeTimeout = 2 * time.Second
)

// The lines a second of each kind of decision, so that logs cost little under load.
const (
	servedLines  = 2
	refusedLines = 20
	gateLines    = 10
)

// Node is one process beside a backend server.
type Node struct {
	settings hostsettings.Settings
	platform Platform
	log      *log.Logger
	id       string
	started  time.Time

	// Traffic reads these.
	view    atomic.Pointer[view.View]
	backend atomic.Pointer[announcement.Announcement]
	bounds  atomic.Pointer[hostsettings.Bounds]
	leaving atomic.Bool
	synced  atomic.Bool
	// low says that the control thread was told that calls wait for tokens.
	low atomic.Bool
	// versionAt is when the version in force came, in nanoseconds since 1970.
	versionAt atomic.Int64

	served, refused, atGate *decisionlog.Log

	control   *control.Thread
	work      *work.Work
	tasks     *tasks.Tasks
	gate      *gate.Gate
	picker    *pick.Picker
	runner    *attempt.Runner
	admission *admission.Admission
	splitter  *splitter.Splitter
	shares    *tokenshare.Shares
	repeats   *repeatbudget.Budget
	link      *linkbudget.Budget
	metrics   *metricset.MetricSet
	pace      *collection.Pace

	peerClient *peer.Client
	peerServer *peer.Server
	listeners  listeners
	ready      chan struct{}
	// closeBy is when the listeners must be closed; it is set before the group of loops is interrupted by a drain.
	closeBy time.Time

	// Control state.
	self    member.Member
	server  *localserver.Server
	members *membership.List
	feed    *configurationfeed.Feed
	crashes *crashlink.Link
	// hosts holds the address of each host and when it was last known to be alive.
	hosts map[netip.AddrPort]time.Time
	// processorUsed is the processor time of this process when it was last read.
	processorUsed time.Duration
	// versionsDue is when the next node is asked for its version.
	versionsDue time.Time
}

// New returns a node that has not started.
func New(set hostsettings.Settings, pla Platform, logger *log.Logger) *Node {
	nod := &Node{
		settings: set, platform: pla, log: logger, id: uuid.NewString(), started: time.Now(),
		served:     decisionlog.New(logger, servedLines),
		refused:    decisionlog.New(logger, refusedLines),
		atGate:     decisionlog.New(logger, gateLines),
		control:    control.New(eventQueueLength),
		tasks:      tasks.New(taskLimit),
		gate:       gate.New(gatePolicy(0)),
		picker:     pick.New(locality.Locality{Region: set.Region, DataCentre: set.DataCentre}),
		splitter:   splitter.New(),
		shares:     tokenshare.New(set.Peers),
		repeats:    repeatbudget.New(set.Bounds.RepeatRatio, set.Bounds.RepeatSlack),
		link:       linkbudget.New(float64(set.LinkBytes)),
		metrics:    metricset.New(),
		pace:       collection.New(set.Cores),
		peerClient: peer.NewPooledClient(),
		peerServer: peer.NewServer(),
		server:     localserver.New(),
		feed:       configurationfeed.New(),
		hosts:      map[netip.AddrPort]time.Time{},
		ready:      make(chan struct{}),
	}
	nod.bounds.Store(&set.Bounds)
	nod.work = &work.Work{Control: nod.control, Tasks: nod.tasks, Log: logger}
	nod.self = member.Member{
		ID: nod.id, Peer: set.Peers, Region: set.Region, DataCentre: set.DataCentre, Service: set.Service,
		State: membership.Announced, Incarnation: 1, Started: nod.started,
	}
	nod.view.Store(view.New(nil, nil, nod.self, nil))
	// There is no leader whose name the messages between nodes would carry.
	noLeader := func() (string, leader.Leader, bool) { return "", leader.Leader{}, false }
	unheard := func(string, leader.Leader) {}
	nod.peerClient.Leader, nod.peerClient.LeaderHeard = noLeader, unheard
	nod.peerServer.Leader, nod.peerServer.LeaderHeard = noLeader, unheard
	nod.joinCalls()
	nod.joinServer()
	nod.joinMembers()
	nod.joinConfiguration()
	nod.joinShares()
	nod.joinRuntime()
	nod.registerGauges()
	return nod
}

// Ready is closed once all listeners are bound.
func (nod *Node) Ready() <-chan struct{} { return nod.ready }

// View returns what traffic knows at present.
func (nod *Node) View() *view.View { return nod.view.Load() }

// Metrics returns the node's own set.
func (nod *Node) Metrics() *metricset.MetricSet { return nod.metrics }

// TakesWork reports whether callers on this host should send their calls.
func (nod *Node) TakesWork() bool {
	return !nod.leaving.Load() && nod.synced.Load() && nod.view.Load().Configuration != nil
}

func (nod *Node) registerGauges() {
	nod.metrics.Gauge("control_processor_seconds", func() float64 { return nod.control.ProcessorTime().Seconds() })
	nod.metrics.Gauge("control_events_dropped", func() float64 { return float64(nod.control.Dropped()) })
	nod.metrics.Gauge("control_tasks_dropped", func() float64 { return float64(nod.tasks.Dropped()) })
	nod.metrics.Gauge("gate_running", func() float64 { return float64(nod.gate.Stats().Running) })
	nod.metrics.Gauge("gate_waiting", func() float64 { return float64(nod.gate.Stats().Waiting) })
	nod.metrics.Gauge("ejections", func() float64 { return float64(nod.picker.Ejections()) })
	nod.metrics.Gauge("members", func() float64 { return float64(len(nod.view.Load().Members)) })
	nod.metrics.Gauge("configuration_version", func() float64 { return float64(nod.version()) })
}

func (nod *Node) version() uint64 {
	if cfg := nod.view.Load().Configuration; cfg != nil {
		return cfg.Version
	}
	return 0
}
