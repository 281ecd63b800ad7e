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

// closePollInterval is the interval at which Close checks the connections.
const closePollInterval = 10 * time.Millisecond

// connectionSet holds the open connections of one listener by their remote address.
type connectionSet struct {
	// onIdle, if set, is called with each connection that closeAnswered is about to close; tests send a request then.
	onIdle func()
	// secure says that the connections carry TLS. They are closed without a farewell, which would have to be encrypted.
	secure bool
	// farewell answers a request that crosses the end of its connection.
	farewell []byte

	mut  sync.Mutex
	open map[netip.AddrPort]*trackedConnection
}

func newConnectionSet() *connectionSet {
	return &connectionSet{open: map[netip.AddrPort]*trackedConnection{}}
}

func (set *connectionSet) add(con *net.TCPConn) *trackedConnection {
	tra := &trackedConnection{TCPConn: con, set: set, opened: time.Now()}
	set.mut.Lock()
	defer set.mut.Unlock()
	set.open[remoteAddress(con)] = tra
	return tra
}

func (set *connectionSet) remove(tra *trackedConnection) {
	set.mut.Lock()
	defer set.mut.Unlock()
	if address := remoteAddress(tra.TCPConn); set.open[address] == tra {
		delete(set.open, address)
	}
}

// find returns the tracked connection inside another, or nil if it was removed.
func (set *connectionSet) find(con net.Conn) *trackedConnection {
	set.mut.Lock()
	defer set.mut.Unlock()
	return set.open[remoteAddress(con)]
}

// setState records a change of state that net/http reports.
func (set *connectionSet) setState(con net.Conn, state http.ConnState) {
	tra := set.find(con)
	if tra == nil {
		return
	}
	if state == http.StateNew {
		outer := con
		tra.outer.Store(&outer)
	}
	tra.http2.Store(isHTTP2(con))
	tra.state.Store(int32(state))
}

// isHTTP2 reports whether a connection speaks HTTP/2.
func isHTTP2(con net.Conn) bool {
	if secure, ok := con.(*tls.Conn); ok {
		return secure.ConnectionState().NegotiatedProtocol == "h2"
	}
	return framing.IsHTTP2(con)
}

// closeAnswered ends each HTTP/1.1 connection once no request on it is unanswered, and returns when none is left or the
// context ends. Each answer must carry "Connection: close"; a client that has got none since may send a request at the
// same moment, which is told that it did not run.
func (set *connectionSet) closeAnswered(ctx context.Context) {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for set.closeAnsweredNow() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// closeAnsweredNow ends the HTTP/1.1 connections without an unanswered request and returns the number of those left.
func (set *connectionSet) closeAnsweredNow() int {
	set.mut.Lock()
	var open []*trackedConnection
	for _, tra := range set.open {
		if !tra.http2.Load() {
			open = append(open, tra)
		}
	}
	set.mut.Unlock()
	now, left := time.Now(), 0
	for _, tra := range open {
		if !tra.allAnswered(now) {
			left++
			continue
		}
		if set.onIdle != nil {
			set.onIdle()
		}
		if set.secure {
			_ = tra.Close()
			continue
		}
		tra.end()
		left++
	}
	return left
}

// remoteAddress returns the remote address of a TCP connection.
func remoteAddress(con net.Conn) netip.AddrPort {
	if address, ok := con.RemoteAddr().(*net.TCPAddr); ok {
		return address.AddrPort()
	}
	return netip.AddrPort{}
}
