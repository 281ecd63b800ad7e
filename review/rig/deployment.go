package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	callersPort = 8548
	readyPort   = 8546
	controlPort = 8540
	backendPort = 8547
	storePort   = 8545
	firstPort   = 7000
	lastPort    = 7015

	hostName = "hulo84.example"
	// readyLimit bounds the time until all nodes are ready.
	readyLimit = 20 * time.Second
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 6 * time.Second
	program   = "target/flamingoreach-host"
)

// site is one machine of a small deployment with its zone and service.
type site struct{ name, zone, service string }

// machine is a machine with its node process and its backend server.
type machine struct {
	site
	dep     *deployment
	address netip.Addr
	back    *backend

	mut    sync.Mutex
	node   *exec.Cmd
	ended  chan struct{}
	starts int
}

// deployment is a small deployment with its store.
type deployment struct {
	rec      *record
	led      *ledger
	store    *store
	folder   string
	machines []*machine
	servers  []*http.Server
}

func (mac *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(mac.address, port) }

// newDeployment binds the backend servers and, at an address of its own for each machine, the store; it fails if an address is in use.
func newDeployment(ctx context.Context, rec *record, sites ...site) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	dep := &deployment{rec: rec, led: &ledger{}, store: newStore(rec), folder: folder}
	// The second and third bytes differ from process to process, so that two runs do not meet.
	process := os.Getpid()
	network := func(last byte) netip.Addr {
		return netip.AddrFrom4([4]byte{127, byte(128 + process%64), byte(process / 64 % 256), last})
	}
	for number, sit := range sites {
		mac := &machine{site: sit, dep: dep, address: network(byte(number + 1))}
		mac.back = &backend{
			rec: rec, led: dep.led, service: sit.service, zone: sit.zone, id: "i-" + sit.name, state: "ready", seq: 1,
			address: mac.at(backendPort), control: mac.at(controlPort), born: time.Now().UnixMilli(), call: mac.call,
		}
		if err := dep.serve(ctx, mac.at(backendPort), mac.back); err != nil {
			return dep, err
		}
		if err := dep.serve(ctx, mac.at(storePort), &endpoint{store: dep.store, name: sit.name}); err != nil {
			return dep, err
		}
		if err := mac.writeSettings(); err != nil {
			return dep, err
		}
		dep.machines = append(dep.machines, mac)
	}
	return dep, nil
}

