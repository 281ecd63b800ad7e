package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"flamingoreach/io/room"
	"flamingoreach/io/tcpoptions"
)

// Rules bound the answer to a request and tell which answers belong to it.
type Rules struct {
	// BodyBytes bounds an answer's body.
	BodyBytes int64
	// Belongs, if set, reports whether an answer is that of the request; others are skipped. On the first request of a
	// connection, no answer can be that of an earlier one.
	Belongs func(res *http.Response, firstRequest bool) bool
	// Deliver, if set, takes an answer whose body is longer than WholeBytes, and reads the body to its end. The length is
	// negative if it is unknown. The exchange then returns the answer without its body.
	Deliver    func(res Response, length int64, body io.Reader) error
	WholeBytes int64
}

// Response is a complete answer, or one whose body Rules.Deliver has read.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Delivered says that Rules.Deliver has read the body.
	Delivered bool
}

// Pool keeps idle connections to one address at a time; it is safe for concurrent use.
type Pool struct {
	// Dial connects to an address.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// MaxIdle, if set, bounds the idle connections. More are kept while as many were in use at the same time lately, so
	// that steady traffic with varying concurrency does not open a connection for each peak.
	MaxIdle int
	// Room, if set, bounds the long bodies of answers and those of unknown length that are read at the same time, all
	// together.
	Room *room.Room

	mut     sync.Mutex
	address netip.AddrPort
	// idle is in the order of last use, the most recently used connection last.
	idle []*connection
	// inUse counts the connections in use. mostInUse is the highest count since the last sweep, and formerMostInUse that
	// between the two sweeps before.
	inUse, mostInUse, formerMostInUse int
}

// NewPool returns a pool without connections, with a bound on the time to connect.
func NewPool(dialTimeout time.Duration) *Pool {
	dialer := tcpoptions.Dialer(dialTimeout)
	return &Pool{Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address.String())
	}}
}

// Exchange sends a request at most once and returns the complete answer, or a *Failure. The body must have the length
// that the request states.
func (pl *Pool) Exchange(ctx context.Context, address netip.AddrPort, req *http.Request, rul Rules) (Response, error) {
	pl.begin()
	con, err := pl.get(ctx, address)
	if err != nil {
		pl.end()
		return Response{}, &Failure{Stage: Connecting, Refused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
	}
	res, reusable, err := con.exchange(ctx, req, rul)
	pl.end()
	if !reusable || !pl.put(address, con) {
		_ = con.Close()
	}
	return res, err
}

// Reopen opens a connection for a later exchange, for example after another one broke. It reports whether the connection
// was refused, that is, whether no process listens at the address.
func (pl *Pool) Reopen(ctx context.Context, address netip.AddrPort) (refused bool) {
	con, err := pl.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	con.idleUntil = time.Now().Add(idleTime)
	if !pl.put(address, con) {
		_ = con.Close()
	}
	return false
}

// CloseIdle closes the idle connections, for example because the process at their other end has ended.
func (pl *Pool) CloseIdle() {
	pl.mut.Lock()
	defer pl.mut.Unlock()
	pl.closeIdleLocked()
}

// Close closes the idle connections.
func (pl *Pool) Close() { pl.CloseIdle() }

func (pl *Pool) closeIdleLocked() {
	for _, con := range pl.idle {
		_ = con.Close()
	}
	pl.idle = nil
}

// begin counts a connection that is about to be used, and end one that no longer is.
func (pl *Pool) begin() {
	pl.mut.Lock()
	defer pl.mut.Unlock()
	pl.inUse++
	pl.mostInUse = max(pl.mostInUse, pl.inUse)
}

func (pl *Pool) end() {
	pl.mut.Lock()
	defer pl.mut.Unlock()
	pl.inUse--
}

// idleRoomLocked returns how many idle connections may be kept; it is negative if there is no bound.
func (pl *Pool) idleRoomLocked() int {
	if pl.MaxIdle == 0 {
		return -1
	}
	return max(pl.MaxIdle, max(pl.mostInUse, pl.formerMostInUse)-pl.inUse)
}

func (pl *Pool) get(ctx context.Context, address netip.AddrPort) (*connection, error) {
	if con := pl.reuse(address); con != nil {
		return con, nil
	}
	return pl.dial(ctx, address)
}

func (pl *Pool) dial(ctx context.Context, address netip.AddrPort) (*connection, error) {
	raw, err := pl.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConnection(raw, pl.Room), nil
}

// reuse returns the most recently used idle connection that is still usable, or nil.
func (pl *Pool) reuse(address netip.AddrPort) *connection {
	pl.mut.Lock()
	defer pl.mut.Unlock()
	if address != pl.address {
		pl.closeIdleLocked()
		pl.address = address
	}
	for len(pl.idle) > 0 {
		con := pl.idle[len(pl.idle)-1]
		pl.idle = pl.idle[:len(pl.idle)-1]
		if con.usable() {
			return con
		}
		_ = con.Close()
	}
	return nil
}

func (pl *Pool) put(address netip.AddrPort, con *connection) bool {
	pl.mut.Lock()
	defer pl.mut.Unlock()
	if idleRoom := pl.idleRoomLocked(); address != pl.address || idleRoom >= 0 && len(pl.idle) >= idleRoom {
		return false
	}
	pl.idle = append(pl.idle, con)
	return true
}

// Sweep closes the connections that were idle too long, and of the others the least recently used ones for which there
// is no room any more. It is called at regular intervals.
func (pl *Pool) Sweep() {
	pl.mut.Lock()
	defer pl.mut.Unlock()
	pl.formerMostInUse, pl.mostInUse = pl.mostInUse, pl.inUse
	surplus := 0
	if idleRoom := pl.idleRoomLocked(); idleRoom >= 0 {
		surplus = len(pl.idle) - idleRoom
	}
	now, remaining := time.Now(), pl.idle[:0]
	for index, con := range pl.idle {
		if index >= surplus && now.Before(con.idleUntil) {
			remaining = append(remaining, con)
			continue
		}
		_ = con.Close()
	}
	clear(pl.idle[len(remaining):])
	pl.idle = remaining
}
