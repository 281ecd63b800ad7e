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
	"flamingoreach/io/room"
)

const (
	// pooledDialTimeout is enough for a round trip between regions, not for the retransmission of a handshake packet.
	pooledDialTimeout = 300 * time.Millisecond
	// maxIdlePerNode bounds the idle connections to each node beyond those in use lately, as idle connections take most of
	// the memory if there are many nodes.
	maxIdlePerNode = 4
)

// errConnectionEnded says that a node that leaves has ended the connection on which the request was sent. It has not read
// the request.
var errConnectionEnded = errors.New("the node has ended the connection")

// tracedClient is a client whose errors tell whether the request was sent.
type tracedClient struct{ *http.Client }

// Do sends a request; its error is an *http1.Failure.
func (tra tracedClient) Do(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	res, err := tra.Client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return res, nil
	}
	// The Connect client looks for the innermost *url.Error and keeps its cause only, which would lose the stage.
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

// pooledClient is a client with a pool of HTTP/1.1 connections to each node. A request runs on the goroutine of its
// caller, without the two goroutines that the standard client has for each connection.
type pooledClient struct {
	room *room.Room

	mut   sync.Mutex
	pools map[netip.AddrPort]*http1.Pool
}

// Do sends a request and reads the complete answer; its error is an *http1.Failure.
func (pcl *pooledClient) Do(req *http.Request) (*http.Response, error) {
	address, err := netip.ParseAddrPort(req.URL.Host)
	if err != nil {
		return nil, &http1.Failure{Stage: http1.Connecting, Cause: eris.Wrap(err, "find node")}
	}
	res, err := pcl.pool(address).Exchange(req.Context(), address, req, http1.Rules{BodyBytes: maxMessageBytes})
	if err != nil {
		return nil, err
	}
	if res.Status == http.StatusRequestTimeout {
		return nil, &http1.Failure{Stage: http1.Connecting, Cause: errConnectionEnded}
	}
	return &http.Response{
		StatusCode: res.Status, Status: http.StatusText(res.Status), Header: res.Header, ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(res.Body)), ContentLength: int64(len(res.Body)), Request: req,
	}, nil
}

// pool returns the pool of connections to a node.
func (pcl *pooledClient) pool(address netip.AddrPort) *http1.Pool {
	pcl.mut.Lock()
	defer pcl.mut.Unlock()
	pool := pcl.pools[address]
	if pool == nil {
		pool = http1.NewPool(pooledDialTimeout)
		pool.MaxIdle, pool.Room = maxIdlePerNode, pcl.room
		pcl.pools[address] = pool
	}
	return pool
}

func (pcl *pooledClient) forEach(act func(pool *http1.Pool)) {
	pcl.mut.Lock()
	defer pcl.mut.Unlock()
	for _, pool := range pcl.pools {
		act(pool)
	}
}

// sweep closes the connections that were idle too long, and closeIdle closes all idle ones.
func (pcl *pooledClient) sweep()     { pcl.forEach((*http1.Pool).Sweep) }
func (pcl *pooledClient) closeIdle() { pcl.forEach((*http1.Pool).CloseIdle) }