func (dep *deployment) serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	dep.servers = append(dep.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// close ends all processes and stand-ins.
func (dep *deployment) close() {
	for _, mac := range dep.machines {
		mac.signal(syscall.SIGKILL)
		mac.await()
	}
	for _, server := range dep.servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(dep.folder)
}

func (mac *machine) settingsFile() string {
	return filepath.Join(mac.dep.folder, mac.name+".toml")
}

func (mac *machine) writeSettings() error {
	text := fmt.Sprintf(`[self]
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
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
portRange = [%d,%d]
seeds = []
[network.listen]
inbound = %q
outbound = %q
ready = %q
control = %q
[network.zones]
ams-a = "nl-west"
rtm-b = "nl-west"
hlm-c = "nl-west"
ldn-d = "nl-west"
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
graceS = 6
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
`, mac.name, mac.address, mac.zone, mac.at(backendPort), mac.service, firstPort, lastPort, mac.at(backendPort-4), mac.at(callersPort),
		mac.at(readyPort), mac.at(controlPort), mac.at(storePort))
	return os.WriteFile(mac.settingsFile(), []byte(text), 0o600)
}

// start starts the node as the deploy file says.
func (mac *machine) start(ctx context.Context) error {
	mac.mut.Lock()
	defer mac.mut.Unlock()
	mac.starts++
	out, err := os.Create(filepath.Join(mac.dep.folder, fmt.Sprintf("%s-%d.out", mac.name, mac.starts)))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	node := exec.CommandContext(ctx, program, "node")
	node.Env = append(os.Environ(), "FLAMINGOREACH_SETTINGS="+mac.settingsFile())
	node.Stdout, node.Stderr = out, out
	if err := node.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	mac.node, mac.ended = node, ended
	mac.dep.rec.say("%s: the node starts", mac.name)
	go func() {
		err := node.Wait()
		mac.dep.rec.say("%s: the node has ended: %v", mac.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the node, if it has been started.
func (mac *machine) signal(sig syscall.Signal) {
	mac.mut.Lock()
	defer mac.mut.Unlock()
	if mac.node != nil {
		_ = mac.node.Process.Signal(sig)
	}
}

// await waits until the node has ended.
func (mac *machine) await() {
	mac.mut.Lock()
	ended := mac.ended
	mac.mut.Unlock()
	if ended != nil {
		<-ended
	}
}

// stop stops the node as the platform does: SIGTERM, and SIGKILL after the grace time.
func (mac *machine) stop() {
	mac.dep.rec.say("%s: SIGTERM", mac.name)
	mac.signal(syscall.SIGTERM)
	timer := time.AfterFunc(graceTime, func() { mac.signal(syscall.SIGKILL) })
	mac.await()
	timer.Stop()
}

// ready asks the node whether it is ready.
func (mac *machine) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+mac.at(readyPort).String()+"/v1/ready", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (dep *deployment) awaitReady(ctx context.Context) error {
	until := time.Now().Add(readyLimit)
	for _, mac := range dep.machines {
		for !mac.ready(ctx) {
			if time.Now().After(until) || ctx.Err() != nil {
				return errors.New(mac.name + " does not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	dep.rec.say("all nodes are ready")
	return nil
}

// startAll starts all nodes and the heartbeats of the backend servers.
func (dep *deployment) startAll(ctx context.Context) error {
	for _, mac := range dep.machines {
		if err := mac.start(ctx); err != nil {
			return err
		}
		go mac.back.announce(ctx)
	}
	return nil
}

// call makes a deeper call of the machine's backend server on the route /sync/.
func (mac *machine) call(ctx context.Context, work int, left time.Duration) bool {
	res := send(ctx, mac.dep.rec, mac.at(callersPort), request{
		id: newID(), method: http.MethodPost, host: hostName, target: fmt.Sprintf("/sync/deeper?work=%d", work), timeout: left,
	})
	mac.dep.addCall(res)
	return res.status == http.StatusOK && res.complete
}

var (
	callsMut sync.Mutex
	calls    []result
)

func (dep *deployment) addCall(res result) {
	callsMut.Lock()
	defer callsMut.Unlock()
	calls = append(calls, res)
}

// deeperCalls returns the calls that backend servers have made.
func (dep *deployment) deeperCalls() []result {
	callsMut.Lock()
	defer callsMut.Unlock()
	return append([]result{}, calls...)
}

// route is one route of a configuration.
type route struct {
	name, prefix, service, kind string
	timeout, target             int
	public                      bool
}

// account is one tenant of a configuration.
type account struct {
	name, key   string
	rate, burst int
}

// configuration returns the text of a configuration in the form of the platform's pages.
func configuration(version int, routes []route, accounts []account) []byte {
	var routeRows, accountRows []string
	services := map[string]bool{}
	for _, rou := range routes {
		routeRows = append(routeRows, fmt.Sprintf(`[%q,%q,%q,%q,%d,%d,1,null,2,%t,%q]`, rou.name, hostName, rou.prefix, rou.kind,
			rou.timeout, rou.target, rou.public, rou.service))
		services[rou.service] = true
	}
	for _, acc := range accounts {
		accountRows = append(accountRows, fmt.Sprintf(`[%q,[%q],1,%d,%d]`, acc.name, acc.key, acc.rate, acc.burst))
	}
	var serviceRows []string
	for name := range services {
		serviceRows = append(serviceRows, fmt.Sprintf(`[%q,"/health",724,"h1",false]`, name))
	}
	return fmt.Appendf(nil, `{"version":"%08x","routes":{"columns":["name","hostname","prefix","kind","timeoutMs","targetLatencyMs","priority","weightedClusters","maxAttempts","public","service"],"rows":[%s]},`+
		`"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[%s]},`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[%s]}}`,
		version, strings.Join(routeRows, ","), strings.Join(serviceRows, ","), strings.Join(accountRows, ","))
}
