package hostnode

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"flamingoreach/core/admission"
	"flamingoreach/core/announcement"
	"flamingoreach/core/attempt"
	"flamingoreach/core/coldpacer"
	"flamingoreach/core/configurationfeed"
	"flamingoreach/core/control"
	"flamingoreach/core/evacuation/tracker"
	"flamingoreach/core/fleetretrybudget"
	"flamingoreach/core/followers"
	"flamingoreach/core/gate"
	"flamingoreach/core/gcpacer"
	"flamingoreach/core/leader"
	"flamingoreach/core/linkbudget"
	"flamingoreach/core/locality"
	"flamingoreach/core/localserver"
	"flamingoreach/core/member"
	"flamingoreach/core/membership"
	"flamingoreach/core/pick"
	"flamingoreach/core/splitter"
	"flamingoreach/core/stopwindow"
	"flamingoreach/core/storeera"
	"flamingoreach/core/tokenshare"
	"flamingoreach/core/view"
	"flamingoreach/io/crashlink"
	"flamingoreach/io/decisionlog"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/hostsettings"
	"flamingoreach/io/memberlink"
	"flamingoreach/io/metricset"
	"flamingoreach/io/peer"
	"flamingoreach/io/room"
	"flamingoreach/io/tasks"
)

const (
	eventQueueLength = 4096
	// taskLimit bounds the control thread's requests that run at the same time on other goroutines.
	taskLimit = 64
	// askTimeout bounds one request to another node; it spans several round trips between regions.
	askTimeout = time.Second
	// controlRoomDivisor divides the memory of the process to get the bound of all long control messages together.
	controlRoomDivisor = 8
	// roomNumerator/roomDivisor is the fraction of the process's memory for all that is held for clients. It is below
	// memoryFraction, so that the collection of garbage keeps up, and on the smallest machine above the longest body.
	roomNumerator, roomDivisor = 3, 8
	// storeTimeout bounds one request to the store, which normally answers within milliseconds.
	storeTimeout = 2 * time.Second
)

// The most log lines per second for each kind of decision, so that logging costs little under load.
const (
	servedLinesPerSecond  = 2
	refusedLinesPerSecond = 20
	gateLinesPerSecond    = 10
	// evacuationLinesPerSecond bounds the lines about calls to an evacuated data centre. Each also has a line of its refusal.
	evacuationLinesPerSecond = 2
)

