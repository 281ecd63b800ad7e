package framing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// headBytes bounds the part of a head that is looked at.
const headBytes = 64 << 10

// prefaceStart begins each connection of HTTP/2.
const prefaceStart = "PRI * HTTP/2.0"

type contextKey struct{}

// Listener watches the heads of requests on the connections that it accepts.
type Listener struct{ net.Listener }

// Accept returns the next connection.
func (lis Listener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watched{Conn: con}, nil
}

// watched looks at the first bytes that are read after each answer.
type watched struct {
	net.Conn

	// head collects the bytes of a head until it ends; done is set then. Only the goroutine that reads touches head.
	head []byte
	done atomic.Bool
	// framed says that the connection speaks HTTP/2, whose frames have one length each.
	framed atomic.Bool
	// ambiguous is set for good: what follows on the connection cannot be told apart.
	ambiguous atomic.Bool
}

// Read passes bytes on and looks at those of a head.
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

// isAmbiguous reports whether a head has both a length and a transfer coding, or two different lengths.
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

// Connected keeps the watched connection in the context of its requests; it is a server's ConnContext.
func Connected(ctx context.Context, con net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, con)
}

// Changed looks for the next head once a connection is idle again; it is a server's ConnState.
func Changed(con net.Conn, state http.ConnState) {
	if wat, ok := con.(*watched); ok && state == http.StateIdle && !wat.framed.Load() {
		wat.done.Store(false)
	}
}

// Framed reports whether a connection that this package watches speaks HTTP/2.
func Framed(con net.Conn) bool {
	wat, ok := con.(*watched)
	return ok && wat.framed.Load()
}

// Ambiguous reports whether the head of a request on this connection gave two lengths.
func Ambiguous(ctx context.Context) bool {
	wat, ok := ctx.Value(contextKey{}).(*watched)
	return ok && wat.ambiguous.Load()
}
