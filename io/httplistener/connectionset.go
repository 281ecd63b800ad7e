package httplistener

import (
	"cmp"
	"context"
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"flamingoreach/io/framing"
	"flamingoreach/io/room"
	"flamingoreach/io/tcpoptions"
)

const (
	// closePollInterval is the interval at which Close checks the connections.
	closePollInterval = 10 * time.Millisecond
	// placeInterval is the interval at which a listener without a place for a connection looks for one that must end.
	placeInterval = 100 * time.Millisecond
	// evictDivisor divides the bound on connections to get the number of those that end at a time.
	evictDivisor = 16
	// stalledTime is the time for which a client may read nothing before its connection can end for a new one.
	stalledTime = 5 * time.Second
)

// connectionSet holds the open connections of one listener by their remote address.
type connectionSet struct {
	// onIdle, if set, is called with each connection that closeAnswered is about to close; tests send a request then.
	onIdle func()
	// secure says that the connections carry TLS. They are closed without a farewell, which would have to be encrypted.
	secure bool
	// farewell answers a request that crosses the end of its connection.
	farewell []byte

	// max bounds the open connections.
	max int
	// idleTime, if set, returns how long a connection may be idle, apart from the bound of net/http.
	idleTime func() time.Duration
	// room, if set, accounts for the heads of requests.
	room *room.Room
	// patient lets clients keep their receive windows closed.
	patient bool
	// onEvict, if set, is called with each connection that is closed for a new one.
	onEvict func(why string, open int)

	mut  sync.Mutex
	open map[netip.AddrPort]*trackedConnection
	// changed receives a value when a connection has ended, become idle or must not be waited for any more.
	changed chan struct{}
}

func newConnectionSet() *connectionSet {
	return &connectionSet{open: map[netip.AddrPort]*trackedConnection{}, max: math.MaxInt, changed: make(chan struct{}, 1)}
}

func (set *connectionSet) signal() {
	select {
	case set.changed <- struct{}{}:
	default:
	}
}

// awaitPlace returns when a further connection may be open or stop reports true. If there is no place, the connections that
// were idle longest end, and without idle ones those whose clients have read nothing for longest.
func (set *connectionSet) awaitPlace(stop func() bool) {
	if set.len() < set.max {
		return
	}
	ticker := time.NewTicker(placeInterval)
	defer ticker.Stop()
	for set.len() >= set.max && !stop() {
		set.evict(time.Now())
		select {
		case <-set.changed:
		case <-ticker.C:
		}
	}
}

func (set *connectionSet) len() int {
	set.mut.Lock()
	defer set.mut.Unlock()
	return len(set.open)
}

// evict ends up to a part of the connections, unless as many are ending.
func (set *connectionSet) evict(now time.Time) {
	left := set.max/evictDivisor + 1
	var candidates []*trackedConnection
	set.mut.Lock()
	for _, tra := range set.open {
		if tra.isEnding() {
			left--
		} else {
			candidates = append(candidates, tra)
		}
	}
	set.mut.Unlock()
	evict := func(why string, lasted func(tra *trackedConnection) time.Duration, least time.Duration) {
		chosen := slices.DeleteFunc(slices.Clone(candidates), func(tra *trackedConnection) bool { return lasted(tra) <= least })
		slices.SortFunc(chosen, func(one, other *trackedConnection) int { return cmp.Compare(lasted(other), lasted(one)) })
		for _, tra := range chosen[:min(max(left, 0), len(chosen))] {
			left--
			tra.evict()
			if set.onEvict != nil {
				set.onEvict(why, set.max)
			}
		}
	}
	evict("idle", func(tra *trackedConnection) time.Duration { return tra.idleFor(now) }, 0)
	evict("stalled", func(tra *trackedConnection) time.Duration { return tra.stalledFor(now) }, stalledTime)
}

func (set *connectionSet) add(con *net.TCPConn) *trackedConnection {
	tra := &trackedConnection{TCPConn: con, set: set, opened: time.Now()}
	if set.patient {
		// Without it, a client that pauses loses its connection as before.
		_ = tcpoptions.AllowClosedWindow(con)
	}
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
	set.signal()
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
	switch state {
	case http.StateActive:
		tra.endHead()
	case http.StateIdle:
		tra.idleSince.Store(time.Now().UnixNano())
		tra.freeHeadRoom()
		set.signal()
	}
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
