package http1

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

// Rules bound the answer to a request and tell which answers belong to it.
type Rules struct {
	// BodyBytes bounds an answer's body.
	BodyBytes int64
	// Belongs, if set, reports whether an answer is that of the request; others are skipped.
	Belongs func(res *http.Response) bool
}

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Pool keeps idle connections to one address at a time; it is safe for concurrent use.
type Pool struct {
	// Dial connects to an address.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// MaxIdle, if set, bounds the idle connections.
	MaxIdle int

	mut     sync.Mutex
	address netip.AddrPort
	// idle is in the order of last use, the most recently used connection last.
	idle []*connection
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
func (poo *Pool) Exchange(ctx context.Context, address netip.AddrPort, req *http.Request, rul Rules) (Response, error) {
	con, err := poo.get(ctx, address)
	if err != nil {
		return Response{}, &Failure{Stage: Connecting, Refused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
	}
	res, reusable, err := con.exchange(ctx, req, rul)
	if !reusable || !poo.put(address, con) {
		_ = con.Close()
	}
	return res, err
}

// CloseIdle closes the idle connections; it is called when the process at their other end has ended.
func (poo *Pool) CloseIdle() {
	poo.mut.Lock()
	defer poo.mut.Unlock()
	poo.closeIdleLocked()
}

// Close closes the idle connections.
func (poo *Pool) Close() { poo.CloseIdle() }

func (poo *Pool) closeIdleLocked() {
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

// reuse returns the most recently used idle connection that is still usable, or nil.
func (poo *Pool) reuse(address netip.AddrPort) *connection {
	poo.mut.Lock()
	defer poo.mut.Unlock()
	if address != poo.address {
		poo.closeIdleLocked()
		poo.address = address
	}
	for len(poo.idle) > 0 {
		con := poo.idle[len(poo.idle)-1]
		poo.idle = poo.idle[:len(poo.idle)-1]
		if con.usable() {
			return con
		}
		_ = con.Close()
	}
	return nil
}

func (poo *Pool) put(address netip.AddrPort, con *connection) bool {
	poo.mut.Lock()
	defer poo.mut.Unlock()
	if address != poo.address || poo.MaxIdle > 0 && len(poo.idle) >= poo.MaxIdle {
		return false
	}
	poo.idle = append(poo.idle, con)
	return true
}

// Sweep closes the connections that were idle too long.
func (poo *Pool) Sweep() {
	poo.mut.Lock()
	defer poo.mut.Unlock()
	now, remaining := time.Now(), poo.idle[:0]
	for _, con := range poo.idle {
		if now.Before(con.idleUntil) {
			remaining = append(remaining, con)
			continue
		}
		_ = con.Close()
	}
	clear(poo.idle[len(remaining):])
	poo.idle = remaining
}
