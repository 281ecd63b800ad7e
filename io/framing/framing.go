package framing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// maxHeaderBytes bounds the part of a header that is inspected.
const maxHeaderBytes = 64 << 10

// prefaceStart is sent first on each HTTP/2 connection.
const prefaceStart = "PRI * HTTP/2.0"

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

// inspectedConnection is a connection that inspects the header of each request: the first bytes read after the previous
// answer.
type inspectedConnection struct {
	net.Conn

	// header collects the bytes of a header until its end, and headerRead is set then. Only the reading goroutine uses
	// header.
	header     []byte
	headerRead atomic.Bool
	// http2 is set on HTTP/2 connections, whose frames state one length each.
	http2 atomic.Bool
	// ambiguous is never cleared: where the next request on the connection begins is unknown.
	ambiguous atomic.Bool
}

// Read also inspects the bytes of a header.
func (ins *inspectedConnection) Read(into []byte) (int, error) {
	count, err := ins.Conn.Read(into)
	if count > 0 && !ins.headerRead.Load() {
		ins.inspect(into[:count])
	}
	return count, err
}

func (ins *inspectedConnection) inspect(part []byte) {
	ins.header = append(ins.header, part...)
	end := bytes.Index(ins.header, []byte("\r\n\r\n"))
	if end < 0 && len(ins.header) < maxHeaderBytes {
		return
	}
	switch {
	case bytes.HasPrefix(ins.header, []byte(prefaceStart)):
		ins.http2.Store(true)
	case end >= 0 && isAmbiguous(ins.header[:end]):
		ins.ambiguous.Store(true)
	}
	ins.header = nil
	ins.headerRead.Store(true)
}

// isAmbiguous reports whether a header has more than one Content-Length or Transfer-Encoding field, or one of each.
func isAmbiguous(header []byte) bool {
	lengths, codings := 0, 0
	for line := range bytes.SplitSeq(header, []byte("\r\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")):
			codings++
		}
	}
	return lengths > 1 || codings > 1 || lengths > 0 && codings > 0
}

// ConnContext puts a connection into the context of its requests; it is for http.Server.ConnContext.
func ConnContext(ctx context.Context, con net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, con)
}

// OnStateChange starts the inspection of the next header when an HTTP/1.1 connection becomes idle;
// http.Server.ConnState calls it. An HTTP/2 connection is not inspected after its preface, and its state changes on
// another goroutine than the one that reads.
func OnStateChange(con net.Conn, state http.ConnState) {
	if ins, ok := con.(*inspectedConnection); ok && state == http.StateIdle && !ins.http2.Load() {
		ins.headerRead.Store(false)
	}
}

// IsHTTP2 reports whether a connection that a Listener accepted speaks HTTP/2.
func IsHTTP2(con net.Conn) bool {
	ins, ok := con.(*inspectedConnection)
	return ok && ins.http2.Load()
}

// Ambiguous reports whether a request on the connection of this context had an ambiguous body length.
func Ambiguous(ctx context.Context) bool {
	ins, ok := ctx.Value(contextKey{}).(*inspectedConnection)
	return ok && ins.ambiguous.Load()
}
