package framing

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"flamingoreach/io/framing/scanner"
)

type contextKey struct{}

// Listener inspects the headers of requests on the connections that it accepts.
type Listener struct{ net.Listener }

// Accept returns the next connection, with inspection of its headers.
func (lis Listener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &inspectedConnection{Conn: con}, nil
}

// inspectedConnection is a connection that follows the boundaries of requests in what it reads, and so inspects each
// header, also one that arrives together with an earlier request.
type inspectedConnection struct {
	net.Conn

	scanner scanner.Scanner
	// answered is the number of requests that net/http has answered without closing the connection.
	answered atomic.Int64
}

// Read also follows the requests.
func (ins *inspectedConnection) Read(into []byte) (int, error) {
	count, err := ins.Conn.Read(into)
	ins.scanner.Scan(into[:count])
	return count, err
}

// ConnContext puts a connection into the context of its requests; it is for http.Server.ConnContext.
func ConnContext(ctx context.Context, con net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, con)
}

// OnStateChange counts the requests that were answered; http.Server.ConnState calls it.
func OnStateChange(con net.Conn, state http.ConnState) {
	if ins, ok := con.(*inspectedConnection); ok && state == http.StateIdle {
		ins.answered.Add(1)
	}
}

// Observe sets functions that a connection of a Listener calls in its Read with the offset, in all bytes read, of the
// first byte of each request, of the end of its head and of its own end. It must be called before the first Read.
func Observe(con net.Conn, onBegin, onHead, onEnd func(offset int64)) {
	if ins, ok := con.(*inspectedConnection); ok {
		ins.scanner.OnBegin, ins.scanner.OnHead, ins.scanner.OnEnd = onBegin, onHead, onEnd
	}
}

// IsHTTP2 reports whether a connection that a Listener accepted speaks HTTP/2.
func IsHTTP2(con net.Conn) bool {
	ins, ok := con.(*inspectedConnection)
	return ok && ins.scanner.HTTP2()
}

// Pending reports whether bytes of an HTTP/1.1 request that net/http has not answered were read from a connection.
func Pending(con net.Conn) bool {
	ins, ok := con.(*inspectedConnection)
	return ok && !ins.scanner.HTTP2() && ins.scanner.Begun() > ins.answered.Load()
}

// Ambiguous reports whether the present request on the connection of this context, or one before it, has an ambiguous
// body length.
func Ambiguous(ctx context.Context) bool {
	ins, ok := ctx.Value(contextKey{}).(*inspectedConnection)
	if !ok {
		return false
	}
	first := ins.scanner.Ambiguous()
	return first > 0 && first <= ins.answered.Load()+1
}
