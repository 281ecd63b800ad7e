package httplistener

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/io/bytecount"
	"flamingoreach/io/framing"
	"flamingoreach/io/pipeline"
	"flamingoreach/io/room"
	"flamingoreach/io/tcpoptions"
)

// Listener is a bound TCP listener with its HTTP server.
type Listener struct {
	server   *http.Server
	listener net.Listener
	// socket is the listening socket, without the connection limit and TLS around it.
	socket  *socket
	address netip.AddrPort
	// serving is set by Serve, and served is closed when Serve returns.
	serving atomic.Bool
	served  chan struct{}
	// keepAliveEnded makes each connection close after its next answer.
	keepAliveEnded atomic.Bool
	// pipeline runs requests ahead, or is nil.
	pipeline *pipeline.Pipeline
}

// Bounds limits what one listener accepts.
type Bounds struct {
	// HeaderBytes bounds the header of a request, and HeaderTime the time to read it.
	HeaderBytes int
	HeaderTime  time.Duration
	// ReadTime bounds the time to read a whole request; 0 sets no bound.
	ReadTime time.Duration
	// IdleTime bounds the time between two requests on a connection, and IdleLimit, if set, returns a lower bound that may
	// change.
	IdleTime  time.Duration
	IdleLimit func() time.Duration
	// Connections bounds the connections that are served at the same time. If there are more, idle ones end, then those whose
	// clients do not read their answers; without any, further connections wait in the backlog.
	Connections int
	// Patient lets clients that still respond stop reading an answer for any time.
	Patient bool
	// Room, if set, accounts for the long heads of requests.
	Room *room.Room
	// OnEvict, if set, is called with each connection that ends for a new one: why it was that one, and the bound.
	OnEvict func(why string, connections int)
	// Farewell holds the fields of the answer to a request that crosses the end of its connection during Close; the status,
	// 408, says that the request has not run.
	Farewell http.Header
	// TLS is nil for cleartext.
	TLS *tls.Config
	// Counter, if set, counts the bytes of all connections.
	Counter *bytecount.Counter
	// Pipeline, if set, runs pipelined requests ahead on cleartext connections of HTTP/1.1. It serves one listener.
	Pipeline *pipeline.Pipeline
}

// Listen binds an address for HTTP/1.1 and HTTP/2, both over TLS if the bounds set it; it fails if the address cannot
// be bound.
func Listen(ctx context.Context, address netip.AddrPort, handler http.Handler, bou Bounds) (*Listener, error) {
	tcp, err := tcpoptions.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	soc := newSocket(tcp)
	soc.connections.farewell = farewell(bou.Farewell)
	soc.connections.max, soc.connections.idleTime = bou.Connections, bou.IdleLimit
	soc.connections.room = bou.Room
	soc.connections.patient, soc.connections.onEvict = bou.Patient, bou.OnEvict
	listener := net.Listener(soc)
	address = listener.Addr().(*net.TCPAddr).AddrPort()
	if bou.Counter != nil {
		listener = bou.Counter.Listener(listener)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	if bou.TLS != nil {
		protocols.SetHTTP2(true)
		listener = tls.NewListener(listener, bou.TLS)
		soc.connections.secure = true
	} else {
		listener = framing.Listener{Listener: listener}
	}
	if bou.TLS != nil {
		bou.Pipeline = nil
	}
	if bou.Pipeline != nil {
		listener = pipelinedListener{Listener: listener, pip: bou.Pipeline, connections: soc.connections}
		handler = bou.Pipeline.Handler(handler)
	}
	lis := &Listener{listener: listener, socket: soc, address: address, served: make(chan struct{}), pipeline: bou.Pipeline}
	lis.server = &http.Server{
		Handler:           lis.wrapHandler(handler),
		Protocols:         protocols,
		MaxHeaderBytes:    bou.HeaderBytes,
		ReadHeaderTimeout: bou.HeaderTime,
		ReadTimeout:       bou.ReadTime,
		IdleTimeout:       bou.IdleTime,
		ConnContext:       connContext,
		ConnState:         soc.connections.onStateChange,
	}
	return lis, nil
}

// farewell returns the answer to a request that crosses the end of its connection. A client without a request in flight
// takes it for the end of the connection.
func farewell(fields http.Header) []byte {
	header := fields.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Connection", "close")
	header.Set("Content-Length", "0")
	var text bytes.Buffer
	text.WriteString("HTTP/1.1 408 Request Timeout\r\n")
	_ = header.Write(&text)
	text.WriteString("\r\n")
	return text.Bytes()
}

// wrapHandler refuses requests with an ambiguous body length. Once EndKeepAlive was called, it adds
// "Connection: close" to each answer, except that a pipeline does so for its connections.
func (lis *Listener) wrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if framing.Ambiguous(req.Context()) {
			wri.Header().Set("Connection", "close")
			http.Error(wri, "the head gives two lengths of the body", http.StatusBadRequest)
			return
		}
		if lis.keepAliveEnded.Load() && !pipeline.Serves(req) {
			wri.Header().Set("Connection", "close")
		}
		next.ServeHTTP(wri, req)
	})
}

// Address returns the bound address.
func (lis *Listener) Address() netip.AddrPort { return lis.address }

// Serve answers requests until Close and returns nil then, or the error that ended it.
func (lis *Listener) Serve() error {
	lis.serving.Store(true)
	defer close(lis.served)
	err := lis.server.Serve(lis.listener)
	if errors.Is(err, http.ErrServerClosed) || lis.socket.closing.Load() {
		return nil
	}
	return eris.Wrapf(err, "serve on %s", lis.Address())
}

// Close stops accepting connections and waits until the requests that have arrived are answered, also those on
// connections of the backlog. If the context ends first, it closes all connections and fails with the context's error.
func (lis *Listener) Close(ctx context.Context) error {
	lis.EndKeepAlive()
	if lis.serving.Load() {
		lis.socket.drain(ctx)
		select {
		case <-lis.served:
		case <-ctx.Done():
		}
	}
	lis.socket.connections.closeAnswered(ctx)
	err := lis.server.Shutdown(ctx)
	if err != nil {
		_ = lis.server.Close()
	}
	if lis.pipeline != nil {
		err = errors.Join(err, lis.pipeline.Close(ctx))
	}
	return eris.Wrapf(err, "stop serving on %s", lis.Address())
}

// EndKeepAlive closes each connection after its next answer, so that callers connect to other hosts; if pipelined requests
// run behind that one, after the last of their answers. An idle connection stays open until then: closing it could lose a
// request that is already on its way.
func (lis *Listener) EndKeepAlive() {
	if lis.pipeline != nil {
		lis.pipeline.Stop()
	}
	lis.keepAliveEnded.Store(true)
}