// Node is the node that runs beside one backend server.
type Node struct {
	settings hostsettings.Settings
	platform Platform
	log      *log.Logger
	id       string
	started  time.Time

	// Read by the goroutines that handle calls.
	view atomic.Pointer[view.View]
	// backend is the announcement of the backend server to which the gate passes calls, or nil before the first one.
	backend atomic.Pointer[announcement.Announcement]
	bounds  atomic.Pointer[hostsettings.Bounds]
	leaving atomic.Bool
	// knownRegions are the regions that the settings list.
	knownRegions atomic.Pointer[[]string]
	// restrictionProblems counts the problems of the restrictions in the version in force.
	restrictionProblems atomic.Int64
	// stopWindow is nil until the drain begins.
	stopWindow atomic.Pointer[stopwindow.Window]
	// synced is set once the members of the fleet are known or syncTimeout has passed.
	synced atomic.Bool
	// lowTokens is set while the control thread has yet to handle the event that calls wait for tokens, so that it gets one
	// such event at a time.
	lowTokens atomic.Bool
	// versionAppliedAt is when the version in force was applied, in nanoseconds of Unix time.
	versionAppliedAt atomic.Int64
	// versionConfirmedAt is when the version in force was last known to be the newest in the store, in the same form.
	versionConfirmedAt atomic.Int64
	// storeEraKnown is one more than the latest era of the store that the control thread has observed, or 0 before the
	// first. lateAnswers counts the store's answers of an earlier era.
	storeEraKnown, lateAnswers atomic.Uint64

	// evacuationSettled is set once it is known which data centres are evacuated, or syncTimeout has passed.
	evacuationSettled atomic.Bool
	// evacuatedAnswerAt is when this node last asked a gate that refused a call because of an evacuation for its
	// evacuations, in nanoseconds of Unix time.
	evacuatedAnswerAt atomic.Int64

	servedLog, refusedLog, gateLog, evacuationLog, cutLog *decisionlog.Log
	// answersCut counts the answers that began and were not written whole.
	answersCut atomic.Int64
	// connectionsEvicted counts the connections that ended for new ones.
	connectionsEvicted atomic.Int64

	control     *control.Thread
	dispatcher  *dispatcher.Dispatcher
	tasks       *tasks.Tasks
	gate        *gate.Gate
	pacer       *coldpacer.Pacer
	picker      *pick.Picker
	runner      *attempt.Runner
	admission   *admission.Admission
	splitter    *splitter.Splitter
	shares      *tokenshare.Shares
	retryBudget *fleetretrybudget.Budget
	linkBudget  *linkbudget.Budget
	metrics     *metricset.MetricSet
	gcPacer     *gcpacer.Pacer

	// room accounts for what is held for clients.
	room       *room.Room
	peerClient *peer.Client
	peerServer *peer.Server
	listeners  listeners
	ready      chan struct{}
	// endRequests is called shortly before the listeners must be closed, so that the requests that are then still under way
	// are answered. onRequestsEnd registers a function that is called then, unless the returned one is called first.
	endRequests   context.CancelFunc
	onRequestsEnd func(run func()) (remove func() bool)
	requestsEnded func() bool
	// closeDeadline is when the listeners must be closed. The drain sets it before its end interrupts the other actors
	// of Run's group. If another actor ends first, it is zero, and the listeners are closed without a wait.
	closeDeadline time.Time

	// Control state, which only the control thread changes once it runs.
	self        member.Member
	localServer *localserver.Server
	members     *membership.List
	memberLink  *memberlink.Link
	feed        *configurationfeed.Feed
	storeEra    *storeera.Era
	followers   *followers.Followers
	evacuations *tracker.Tracker
	// onEvacuationEnded is called when the evacuation of this node's data centre ends, before the gate opens.
	onEvacuationEnded func()
	// lastTick is the time of the last tick of the control thread.
	lastTick   time.Time
	crashLink  *crashlink.Link
	departures departureState
	// hostsSeenAt maps the address of each host to the time at which it was last a live member.
	hostsSeenAt map[netip.AddrPort]time.Time
	// coldState is the state of the chart coldStart that was last logged.
	coldState string
	// processorUsed is the processor time of this process when it was last read.
	processorUsed time.Duration
	// nextVersionAsk is when the next random node is asked for its version.
	nextVersionAsk time.Time
}

// New returns a node that does not run yet.
func New(set hostsettings.Settings, pla Platform, logger *log.Logger) *Node {
	nod := &Node{
		settings: set, platform: pla, log: logger, id: uuid.NewString(), started: time.Now(),
		servedLog:     decisionlog.New(logger, servedLinesPerSecond),
		refusedLog:    decisionlog.New(logger, refusedLinesPerSecond),
		gateLog:       decisionlog.New(logger, gateLinesPerSecond),
		evacuationLog: decisionlog.New(logger, evacuationLinesPerSecond),
		control:       control.New(eventQueueLength),
		tasks:         tasks.New(taskLimit),
		gate:          gate.New(gatePolicy(0, set.MemoryBytes)),
		pacer:         coldpacer.New(),
		picker:        pick.New(locality.Locality{Region: set.Region, DataCentre: set.DataCentre}),
		splitter:      splitter.New(),
		shares:        tokenshare.New(set.Peers),
		retryBudget:   fleetretrybudget.New(set.Bounds.RepeatRatio, set.Bounds.RepeatSlack),
		linkBudget:    linkbudget.New(float64(set.LinkBytes)),
		metrics:       metricset.New(),
		gcPacer:       gcpacer.New(set.Cores),
		peerClient:    peer.NewPooledClient(room.New(set.MemoryBytes / controlRoomDivisor)),
		peerServer:    peer.NewServer(),
		localServer:   localserver.New(),
		feed:          configurationfeed.New(),
		evacuations:   tracker.New(),
		storeEra:      storeera.New(),
		hostsSeenAt:   map[netip.AddrPort]time.Time{},
		coldState:     coldpacer.Warm,
		ready:         make(chan struct{}),
	}
	requestsEnd, endRequests := context.WithCancel(context.Background())
	nod.endRequests = endRequests
	nod.onRequestsEnd = func(run func()) func() bool { return context.AfterFunc(requestsEnd, run) }
	nod.requestsEnded = func() bool { return requestsEnd.Err() != nil }
	nod.bounds.Store(&set.Bounds)
	nod.knownRegions.Store(&set.Regions)
	nod.versionConfirmedAt.Store(nod.started.UnixNano())
	nod.followers = followers.New(nod.id, set.DataCentre, nod.askInterval)
	nod.dispatcher = &dispatcher.Dispatcher{Control: nod.control, Tasks: nod.tasks, Log: logger}
	nod.self = member.Member{
		ID: nod.id, Peer: set.Peers, Region: set.Region, DataCentre: set.DataCentre, Service: set.Service,
		State: membership.Announced, Incarnation: 1, Started: nod.started,
	}
	nod.view.Store(view.New(nil, nil, nod.self, nil))
	// Messages between nodes carry the leader that the sender knows; here there is none.
	noLeader := func() (string, leader.Leader, bool) { return "", leader.Leader{}, false }
	ignoreLeader := func(string, leader.Leader) {}
	nod.peerClient.Leader, nod.peerClient.OnLeader = noLeader, ignoreLeader
	nod.peerServer.Leader, nod.peerServer.OnLeader = noLeader, ignoreLeader
	nod.setUpRoom()
	nod.setUpCalls()
	nod.setUpServer()
	nod.setUpMembers()
	nod.setUpEvacuation()
	nod.setUpDepartures()
	nod.setUpConfiguration()
	nod.setUpStoreEra()
	nod.setUpShares()
	nod.setUpRuntime()
	nod.registerGauges()
	return nod
}

