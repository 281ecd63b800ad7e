package pipeline

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flamingoreach/io/framing"
)

const (
	// maxRequests bounds the requests of one connection that run at the same time, the one whose turn it is included.
	maxRequests = 8
	// aheadBytes bounds what is read of a connection at once while a request is answered, and the head of a request that
	// is run ahead. net/http accepts heads that are this much longer than its bound, so that it refuses none of these.
	aheadBytes = 4 << 10
)

// Connection is a connection that net/http serves, whose pipelined requests may run ahead. While a handler runs, net/http
// reads one byte on another goroutine to notice that the caller leaves. That read does not return as long as the
// handler runs and the connection lives: it reads the next requests into a buffer, from which net/http gets them later.
type Connection struct {
	net.Conn

	pip *Pipeline
	// awaitClose waits until the caller has closed the connection, and fails at the read deadline. linger tells the caller
	// that no more is sent, and reads for a while.
	awaitClose func() error
	linger     func()
	// newContext returns the context of the connection.
	newContext func() context.Context
	closed     atomic.Bool

	mut sync.Mutex
	// requests holds the boundaries of the requests that were read and are not answered. The first is the one whose turn it is.
	requests []boundary
	// read and delivered are the numbers of bytes that were read and that net/http has got. buffer holds the bytes from the
	// offset bufferAt to read, if any are kept: those that net/http has not got, and the heads of requests that wait.
	read, delivered int64
	buffer          []byte
	bufferAt        int64
	// ahead holds the requests that run ahead, in the order of their turns; they come right behind the current one.
	ahead []*early
	// current is the request whose handler runs, or nil. closing says that its answer ends the connection, and alone that
	// none may run beside it, which known says is known.
	current               *http.Request
	closing, alone, known bool
	// finished is set from the return of a handler to the end of its turn.
	finished bool
	// paused is set if there was no room for an answer, until all requests that were read are answered.
	paused bool
	// pipelined is set once a request was read before the one before it was answered.
	pipelined bool
	// failed is the error that ended the reading.
	failed error
}

// boundary holds the offsets of a request's first byte, and of the ends of its head and of the whole request, which are 0
// until they are read.
type boundary struct {
	begin, headEnd, end int64
	// readAt is when the head was read, or zero if no other request was unanswered then.
	readAt time.Time
	// waits is set if the request may not run ahead.
	waits bool
}

// NewConnection returns a connection around one that a framing.Listener accepted. The function awaitClose waits until the
// other end has closed the connection, and fails at the read deadline; linger tells it that no more is sent, and reads and
// drops what it sends, for a limited time.
func (pip *Pipeline) NewConnection(inspected net.Conn, awaitClose func() error, linger func()) *Connection {
	con := &Connection{Conn: inspected, pip: pip, awaitClose: awaitClose, linger: linger, newContext: context.Background}
	framing.Observe(inspected, con.onBegin, con.onHead, con.onEnd)
	return con
}

// Context returns the context for the requests of the connection; it is for http.Server.ConnContext.
func (con *Connection) Context(ctx context.Context) context.Context {
	con.newContext = func() context.Context {
		return context.WithValue(ctx, http.LocalAddrContextKey, con.LocalAddr())
	}
	return context.WithValue(ctx, contextKey{}, con)
}

// OnStateChange notes that a request was answered; http.Server.ConnState calls it.
func (con *Connection) OnStateChange(state http.ConnState) {
	con.mut.Lock()
	defer con.mut.Unlock()
	if state != http.StateIdle || len(con.requests) == 0 {
		return
	}
	con.finished = false
	con.requests = slices.Delete(con.requests, 0, 1)
	if len(con.requests) == 0 {
		con.paused = false
	}
	con.trim()
}

// trim drops the bytes of the buffer that are not needed any more.
func (con *Connection) trim() {
	needed := con.delivered
	if len(con.requests) > 0 {
		needed = min(needed, con.requests[0].begin)
	}
	switch drop := min(max(needed-con.bufferAt, 0), int64(len(con.buffer))); {
	case drop == int64(len(con.buffer)):
		con.buffer = nil
	case drop > 0:
		con.buffer = slices.Delete(con.buffer, 0, int(drop))
		con.bufferAt += drop
	}
}

func (con *Connection) onBegin(offset int64) {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.requests = append(con.requests, boundary{begin: offset})
	con.pipelined = con.pipelined || len(con.requests) > 1 && !con.finished
}

func (con *Connection) onHead(offset int64) {
	con.mut.Lock()
	defer con.mut.Unlock()
	last := len(con.requests) - 1
	con.requests[last].headEnd = offset
	if last > 0 {
		con.requests[last].readAt = time.Now()
	}
}

func (con *Connection) onEnd(offset int64) {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.requests[len(con.requests)-1].end = offset
}

// The sources of a read by net/http.
type source int

const (
	// socket: net/http needs the next bytes.
	socket source = iota
	// buffered: it gets them from the buffer, or an error.
	buffered
	// behind: a handler runs, and nothing was read beyond its request.
	behind
	// ahead: a handler runs, and the next requests have begun.
	ahead
)

