package rig2

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"flamingoreach/platform/standin"
	"flamingoreach/proofs/loopback"
)

// The ports of each host's listeners.
const (
	outboundPort = loopback.FirstPort + iota
	readyPort
	controlPort
	inboundPort
	appPort
	storePort
	firstPeerPort
)

// HostName and Key are the name of the host and the key of the client account that requests carry.
const (
	HostName = "hulo84.example"
	Key      = "6wsjnbanfqasnmgkcuyj"
)

const (
	startTimeout = 15 * time.Second
	settleTime   = 2 * time.Second
	pollInterval = 50 * time.Millisecond
	fileMode     = 0o600
)

// Settings are what differs between hosts.
type Settings struct {
	Zone, Service string
	MemoryMB      int
	GraceS        int
	Slots         int
	// DownTime is how long the backend server is away after a crash.
	DownTime time.Duration
}

// Fleet is a store and the hosts that use it.
type Fleet struct {
	Record *Record
	Store  *standin.Store
	Hosts  []*Host

	program, folder string
	server          *http.Server
	storeAddress    netip.AddrPort
	served          chan error
}

// NewFleet starts a store that holds a configuration.
func NewFleet(ctx context.Context, program string, rec *Record, configuration string) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	fle := &Fleet{Record: rec, Store: standin.NewStore(), program: program, folder: folder, served: make(chan error, 1)}
	fle.Store.PutConfiguration([]byte(configuration))
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", netip.AddrPortFrom(loopback.NewHost(), storePort).String())
	if err != nil {
		return nil, err
	}
	fle.storeAddress = listener.Addr().(*net.TCPAddr).AddrPort()
	fle.server = &http.Server{Handler: fle.Store.NewEndpoint(), ReadHeaderTimeout: headerTimeout}
	go func() { fle.served <- fle.server.Serve(listener) }()
	return fle, nil
}

// Add starts a host: its backend server and its node.
func (fle *Fleet) Add(ctx context.Context, set Settings, work func(req *http.Request, body []byte) []byte) (*Host, error) {
	address := loopback.NewHost()
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(address, port) }
	hos := &Host{
		Outbound: at(outboundPort), Ready: at(readyPort), settings: set, record: fle.Record, program: fle.program,
		name: fmt.Sprintf("host%d", len(fle.Hosts)), folder: fle.folder,
		Upstream: &Upstream{
			Service: set.Service, Address: at(appPort), Control: at(controlPort), Slots: set.Slots, Record: fle.Record, Work: work,
			DownTime: set.DownTime,
		},
	}
	if err := os.WriteFile(hos.settingsFile(), []byte(settingsText(set, hos.name, at, fle.storeAddress)), fileMode); err != nil {
		return nil, err
	}
	fle.Hosts = append(fle.Hosts, hos)
	if err := hos.Upstream.Start(ctx); err != nil {
		return nil, err
	}
	return hos, hos.Start()
}

// AwaitReady waits until all nodes are ready and know each other.
func (fle *Fleet) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, hos := range fle.Hosts {
		for !hos.IsReady(ctx) {
			if ctx.Err() != nil {
				return errors.New("a node is not ready")
			}
			wait(ctx, pollInterval)
		}
	}
	wait(ctx, settleTime)
	return nil
}

// Close ends all processes of the fleet.
func (fle *Fleet) Close() {
	for _, hos := range fle.Hosts {
		hos.Close()
		hos.Upstream.Close()
	}
	_ = fle.server.Close()
	if err := <-fle.served; !errors.Is(err, http.ErrServerClosed) {
		fle.Record.Write("store ended", "error", err)
	}
	_ = os.RemoveAll(fle.folder)
}

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Service, Kind string
	TimeoutMs, MaxAttempts      int
}

// Configuration returns the text of a configuration with one client account without a limit.
func Configuration(version uint64, routes ...Route) string {
	return LimitedConfiguration(version, 0, 0, routes...)
}

// LimitedConfiguration is Configuration with a limit of the client account.
func LimitedConfiguration(version uint64, ratePerS, burst int, routes ...Route) string {
	var rows []string
	for _, rou := range routes {
		rows = append(rows, fmt.Sprintf(`[%q,%q,%q,%q,%d,1500,1,null,%d,false,%q]`,
			rou.Name, HostName, rou.Prefix, rou.Kind, rou.TimeoutMs, rou.MaxAttempts, rou.Service))
	}
	return fmt.Sprintf(`{"version":"%08x","routes":{"columns":["name","hostname","prefix","kind","timeoutMs","targetLatencyMs","priority",`+
		`"weightedClusters","maxAttempts","public","service"],"rows":[%s]},"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],`+
		`"rows":[["quotes","/health",724,"h1",false],["margins","/health",724,"h1",false]]},`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[["pulo780",[%q],1,%d,%d]]},"baseVersion":"00000000"}`,
		version, strings.Join(rows, ","), Key, ratePerS, burst)
}

// settingsText returns the settings file of a host as the platform's pages show it.
func settingsText(set Settings, name string, at func(port uint16) netip.AddrPort, store netip.AddrPort) string {
	return fmt.Sprintf(`[self]
nodeId = %q
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "nl-west"
inFaultSet = false
bootstrap = true
appAddr = %q
service = %q
[self.limits]
cpuShare = 0.64
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
portRange = [%d, %d]
seeds = []
[network.listen]
inbound = %q
outbound = %q
ready = %q
control = %q
[network.zones]
ams-a = "nl-west"
rtm-b = "nl-west"
[platform]
discovery = "static"
entry = "static"
heartbeatMs = 1500
[platform.platform]
address = %q
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
appendsPerS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobPerS = 80.0
[terms]
contracts = ["base","drain","config","cost","retry","recover","pressure","tenants","quota","platform"]
[terms.faultTolerance]
machines = 2
zones = 0
regions = 0
[terms.bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = %d
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 48
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
recoverS = 15
`, name, at(0).Addr(), set.Zone, at(appPort), set.Service, set.MemoryMB, firstPeerPort, firstPeerPort+15,
		at(inboundPort), at(outboundPort), at(readyPort), at(controlPort), store, set.GraceS)
}

func (hos *Host) settingsFile() string { return filepath.Join(hos.folder, hos.name+".toml") }
