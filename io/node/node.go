package node

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"flamingoreach/core/admission"
	"flamingoreach/core/attempt"
	"flamingoreach/core/configurationleader"
	"flamingoreach/core/configurationnode/configurationtrace"
	"flamingoreach/core/control"
	"flamingoreach/core/controlusage"
	"flamingoreach/core/deeperlimit"
	"flamingoreach/core/division"
	"flamingoreach/core/fence"
	"flamingoreach/core/gate"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/grant"
	"flamingoreach/core/handletable"
	"flamingoreach/core/heartbeat"
	"flamingoreach/core/leader"
	"flamingoreach/core/lease/leasetrace"
	"flamingoreach/core/lifecycle"
	"flamingoreach/core/linkbudget"
	"flamingoreach/core/locality"
	"flamingoreach/core/localserver/localservertrace"
	"flamingoreach/core/member"
	"flamingoreach/core/membership"
	"flamingoreach/core/patch"
	"flamingoreach/core/pick"
	"flamingoreach/core/retrybudget"
	"flamingoreach/core/share"
	"flamingoreach/core/tokenpool"
	"flamingoreach/core/trace"
	"flamingoreach/core/versionview"
	"flamingoreach/core/view"
	"flamingoreach/io/backendserver"
	"flamingoreach/io/bytecount"
	"flamingoreach/io/configurationbody"
	"flamingoreach/io/configurationtable"
	"flamingoreach/io/crashlink"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/fleettls"
	"flamingoreach/io/layerlogs"
	"flamingoreach/io/metricset"
	"flamingoreach/io/nodeaddresses"
	"flamingoreach/io/objectstore"
	"flamingoreach/io/peer"
	"flamingoreach/io/settingsfile"
	"flamingoreach/io/tableservice"
	"flamingoreach/io/tasks"
	"flamingoreach/io/tracefile"
)

const (
	eventQueueLength = 4096
	// maxObjectBytes bounds the text of a configuration version, as stored and after decompression.
	maxObjectBytes = 16 << 20
)

// Node is the node that runs beside one backend server.
type Node struct {
	settings settingsfile.Settings
	log      *log.Logger
	logs     *layerlogs.LayerLogs
	id       string
	started  time.Time

	// Read by the goroutines that handle calls.
	view                 atomic.Pointer[view.View]
	backendServerAddress atomic.Pointer[netip.AddrPort]

	control     *control.Thread
	localServer *localservertrace.Server
	gate        *gate.Gate
	picker      *pick.Picker
	deeperLimit *deeperlimit.Limit
	retryBudget *retrybudget.Budget
	linkBudget  *linkbudget.Budget
	handles     *handletable.Table
	runner      *attempt.Runner
	admission   *admission.Admission

	metrics       *metricset.MetricSet
	backendClient *backendserver.Client
	peerClient    *peer.Client
	table         *tableservice.Client
	objects       *objectstore.Client
	peerServer    *peer.Server
	// inboundBytes counts the bytes on connections that other nodes opened to this one.
	inboundBytes bytecount.Counter
	tasks        *tasks.Tasks
	dispatcher   *dispatcher.Dispatcher
	listeners    listeners
	ready        chan struct{}
	recorder     *trace.Recorder
	// bodyCache caches the compressed text of the configuration version that other nodes fetch from this one.
	bodyCache configurationbody.Cache
	traceFile *tracefile.File
	// credentials is nil if the settings configure no TLS; the nodes then use cleartext connections.
	credentials *fleettls.Credentials

	// Also used by the goroutines that handle calls; these are safe for concurrent use.
	fence     *fence.Fence
	tokenPool *tokenpool.Pool
	leaders   atomic.Pointer[map[string]leader.Leader]

	// Control state, which only the control thread changes once it runs.
	self    member.Member
	members *membership.List
	// registeredIDs holds the IDs of the members of this data centre that had a row in the table at its last read.
	registeredIDs       []string
	versions            *versionview.View
	lifecycle           *lifecycle.Lifecycle
	configurationNode   *configurationtrace.Node
	configurationLeader *configurationleader.Leader
	configurationTable  *configurationtable.Table
	patches             map[*patch.Patch]bool
	lease               *leasetrace.Lease
	share               *share.Share
	// pendingHeartbeat is the heartbeat to send in the same message as the next share request, or nil.
	pendingHeartbeat *heartbeat.Heartbeat
	announcedAt      time.Time
	// lastAnswered is the time at which this node, as leader, last answered a share request of each member, by member
	// ID.
	lastAnswered map[string]time.Time
	// handingOver is set when this node leaves and another member of the data centre can take over the leadership.
	handingOver bool
	crashLink   *crashlink.Link
	// issuer and division are set only while this node leads its data centre. dividedAccounts holds the names of the
	// accounts that were passed to division.
	issuer          *grant.Issuer
	division        *division.Division
	dividedAccounts map[string]bool
}