// source returns where a read is served from. A read beyond the end of a request that is not answered is the one that
// net/http makes while a handler runs.
func (con *Connection) source() source {
	con.mut.Lock()
	defer con.mut.Unlock()
	switch {
	case len(con.requests) > 0 && con.requests[0].end > 0 && con.delivered >= con.requests[0].end:
		if con.delivered < con.read || len(con.requests) > 1 {
			return ahead
		}
		return behind
	case con.delivered < con.read || con.failed != nil:
		return buffered
	}
	return socket
}

// Read returns the next bytes for net/http. It reads from the socket itself, not by way of other methods, because net/http
// reads on a new goroutine for each request, and a deeper stack would have to grow there each time.
func (con *Connection) Read(into []byte) (int, error) {
	switch con.source() {
	case socket:
		count, err := con.Conn.Read(into)
		con.delivers(into[:count], err)
		return count, err
	case behind:
		count, err := con.Conn.Read(into[:1])
		if con.crossed(into[:count], err) {
			return count, err
		}
	case buffered:
		return con.deliver(into)
	}
	return con.readAhead()
}

// deliver copies bytes of the buffer.
func (con *Connection) deliver(into []byte) (int, error) {
	con.mut.Lock()
	defer con.mut.Unlock()
	if con.failed != nil {
		return 0, con.failed
	}
	count := copy(into, con.buffer[con.delivered-con.bufferAt:])
	con.delivered += int64(count)
	return count, nil
}

// delivers notes bytes that net/http gets as they are read.
func (con *Connection) delivers(part []byte, err error) {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.read += int64(len(part))
	con.delivered = con.read
	if len(con.requests) > 1 {
		con.keep(part)
	} else {
		con.buffer = nil
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		con.failed = err
	}
}

// crossed notes the outcome of a read while a handler runs, which net/http gets if it is an error, or if the byte
// arrived after the handler has returned: the caller may have had the answer by then. Any other byte is the first of a
// pipelined request.
func (con *Connection) crossed(part []byte, err error) bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.read += int64(len(part))
	switch {
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		con.failed = err
	case err == nil && !con.finished:
		con.buffer, con.bufferAt = append(con.buffer[:0], part...), con.read-int64(len(part))
		return false
	}
	con.delivered = con.read
	return true
}

// keep copies the bytes just read that belong to requests behind the one whose turn it is.
func (con *Connection) keep(part []byte) {
	begin := con.read - int64(len(part))
	from := max(con.requests[1].begin, begin)
	if con.bufferAt+int64(len(con.buffer)) != from {
		con.buffer, con.bufferAt = nil, from
	}
	con.buffer = append(con.buffer, part[from-begin:]...)
}

// readAhead reads the next requests while a handler runs, until the read deadline or until the caller leaves.
func (con *Connection) readAhead() (int, error) {
	for {
		con.startAhead()
		switch err := con.readNext(); {
		case errors.Is(err, os.ErrDeadlineExceeded):
			// net/http expects a net.Error that nothing wraps.
			return 0, os.ErrDeadlineExceeded
		case err != nil:
			con.fail(err)
			return 0, err
		}
	}
}

// readNext reads more of the next requests, or waits for the end of the connection if enough was read.
func (con *Connection) readNext() error {
	con.mut.Lock()
	if con.enough() {
		con.mut.Unlock()
		if err := con.awaitClose(); err != nil {
			return err
		}
		return io.EOF
	}
	if len(con.buffer) == 0 {
		con.bufferAt = con.read
	}
	con.buffer = slices.Grow(con.buffer, aheadBytes)
	free := con.buffer[len(con.buffer):][:aheadBytes]
	con.mut.Unlock()
	count, err := con.Conn.Read(free)
	con.mut.Lock()
	defer con.mut.Unlock()
	con.buffer = append(con.buffer, free[:count]...)
	con.read += int64(count)
	return err
}

// enough reports whether no more needs to be read before the present request is answered.
func (con *Connection) enough() bool {
	if con.read-con.delivered >= aheadBytes || len(con.ahead) >= maxRequests-1 {
		return true
	}
	next := 1 + len(con.ahead)
	return con.current != nil && len(con.requests) > next && con.requests[next].headEnd > 0
}

// fail notes that nothing more can be read and cancels the requests that run ahead.
func (con *Connection) fail(err error) {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.failed = err
	con.cancelAhead("the caller has left")
}

// cancelAhead cancels the requests that run ahead.
func (con *Connection) cancelAhead(cause string) {
	if len(con.ahead) == 0 {
		return
	}
	for _, ear := range con.ahead {
		ear.fire(abandoned)
	}
	con.pip.recordCancelled(len(con.ahead), cause)
	con.ahead = nil
}

// Close cancels the requests that run ahead and closes the connection. If requests were read or sent that will not be
// answered, it lets the caller read the last answer first: the kernel resets a connection that is closed with unread bytes.
// It fails with net.ErrClosed after the first call.
func (con *Connection) Close() error {
	if con.closed.Swap(true) {
		return net.ErrClosed
	}
	con.mut.Lock()
	con.cancelAhead("the connection is closed")
	lingers := con.pipelined && con.current == nil && con.failed == nil
	con.mut.Unlock()
	if lingers && framing.Pending(con.Conn) {
		con.linger()
	}
	return con.Conn.Close()
}
