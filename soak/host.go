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
	// behindLink is added to the port of what stands behind a link.
	behindLink = 1000
	graceTime  = 6 * time.Second
)

// host is one node process with its backend server and its own view of the store.
type host struct {
	name    string
	address netip.Addr
	callers netip.AddrPort
	folder  string
	program string
	door    *standin.Endpoint
	backend *standin.BackendServer
	ledger  *ledger

	mut     sync.Mutex
	node    *process.Process
	starts  int
	harmed  time.Time
	servers []*http.Server
	// The links to the node for callers, and to what the node calls.
	callersLink, backendLink, storeLink *link
}

// newHost binds the stand-ins of a host and writes its settings; it fails if an address is taken.
func newHost(ctx context.Context, fleet *Fleet, number int) (*host, error) {
	address := netip.AddrFrom4([4]byte{127, byte(10 + fleet.number), 1, byte(number + 1)})
	service := services[number%len(services)]
	hos := &host{
		name: fmt.Sprintf("host%d", number), address: address, callers: netip.AddrPortFrom(address, callersPort+behindLink),
		folder: fleet.folder, program: fleet.program, door: fleet.store.NewEndpoint(), ledger: fleet.ledger,
	}
	hos.backend = &standin.BackendServer{
		Service: service, Address: netip.AddrPortFrom(address, backendPort), Announcements: netip.AddrPortFrom(address, controlPort), OnExecute: fleet.ledger.ran,
	}
	hos.backend.Restart()
	for port, handler := range map[uint16]http.Handler{storePort: hos.door, backendPort: hos.backend} {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", netip.AddrPortFrom(address, port+behindLink).String())
		if err != nil {
			hos.close()
			return nil, eris.Wrap(err, "bind stand-in")
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
		hos.servers = append(hos.servers, server)
		go func() { _ = server.Serve(listener) }()
	}
	if err := hos.openLinks(ctx); err != nil {
		hos.close()
		return nil, err
	}
	return hos, hos.writeSettings(number, service)
}

// openLinks puts a link before the node's callers' listener, and before the backend server and the store.
func (hos *host) openLinks(ctx context.Context) error {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(hos.address, port) }
	var err error
	if hos.callersLink, err = newLink(ctx, hos.callers, at(callersPort)); err != nil {
		return err
	}
	if hos.backendLink, err = newLink(ctx, at(backendPort), at(backendPort+behindLink)); err != nil {
		return err
	}
	hos.storeLink, err = newLink(ctx, at(storePort), at(storePort+behindLink))
	return err
}

func (hos *host) links() []*link { return []*link{hos.callersLink, hos.backendLink, hos.storeLink} }

func (hos *host) writeSettings(number int, service string) error {
	text := standin.Settings(standin.Host{
		Name: hos.name, Address: hos.address, DataCentre: fmt.Sprint("z", number/2%2), Service: service, StopTime: graceTime,
		Callers: callersPort, Ready: readyPort, Announcements: controlPort, BackendServer: backendPort, Store: storePort, Peers: peersPort,
	})
	return eris.Wrap(os.WriteFile(hos.file("toml"), []byte(text), 0o600), "write settings")
}

func (hos *host) file(ending string) string { return filepath.Join(hos.folder, hos.name+"."+ending) }

// start runs the node process, unless one lives.
func (hos *host) start(ctx context.Context) error {
	hos.mut.Lock()
	defer hos.mut.Unlock()
	if hos.node != nil && hos.node.Alive() {
		return nil
	}
	hos.starts++
	hos.harmed = time.Now()
	node, err := process.Start(ctx, filepath.Join(hos.folder, fmt.Sprintf("%s-%d", hos.name, hos.starts)), hos.program, "node", "--settings", hos.file("toml"))
	hos.node = node
	return err
}

// signal sends a signal to the node process if it lives, and returns the process.
func (hos *host) signal(sig syscall.Signal) *process.Process {
	hos.mut.Lock()
	defer hos.mut.Unlock()
	hos.harmed = time.Now()
	if hos.node != nil && hos.node.Alive() {
		hos.node.Signal(sig)
	}
	return hos.node
}

// harm notes a fault that is not a signal.
func (hos *host) harm() {
	hos.mut.Lock()
	defer hos.mut.Unlock()
	hos.harmed = time.Now()
}

// calmFor reports whether nothing has happened to the host for a time.
func (hos *host) calmFor(span time.Duration) bool {
	hos.mut.Lock()
	defer hos.mut.Unlock()
	return time.Since(hos.harmed) > span
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
}