// Ready is closed once all listeners are bound.
func (nod *Node) Ready() <-chan struct{} { return nod.ready }

// View returns the current snapshot of the configuration and the members.
func (nod *Node) View() *view.View { return nod.view.Load() }

// Metrics returns the node's metrics.
func (nod *Node) Metrics() *metricset.MetricSet { return nod.metrics }

// AcceptsCalls reports whether callers on this host should send calls to this node.
func (nod *Node) AcceptsCalls() bool {
	return !nod.leaving.Load() && nod.synced.Load() && nod.evacuationSettled.Load() && nod.view.Load().Configuration != nil
}

func (nod *Node) registerGauges() {
	nod.metrics.Gauge("control_processor_seconds", func() float64 { return nod.control.ProcessorTime().Seconds() })
	nod.metrics.Gauge("control_events_dropped", func() float64 { return float64(nod.control.Dropped()) })
	nod.metrics.Gauge("control_tasks_dropped", func() float64 { return float64(nod.tasks.Dropped()) })
	nod.metrics.Gauge("gate_running", func() float64 { return float64(nod.gate.Stats().Running) })
	nod.metrics.Gauge("gate_waiting", func() float64 { return float64(nod.gate.Stats().Waiting) })
	nod.metrics.Gauge("gate_deaths", func() float64 { return float64(nod.gate.Stats().Deaths) })
	nod.metrics.Gauge("gate_unattributed_deaths", func() float64 { return float64(nod.gate.Stats().UnattributedDeaths) })
	nod.metrics.Gauge("gate_quarantined", func() float64 { return float64(nod.gate.Stats().Quarantined) })
	nod.metrics.Gauge("gate_crash_records_evicted", func() float64 { return float64(nod.gate.Stats().CrashRecordsEvicted) })
	nod.metrics.Gauge("gate_cold", func() float64 {
		if _, cold := nod.pacer.Rate(time.Now()); cold {
			return 1
		}
		return 0
	})
	nod.metrics.Gauge("gate_pace", func() float64 {
		rate, _ := nod.pacer.Rate(time.Now())
		return rate
	})
	nod.metrics.Gauge("crash_sends_failed", func() float64 { return float64(nod.crashLink.FailedSends()) })
	nod.metrics.Gauge("ejections", func() float64 { return float64(nod.picker.Ejections()) })
	nod.metrics.Gauge("members", func() float64 { return float64(len(nod.view.Load().Members)) })
	nod.metrics.Gauge("configuration_version", func() float64 { return float64(nod.version()) })
	nod.metrics.Gauge("restriction_problems", func() float64 { return float64(nod.restrictionProblems.Load()) })
	nod.metrics.Gauge("configuration_unconfirmed_seconds", func() float64 {
		return time.Since(time.Unix(0, nod.versionConfirmedAt.Load())).Seconds()
	})
}

func (nod *Node) version() uint64 {
	if cfg := nod.view.Load().Configuration; cfg != nil {
		return cfg.Version
	}
	return 0
}
