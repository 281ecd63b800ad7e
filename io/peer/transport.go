package peer

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/io/http1"
)

const (
	// pooledDialTimeout spans a round trip between regions; one lost packet of the handshake is not waited for.
	pooledDialTimeout = 300 * time.Millisecond
	// pooledIdle is the number of idle connections kept to each node; with many nodes they are what memory goes to.
	pooledIdle = 4
)

// traced tells whether a failed request was sent at all.
type traced struct{ *http.Client }

// Do sends a request; its error is an *http1.Failure.
func (tra traced) Do(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	res, err := tra.Client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return res, nil
	}
	// The caller looks for the innermost *url.Error and takes its cause, which would leave out the stage.
	var outer *url.Error
	if errors.As(err, &outer) {
		err = outer.Err
	}
	fai := &http1.Failure{Stage: http1.Connecting, Cause: err}
	if connected.Load() {
		fai.Stage = http1.Waiting
	}
	return nil, fai
}

// pooled keeps HTTP/1.1 connections to many nodes. A call runs on its own goroutine, without the two that the standard
// client has for each connection.
type pooled struct {
	mut   sync.Mutex
	pools map[netip.AddrPort]*http1.Pool
}

// Do sends a request and reads the whole answer; its error is an *http1.Failure.
func (poo *pooled) Do(req *http.Request) (*http.Response, error) {
	address, err := netip.ParseAddrPort(req.URL.Host)
	if err != nil {
		return nil, &http1.Failure{Stage: http1.Connecting, Cause: eris.Wrap(err, "find node")}
	}
	res, err := poo.pool(address).Exchange(req.Context(), address, req, http1.Rules{BodyBytes: maxMessageBytes})
	if err != nil {
		return nil, err
	}
	return &http.Response{
		StatusCode: res.Status, Status: http.StatusText(res.Status), Header: res.Header, ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(res.Body)), ContentLength: int64(len(res.Body)), Request: req,
	}, nil
}

// pool returns the connections to a node.
func (poo *pooled) pool(address netip.AddrPort) *http1.Pool {
	poo.mut.Lock()
	defer poo.mut.Unlock()
	pool := poo.pools[address]
	if pool == nil {
		pool = http1.NewPool(pooledDialTimeout)
		pool.MaxIdle = pooledIdle
		poo.pools[address] = pool
	}
	return pool
}

func (poo *pooled) forEach(act func(pool *http1.Pool)) {
	poo.mut.Lock()
	defer poo.mut.Unlock()
	for _, pool := range poo.pools {
		act(pool)
	}
}

// sweep closes the connections that were idle too long, drop all idle ones.
func (poo *pooled) sweep() { poo.forEach((*http1.Pool).Sweep) }
func (poo *pooled) drop()  { poo.forEach((*http1.Pool).Drop) }
