package framing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// headBytes bounds the part of a header that is inspected.
const headBytes = 64 << 10

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
	return &watched{Conn: con}, nil
}

// watched is a connection that inspects the header of each request: the first bytes read after the previous answer.
type watched struct {
	net.Conn

	// head collects the bytes of a header until its end, and done is set then. Only the reading goroutine uses head.
	head []byte
	done atomic.Bool
	// framed is set on HTTP/2 connections, whose frames state one length each.
	framed atomic.Bool
	// ambiguous is never cleared: where the next request on the connection begins is unknown.
	ambiguous atomic.Bool
}

// Read also inspects the bytes of a header.
func (wat *watched) Read(into []byte) (int, error) {
	count, err := wat.Conn.Read(into)
	if count > 0 && !wat.done.Load() {
		wat.look(into[:count])
	}
	return count, err
}

func (wat *watched) look(part []byte) {
	wat.head = append(wat.head, part...)
	end := bytes.Index(wat.head, []byte("\r\n\r\n"))
	if end < 0 && len(wat.head) < headBytes {
		return
	}
	switch {
	case bytes.HasPrefix(wat.head, []byte(prefaceStart)):
		wat.framed.Store(true)
	case end >= 0 && isAmbiguous(wat.head[:end]):
		wat.ambiguous.Store(true)
	}
	wat.head = nil
	wat.done.Store(true)
}

// isAmbiguous reports whether a header has both a length and a transfer coding, or more than one of either.
func isAmbiguous(head []byte) bool {
	lengths, codings := 0, 0
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
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

// Connected puts a connection into the context of its requests; it is for http.Server.ConnContext.
func Connected(ctx context.Context, con net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, con)
}

// Changed starts the inspection of the next header when a connection becomes idle; http.Server.ConnState calls it.
func Changed(con net.Conn, state http.ConnState) {
	if wat, ok := con.(*watched); ok && state == http.StateIdle && !wat.framed.Load() {
		wat.done.Store(false)
	}
}

// Framed reports whether a connection that a Listener accepted speaks HTTP/2.
func Framed(con net.Conn) bool {
	wat, ok := con.(*watched)
	return ok && wat.framed.Load()
}

// Ambiguous reports whether a request on the connection of this context had an ambiguous body length.
func Ambiguous(ctx context.Context) bool {
	wat, ok := ctx.Value(contextKey{}).(*watched)
	return ok && wat.ambiguous.Load()
}
