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
	objectBytes      = 16 << 20
)

// Node is one process beside a backend server.
type Node struct {
	settings settingsfile.Settings
	log      *log.Logger
	logs     *layerlogs.LayerLogs
	id       string
	started  time.Time

	// Traffic reads these.
	view    atomic.Pointer[view.View]
	backend atomic.Pointer[netip.AddrPort]

	control   *control.Thread
	server    *localservertrace.Server
	gate      *gate.Gate
	picker    *pick.Picker
	deeper    *deeperlimit.Limit
	budget    *retrybudget.Budget
	link      *linkbudget.Budget
	handles   *handletable.Table
	runner    *attempt.Runner
	admission *admission.Admission

	metrics       *metricset.MetricSet
	backendClient *backendserver.Client
	peerClient    *peer.Client
	table         *tableservice.Client
	objects       *objectstore.Client
	peerServer    *peer.Server
	// accepted counts the connections that other nodes opened.
	accepted   bytecount.Counter
	tasks      *tasks.Tasks
	dispatcher *dispatcher.Dispatcher
	listeners  listeners
	ready      chan struct{}
	recorder   *trace.Recorder
	// sharedBody is what other nodes fetch from this one.
	sharedBody configurationbody.Body
	traceFile  *tracefile.File
	// credentials is nil where nodes speak cleartext.
	credentials *fleettls.Credentials

	// Traffic reads these too, by atomics inside.
	fence   *fence.Fence
	wallet  *tokenpool.Pool
	leaders atomic.Pointer[map[string]leader.Leader]

	// Control state.
	self                member.Member
	members             *membership.List
	registered          []string
	versions            *versionview.View
	life                *lifecycle.Lifecycle
	heartbeats          *configurationtrace.Node
	configurationLeader *configurationleader.Leader
	configurationTable  *configurationtable.Table
	patches             map[*patch.Patch]bool
	lease               *leasetrace.Lease
	share               *share.Share
	// carried is the heartbeat that the next share request takes along, or nil.
	carried     *heartbeat.Heartbeat
	announcedAt time.Time
	// informed says when each member last asked this node as its leader.
	informed map[string]time.Time
	// handsOver says that this node leaves and another one is there to lead.
	handsOver bool
	crashes   *crashlink.Link
	// issuer and division exist while this node leads its data centre; divided names the accounts of division.
	issuer   *grant.Issuer
	division *division.Division
	divided  map[string]bool
}

// New returns a node that has not started; it fails if the files for TLS cannot be used.
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
		deeper:        deeperlimit.New(gatepolicy.DefaultSlots),
		budget:        retrybudget.New(),
		link:          linkbudget.New(float64(set.Fleet.LinkBytes)),
		handles:       handles,
		metrics:       metricset.New(),
		backendClient: backendserver.NewClient(handles, int64(set.Limits.BodyBytes)),
		peerServer:    peer.NewServer(),
		tasks:         tasks.New(taskLimit),
		ready:         make(chan struct{}),
		fence:         fence.New(),
		wallet:        tokenpool.New(),
		versions:      versionview.New(),
		life:          lifecycle.New(),
		patches:       map[*patch.Patch]bool{},
	}
	nod.dispatcher = &dispatcher.Dispatcher{Control: nod.control, Tasks: nod.tasks, Log: nod.logs.Control}
	nod.picker.MaySpill = nod.link.Take
	nod.leaders.Store(&map[string]leader.Leader{})
	if err := nod.loadCredentials(); err != nil {
		return nil, err
	}
	if err := nod.openTrace(); err != nil {
		return nil, err
	}
	nod.server = localservertrace.New(nod.recorder)
	platform := set.Platform
	nod.table = tableservice.New(platform.Table, platform.TableName, platform.AccessKeyID, platform.SecretAccessKey, platform.Timeout)
	nod.objects = objectstore.New(platform.Objects, platform.Bucket, platform.AccessKeyID, platform.SecretAccessKey, platform.Timeout, objectBytes)
	nod.self = member.Member{
		ID: nod.id, Region: set.Node.Region, DataCentre: set.Node.DataCentre, Service: set.Node.Service,
		State: "announced", Incarnation: 1, Started: nod.started,
	}
	nod.view.Store(view.New(nil, nil, nod.self, nil))
	nod.joinCalls()
	nod.joinServer()
	nod.registerGauges()
	return nod, nil
}

// openTrace records the control modules and the gate's decisions where the settings name a file.
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

// Ready is closed once all listeners are bound.
func (nod *Node) Ready() <-chan struct{} { return nod.ready }

// Addresses returns the bound addresses; it is valid after Ready.
func (nod *Node) Addresses() nodeaddresses.Addresses {
	lis := &nod.listeners
	return nodeaddresses.Addresses{
		Callers: lis.callers.Address(), BackendServer: lis.backendServer.Address(),
		Peers: lis.peers.Address(), Operators: lis.operators.Address(),
	}
}

// View returns what traffic knows at present.
func (nod *Node) View() *view.View { return nod.view.Load() }

// Metrics returns the node's own set.
func (nod *Node) Metrics() *metricset.MetricSet { return nod.metrics }

// ControlUsage returns what the node's control has used since its start.
func (nod *Node) ControlUsage() controlusage.Usage {
	_, _, leads := nod.ownLeader()
	return controlusage.Usage{
		Leads:         leads,
		ProcessorTime: nod.control.ProcessorTime(),
		Events:        nod.control.Applied(),
		MessageBytes:  nod.peerClient.ControlBytes() + nod.peerServer.ControlBytes(),

		ConnectionBytes: nod.peerClient.ConnectionBytes() + nod.accepted.Bytes(),
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
	nod.metrics.Gauge("ejections", func() float64 { return float64(nod.picker.Ejections()) })
	nod.metrics.Gauge("configuration_version", func() float64 { return float64(nod.version()) })
}

func (nod *Node) version() uint64 {
	if cfg := nod.view.Load().Configuration; cfg != nil {
		return cfg.Version
	}
	return 0
}

// joinControl connects the modules of the control thread; it needs the bound addresses.
func (nod *Node) joinControl() {
	nod.peerClient.Leader, nod.peerClient.OnLeader = nod.ownLeader, nod.leaderHeard
	nod.peerServer.Leader, nod.peerServer.OnLeader = nod.ownLeader, nod.leaderHeard
	nod.peerServer.RunCall = nod.runAtGate
	nod.crashes = &crashlink.Link{
		Dispatcher: nod.dispatcher, Client: nod.peerClient, Server: nod.peerServer, Gate: nod.gate, AskTimeout: askTimeout,
		Peers: func() []netip.AddrPort { return nod.view.Load().Peers(nod.settings.Node.Service) },
	}
	nod.joinMembers()
	nod.joinLeadership()
	// Heartbeats tick before share requests, which carry them.
	nod.joinConfiguration()
	nod.joinShares()
	nod.joinContact()
	nod.crashes.Register()
	nod.joinReports()
	nod.control.AddTicker(nod.tickPatches)
}