// New returns a node that has not started. It fails if the TLS files cannot be loaded or the trace file cannot be
// created.
func New(set settingsfile.Settings, logger *log.Logger) (*Node, error) {
	loc := locality.Locality{Region: set.Node.Region, DataCentre: set.Node.DataCentre}
	handles := handletable.New()
	levels := set.Logs
	nod := &Node{
		settings:      set,
		log:           logger,
		logs:          layerlogs.New(logger, levels.Caller, levels.Peer, levels.Gate, levels.Control, levels.Platform),
		id:            uuid.Must(uuid.NewV7()).String(),
		started:       time.Now(),
		control:       control.New(eventQueueLength),
		gate:          gate.New(gatepolicy.Policy{}),
		picker:        pick.New(loc),
		deeperLimit:   deeperlimit.New(gatepolicy.DefaultSlots),
		retryBudget:   retrybudget.New(),
		linkBudget:    linkbudget.New(float64(set.Fleet.LinkBytes)),
		handles:       handles,
		metrics:       metricset.New(),
		backendClient: backendserver.NewClient(handles, int64(set.Limits.BodyBytes)),
		peerServer:    peer.NewServer(),
		tasks:         tasks.New(taskLimit),
		ready:         make(chan struct{}),
		fence:         fence.New(),
		tokenPool:     tokenpool.New(),
		versions:      versionview.New(),
		lifecycle:     lifecycle.New(),
		patches:       map[*patch.Patch]bool{},
	}
	nod.dispatcher = &dispatcher.Dispatcher{Control: nod.control, Tasks: nod.tasks, Log: nod.logs.Control}
	nod.picker.MaySpill = nod.linkBudget.Take
	nod.leaders.Store(&map[string]leader.Leader{})
	if err := nod.loadCredentials(); err != nil {
		return nil, err
	}
	if err := nod.openTrace(); err != nil {
		return nil, err
	}
	nod.localServer = localservertrace.New(nod.recorder)
	platform := set.Platform
	nod.table = tableservice.New(platform.Table, platform.TableName, platform.AccessKeyID, platform.SecretAccessKey, platform.Timeout)
	nod.objects = objectstore.New(platform.Objects, platform.Bucket, platform.AccessKeyID, platform.SecretAccessKey, platform.Timeout, maxObjectBytes)
	nod.self = member.Member{
		ID: nod.id, Region: set.Node.Region, DataCentre: set.Node.DataCentre, Service: set.Node.Service,
		State: "announced", Incarnation: 1, Started: nod.started,
	}
	nod.view.Store(view.New(nil, nil, nod.self, nil))
	nod.setUpCalls()
	nod.setUpServer()
	nod.registerGauges()
	return nod, nil
}

// openTrace creates the trace file for the control modules and the gate's decisions if the settings name one.
func (nod *Node) openTrace() error {
	name := nod.settings.Record.File
	if name == "" {
		nod.recorder = &trace.Recorder{}
		return nil
	}
	fil, err := tracefile.Create(name, "flamingoreach node --settings FILE, with [record]")
	if err != nil {
		return err
	}
	nod.traceFile = fil
	nod.recorder = trace.New(fil.Write)
	return nil
}

// loadCredentials creates the client for peers. If the settings name TLS files, it loads them first, and the client and
// the listener for peers then use TLS. It fails if a file cannot be loaded.
func (nod *Node) loadCredentials() error {
	files := nod.settings.TLS
	if files.Authority == "" {
		nod.peerClient = peer.NewClient(nil)
		return nil
	}
	cre, err := fleettls.Load(files.Authority, files.Certificate, files.Key)
	if err != nil {
		return err
	}
	cre.OnReload = func(err error) {
		if err != nil {
			nod.logs.Peer.Error("certificates not reloaded", "step", "reload certificates", "error", err)
		}
	}
	nod.credentials = cre
	nod.peerClient = peer.NewClient(cre.Dial)
	return nil
}

// ID returns the node's ID, which is new at each start.
func (nod *Node) ID() string { return nod.id }

// Ready returns a channel that is closed once all listeners are bound.
func (nod *Node) Ready() <-chan struct{} { return nod.ready }

