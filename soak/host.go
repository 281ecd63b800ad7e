package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/platform/standin"
	"flamingoreach/proofs/process"
)

const (
	callersPort = 8548
	readyPort   = 8546
	controlPort = 8540
	backendPort = 8547
	storePort   = 8545
	peersPort   = 7000
	// linkedPortOffset is the difference between the port of a link and the port of the server behind it.
	linkedPortOffset = 1000
	// graceTime is the time after SIGTERM within which a node must end; the nodes' settings contain it.
	graceTime = 6 * time.Second
)

// host is one node process with its backend server and its own endpoint of the store.
type host struct {
	name string
	// dataCentre is the data centre in the node's settings.
	dataCentre string
	address    netip.Addr
	callers    netip.AddrPort
	folder     string
	program    string
	endpoint   *standin.Endpoint
	backend    *standin.BackendServer
	ledger     *ledger

	mut    sync.Mutex
	node   *process.Process
	starts int
	// lastFault is the time of the last start, of the last signal, or at which a fault of the store last began or ended
	// at this host. Other faults are not recorded.
	lastFault time.Time
	// lastStoreFault is the time at which a fault of the store, or of the link to it, last began or ended.
	lastStoreFault time.Time
	servers        []*http.Server
	// stopBackend ends the backend server, whose error then arrives on backendEnded.
	stopBackend  context.CancelFunc
	backendEnded chan error
	// Links between callers and the node, and between the node and its backend server and store.
	callersLink, backendLink, storeLink *link
}

// newHost binds the stand-ins of a host and writes its settings; it fails if an address is in use.
func newHost(ctx context.Context, fleet *Fleet, number int) (*host, error) {
	address := netip.AddrFrom4([4]byte{127, byte(10 + fleet.number), 1, byte(number + 1)})
	service := services[number%len(services)]
	hos := &host{
		name: fmt.Sprintf("host%d", number), dataCentre: dataCentreOf(number), address: address, callers: netip.AddrPortFrom(address, callersPort+linkedPortOffset),
		folder: fleet.folder, program: fleet.program, endpoint: fleet.store.NewEndpoint(), ledger: fleet.ledger,
	}
	hos.backend = &standin.BackendServer{
		Service: service, Address: netip.AddrPortFrom(address, backendPort), Announcements: netip.AddrPortFrom(address, controlPort), OnExecute: func(exe standin.Execution) {
			fleet.ledger.recordExecution(exe)
			fleet.checkEvacuation(hos, exe.ID)
		},
		ListenAddress: netip.AddrPortFrom(address, backendPort+linkedPortOffset), CrashPath: crashPath, DownTime: backendDownTime,
		CrashIf:  func(req *http.Request) bool { return req.URL.RawQuery == "" },
		ColdTime: backendColdTime, ColdBound: standin.ColdBound,
		OnColdExcess: func(id string) {
			fleet.ledger.addViolation("cold", "%s was above the bound of a cold backend server of %s", id, service)
		},
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", netip.AddrPortFrom(address, storePort+linkedPortOffset).String())
	if err != nil {
		hos.close()
		return nil, eris.Wrap(err, "bind stand-in")
	}
	server := &http.Server{Handler: hos.endpoint, ReadHeaderTimeout: time.Minute}
	hos.servers = append(hos.servers, server)
	go func() { _ = server.Serve(listener) }()
	serving, stop := context.WithCancel(ctx)
	hos.stopBackend, hos.backendEnded = stop, make(chan error, 1)
	go func() { hos.backendEnded <- hos.backend.Serve(serving) }()
	if err := hos.openLinks(ctx); err != nil {
		hos.close()
		return nil, err
	}
	return hos, hos.writeSettings(service)
}

// openLinks puts a link in front of the node's listener for callers, the backend server and the store.
func (hos *host) openLinks(ctx context.Context) error {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(hos.address, port) }
	var err error
	if hos.callersLink, err = newLink(ctx, hos.callers, at(callersPort)); err != nil {
		return err
	}
	if hos.backendLink, err = newLink(ctx, at(backendPort), at(backendPort+linkedPortOffset)); err != nil {
		return err
	}
	hos.storeLink, err = newLink(ctx, at(storePort), at(storePort+linkedPortOffset))
	return err
}

func (hos *host) links() []*link { return []*link{hos.callersLink, hos.backendLink, hos.storeLink} }

func (hos *host) writeSettings(service string) error {
	text := standin.Settings(standin.Host{
		Name: hos.name, Address: hos.address, DataCentre: hos.dataCentre, Service: service, StopTime: graceTime,
		Callers: callersPort, Ready: readyPort, Announcements: controlPort, BackendServer: backendPort, Store: storePort, Peers: peersPort,
	})
	return eris.Wrap(os.WriteFile(hos.file("toml"), []byte(text), 0o600), "write settings")
}

func (hos *host) file(suffix string) string { return filepath.Join(hos.folder, hos.name+"."+suffix) }

// start starts the node process unless it is running.
func (hos *host) start(ctx context.Context) error {
	hos.mut.Lock()
	defer hos.mut.Unlock()
	if hos.node != nil && hos.node.Alive() {
		return nil
	}
	hos.starts++
	hos.lastFault = time.Now()
	node, err := process.Start(ctx, filepath.Join(hos.folder, fmt.Sprintf("%s-%d", hos.name, hos.starts)), hos.program, "node", "--settings", hos.file("toml"))
	hos.node = node
	return err
}

// signal sends a signal to the node process if it is running, and returns the process.
func (hos *host) signal(sig syscall.Signal) *process.Process {
	hos.mut.Lock()
	defer hos.mut.Unlock()
	hos.lastFault = time.Now()
	if hos.node != nil && hos.node.Alive() {
		hos.node.Signal(sig)
	}
	return hos.node
}

// recordFault records that a fault of the store or of its link begins or ends.
func (hos *host) recordFault() {
	hos.mut.Lock()
	defer hos.mut.Unlock()
	hos.lastFault = time.Now()
	hos.lastStoreFault = hos.lastFault
}

// faultFreeFor reports whether lastFault is longer ago than the given time. A fault that lasts longer counts only at
// its beginning and its end.
func (hos *host) faultFreeFor(span time.Duration) bool {
	hos.mut.Lock()
	defer hos.mut.Unlock()
	return time.Since(hos.lastFault) > span
}

// close ends the node process and the stand-ins.
func (hos *host) close() {
	if node := hos.signal(syscall.SIGCONT); node != nil && node.Alive() {
		node.Kill()
	}
	for _, lin := range hos.links() {
		if lin != nil {
			lin.close()
		}
	}
	for _, server := range hos.servers {
		_ = server.Close()
	}
	hos.endBackend()
}

// endBackend ends the backend server if it was started, and reports its error the first time.
func (hos *host) endBackend() {
	if hos.stopBackend == nil {
		return
	}
	hos.stopBackend()
	hos.stopBackend = nil
	if err := <-hos.backendEnded; err != nil {
		hos.ledger.addViolation("stand-in", "backend server of %s: %v", hos.name, err)
	}
}
