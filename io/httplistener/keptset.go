package httplistener

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"flamingoreach/io/framing"
)

// closePoll is the interval at which Close checks the connections.
const closePoll = 10 * time.Millisecond

// keptSet holds the open connections of one listener by their remote address.
type keptSet struct {
	mut  sync.Mutex
	open map[netip.AddrPort]*kept
}

func newKeptSet() *keptSet { return &keptSet{open: map[netip.AddrPort]*kept{}} }

func (set *keptSet) add(con *net.TCPConn) *kept {
	kep := &kept{TCPConn: con, all: set, opened: time.Now()}
	set.mut.Lock()
	defer set.mut.Unlock()
	set.open[remote(con)] = kep
	return kep
}

func (set *keptSet) forget(kep *kept) {
	set.mut.Lock()
	defer set.mut.Unlock()
	if address := remote(kep.TCPConn); set.open[address] == kep {
		delete(set.open, address)
	}
}

// state records a change of state that net/http reports.
func (set *keptSet) state(con net.Conn, state http.ConnState) {
	set.mut.Lock()
	kep := set.open[remote(con)]
	set.mut.Unlock()
	if kep == nil {
		return
	}
	kep.framed.Store(isFramed(con))
	kep.state.Store(int32(state))
}

// isFramed reports whether a connection speaks HTTP/2.
func isFramed(con net.Conn) bool {
	if secure, ok := con.(*tls.Conn); ok {
		return secure.ConnectionState().NegotiatedProtocol == "h2"
	}
	return framing.Framed(con)
}

// end closes each HTTP/1.1 connection once no request on it is unanswered, and returns when none is left or the context
// ends. Each answer must carry "Connection: close", so that no client sends another request.
func (set *keptSet) end(ctx context.Context) {
	ticker := time.NewTicker(closePoll)
	defer ticker.Stop()
	for set.endDone() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// endDone closes the HTTP/1.1 connections without an unanswered request and returns the number of those left.
func (set *keptSet) endDone() int {
	set.mut.Lock()
	var open []*kept
	for _, kep := range set.open {
		if !kep.framed.Load() {
			open = append(open, kep)
		}
	}
	set.mut.Unlock()
	now, left := time.Now(), 0
	for _, kep := range open {
		if !kep.done(now) {
			left++
			continue
		}
		_ = kep.Close()
	}
	return left
}

// remote returns the remote address of a TCP connection.
func remote(con net.Conn) netip.AddrPort {
	if address, ok := con.RemoteAddr().(*net.TCPAddr); ok {
		return address.AddrPort()
	}
	return netip.AddrPort{}
}