// Addresses returns the addresses of the listeners. It must not be called before the channel of Ready is closed.
func (nod *Node) Addresses() nodeaddresses.Addresses {
	lis := &nod.listeners
	return nodeaddresses.Addresses{
		Callers: lis.callers.Address(), BackendServer: lis.backendServer.Address(),
		Peers: lis.peers.Address(), Operators: lis.operators.Address(),
	}
}

// View returns the current snapshot of members and configuration that calls are handled with.
func (nod *Node) View() *view.View { return nod.view.Load() }

// Metrics returns the metrics of this node.
func (nod *Node) Metrics() *metricset.MetricSet { return nod.metrics }

// ControlUsage returns the processor time of the control thread, the events that it applied, and the bytes of control
// messages and on connections to other nodes, all since the start of this node.
func (nod *Node) ControlUsage() controlusage.Usage {
	_, _, leads := nod.ownLeader()
	return controlusage.Usage{
		Leads:         leads,
		ProcessorTime: nod.control.ProcessorTime(),
		Events:        nod.control.Applied(),
		MessageBytes:  nod.peerClient.ControlBytes() + nod.peerServer.ControlBytes(),

		ConnectionBytes: nod.peerClient.ConnectionBytes() + nod.inboundBytes.Bytes(),
	}
}

func (nod *Node) registerGauges() {
	nod.metrics.Gauge("control_processor_seconds", func() float64 { return nod.control.ProcessorTime().Seconds() })
	nod.metrics.Gauge("control_events", func() float64 { return float64(nod.control.Applied()) })
	nod.metrics.Gauge("control_events_dropped", func() float64 { return float64(nod.control.Dropped()) })
	nod.metrics.Gauge("control_message_bytes", func() float64 { return float64(nod.ControlUsage().MessageBytes) })
	nod.metrics.Gauge("control_tasks_dropped", func() float64 { return float64(nod.tasks.Dropped()) })
	nod.metrics.Gauge("gate_running", func() float64 { return float64(nod.gate.Stats().Running) })
	nod.metrics.Gauge("gate_waiting", func() float64 { return float64(nod.gate.Stats().Waiting) })
	nod.metrics.Gauge("gate_limit", func() float64 { return float64(nod.gate.Stats().Limit) })
	nod.metrics.Gauge("gate_deaths", func() float64 { return float64(nod.gate.Stats().Deaths) })
	nod.metrics.Gauge("gate_unattributed_deaths", func() float64 { return float64(nod.gate.Stats().UnattributedDeaths) })
	nod.metrics.Gauge("gate_quarantined", func() float64 { return float64(nod.gate.Stats().Quarantined) })
	nod.metrics.Gauge("gate_crash_records_evicted", func() float64 { return float64(nod.gate.Stats().CrashRecordsEvicted) })
	nod.metrics.Gauge("crash_sends_failed", func() float64 { return float64(nod.crashLink.FailedSends()) })
	nod.metrics.Gauge("ejections", func() float64 { return float64(nod.picker.Ejections()) })
	nod.metrics.Gauge("configuration_version", func() float64 { return float64(nod.version()) })
}

func (nod *Node) version() uint64 {
	if cfg := nod.view.Load().Configuration; cfg != nil {
		return cfg.Version
	}
	return 0
}

// setUpControl sets up the modules of the control thread. It is called after the listeners are bound, because the
// modules use the node's address for peers.
func (nod *Node) setUpControl() {
	nod.peerClient.Leader, nod.peerClient.OnLeader = nod.ownLeader, nod.receiveLeader
	nod.peerServer.Leader, nod.peerServer.OnLeader = nod.ownLeader, nod.receiveLeader
	nod.peerServer.RunCall = nod.runAtGate
	nod.crashLink = &crashlink.Link{
		Dispatcher: nod.dispatcher, Client: nod.peerClient, Server: nod.peerServer, Gate: nod.gate, AskTimeout: askTimeout,
		Peers: func() []member.Member { return nod.view.Load().Peers(nod.settings.Node.Service) },
	}
	nod.setUpMembers()
	nod.setUpLeadership()
	// Tickers run in the order in which they are added. That of setUpConfiguration sends heartbeats, that of
	// setUpShares share requests. A heartbeat shares its message with a share request, unless one is in flight or was
	// sent just before. So setUpConfiguration comes first.
	nod.setUpConfiguration()
	nod.setUpShares()
	nod.setUpContact()
	nod.crashLink.Register()
	nod.setUpReports()
	nod.control.AddTicker(nod.tickPatches)
}
