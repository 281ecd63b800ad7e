package backendconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"flamingoreach/io/tcpoptions"
)

// dialTimeout is ample for a process on the same host that lives.
const dialTimeout = 500 * time.Millisecond

// Rules tell which answers belong to a request.
type Rules struct {
	// BodyBytes bounds an answer's body.
	BodyBytes int64
	// Belongs reports whether an answer is that of the request; others are skipped.
	Belongs func(res *http.Response) bool
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Pool keeps idle connections to one address at a time; it is safe for concurrent use.
type Pool struct {
	// Dial connects to the backend server.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	mut     sync.Mutex
	address netip.AddrPort
	// idle holds the connection that was used last at its end.
	idle []*connection
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	dialer := tcpoptions.Dialer(dialTimeout)
	return &Pool{Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address.String())
	}}
}

// Exchange sends a request and returns the whole answer, or a *Failure. It sends at most once.
func (poo *Pool) Exchange(ctx context.Context, address netip.AddrPort, req *http.Request, body []byte, rul Rules) (Response, error) {
	con, err := poo.get(ctx, address)
	if err != nil {
		return Response{}, &Failure{Stage: Connecting, Refused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
	}
	res, reusable, err := con.exchange(ctx, req, body, rul)
	if !reusable || !poo.put(address, con) {
		_ = con.Close()
	}
	return res, err
}

// Drop closes the idle connections, because the backend server behind them has ended.
func (poo *Pool) Drop() {
	poo.mut.Lock()
	defer poo.mut.Unlock()
	poo.drop()
}

// Close closes the idle connections.
func (poo *Pool) Close() { poo.Drop() }

func (poo *Pool) drop() {
	for _, con := range poo.idle {
		_ = con.Close()
	}
	poo.idle = nil
}

func (poo *Pool) get(ctx context.Context, address netip.AddrPort) (*connection, error) {
	if con := poo.reuse(address); con != nil {
		return con, nil
	}
	raw, err := poo.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConnection(raw), nil
}

// reuse returns a sound idle connection, the one used last first, or nil.
func (poo *Pool) reuse(address netip.AddrPort) *connection {
	poo.mut.Lock()
	defer poo.mut.Unlock()
	if address != poo.address {
		poo.drop()
		poo.address = address
	}
	for len(poo.idle) > 0 {
		con := poo.idle[len(poo.idle)-1]
		poo.idle = poo.idle[:len(poo.idle)-1]
		if con.sound() {
			return con
		}
		_ = con.Close()
	}
	return nil
}

func (poo *Pool) put(address netip.AddrPort, con *connection) bool {
	poo.mut.Lock()
	defer poo.mut.Unlock()
	if address != poo.address {
		return false
	}
	poo.idle = append(poo.idle, con)
	return true
}

// Sweep closes the connections that were idle too long.
func (poo *Pool) Sweep() {
	poo.mut.Lock()
	defer poo.mut.Unlock()
	now, kept := time.Now(), poo.idle[:0]
	for _, con := range poo.idle {
		if now.Before(con.idleUntil) {
			kept = append(kept, con)
			continue
		}
		_ = con.Close()
	}
	clear(poo.idle[len(kept):])
	poo.idle = kept
}
