package httplistener

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"flamingoreach/io/framing"
	"flamingoreach/io/room"
	"flamingoreach/io/tcpoptions"
)

const (
	// firstRequestTimeout is how long after its acceptance a connection may take to send its first request during Close.
	firstRequestTimeout = 500 * time.Millisecond
	// lingerTime is how long a connection that was told to end is read, so that a request that crosses the end does not
	// make the kernel reset the connection before its client has read the answer.
	lingerTime = 200 * time.Millisecond
	// livenessInterval is the interval at which a write that waits for the client checks that the client is still there.
	livenessInterval = time.Second
	// freeHeadBytes is the length up to which a head takes no room. A longer one takes headFactor times its length: net/http
	// holds it as it was read and as fields.
	freeHeadBytes = 4 << 10
	headFactor    = 3
	// headsKind is the kind under which heads take room.
	headsKind = "heads"
)

var errNoRoom = errors.New("there is no room for the head of a request")

// trackedConnection is an accepted connection that records whether a request on it is still unanswered. The shutdown of
// net/http treats a connection as idle until it has read a request, and so drops requests that have arrived but were
// not read; with this record, Close has them answered.
type trackedConnection struct {
	*net.TCPConn

	set    *connectionSet
	opened time.Time
	// state is the http.ConnState that net/http reported last.
	state atomic.Int32
	// http2 is set on HTTP/2 connections, whose clients are notified of the shutdown by net/http.
	http2  atomic.Bool
	closed atomic.Bool
	// idleSince is when the connection became idle, and writesSince when the client last read of the answer that is being
	// written, or 0. Both are in nanoseconds of Unix time.
	idleSince, writesSince atomic.Int64
	// outer is the connection that net/http uses, which knows of requests that were read but are still in buffers.
	outer atomic.Pointer[net.Conn]

	mut sync.Mutex
	// unanswered is set by a read and cleared by a write: while it is set, a request has no answer yet.
	unanswered bool
	// ending is set once the farewell was sent.
	ending bool
	// writeDeadline is the deadline that the server has set.
	writeDeadline time.Time

	// headMut guards what follows. It is not mut, which the functions take that make others give back room.
	headMut sync.Mutex
	// headBytes is what was read of the head of the present request, and hol the room for a long one.
	headBytes int
	hol       *room.Holder
}

// Read records that a request has begun. Once the connection ends, it discards what arrives.
func (tra *trackedConnection) Read(into []byte) (int, error) {
	for {
		count, err := tra.TCPConn.Read(into)
		switch {
		case tra.beginRequest(count):
			if !tra.takeHeadRoom(count) {
				return 0, errNoRoom
			}
			return count, err
		case err != nil:
			return 0, io.EOF
		}
	}
}

// takeHeadRoom takes room for what was read of the head of a request, and reports whether there was some. The state is
// StateNew or StateIdle until the head is complete.
func (tra *trackedConnection) takeHeadRoom(count int) bool {
	if state := http.ConnState(tra.state.Load()); tra.set.room == nil || state != http.StateNew && state != http.StateIdle {
		return true
	}
	tra.headMut.Lock()
	defer tra.headMut.Unlock()
	tra.headBytes += count
	if tra.headBytes <= freeHeadBytes {
		return true
	}
	if tra.hol == nil {
		tra.hol = tra.set.room.Open(headsKind)
		tra.hol.Pace(func() { _ = tra.TCPConn.SetReadDeadline(time.Unix(1, 0)) })
	}
	return tra.hol.Take(int64(tra.headBytes)*headFactor - tra.hol.Held())
}

// endHead says that the head of the present request is complete, after which it does not give way any more.
func (tra *trackedConnection) endHead() {
	tra.headMut.Lock()
	defer tra.headMut.Unlock()
	if tra.hol != nil && tra.hol.EndPace() {
		_ = tra.TCPConn.SetReadDeadline(time.Time{})
	}
}

// freeHeadRoom gives back the room of a head once its request is answered or the connection ends.
func (tra *trackedConnection) freeHeadRoom() {
	tra.headMut.Lock()
	defer tra.headMut.Unlock()
	tra.headBytes = 0
	if tra.hol != nil {
		tra.hol.Close()
		tra.hol = nil
	}
}

// beginRequest records that bytes were read, and reports whether the connection is not ending.
func (tra *trackedConnection) beginRequest(count int) bool {
	tra.mut.Lock()
	defer tra.mut.Unlock()
	tra.unanswered = tra.unanswered || count > 0
	return !tra.ending
}

// Write records that the request is being answered.
func (tra *trackedConnection) Write(data []byte) (int, error) {
	tra.mut.Lock()
	tra.unanswered = false
	tra.mut.Unlock()
	if !tra.set.patient {
		return tra.TCPConn.Write(data)
	}
	return tra.writePatiently(data)
}

// writePatiently writes for as long as the client responds, whether or not it reads.
func (tra *trackedConnection) writePatiently(data []byte) (written int, err error) {
	tra.writesSince.Store(time.Now().UnixNano())
	defer tra.endWrite()
	for {
		if err := tra.beginWrite(); err != nil {
			return written, err
		}
		count, err := tra.TCPConn.Write(data[written:])
		written += count
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if count > 0 {
			tra.writesSince.Store(time.Now().UnixNano())
		}
		if responds, infoErr := tcpoptions.Responds(tra.TCPConn); infoErr != nil || !responds {
			return written, err
		}
	}
}

// beginWrite bounds the next part of a write; it fails if the server's own deadline has passed.
func (tra *trackedConnection) beginWrite() error {
	tra.mut.Lock()
	defer tra.mut.Unlock()
	now := time.Now()
	next := now.Add(livenessInterval)
	if until := tra.writeDeadline; !until.IsZero() && until.Before(next) {
		if !now.Before(until) {
			return os.ErrDeadlineExceeded
		}
		next = until
	}
	return tra.TCPConn.SetWriteDeadline(next)
}

// endWrite sets the server's own deadline again.
func (tra *trackedConnection) endWrite() {
	tra.mut.Lock()
	defer tra.mut.Unlock()
	tra.writesSince.Store(0)
	_ = tra.TCPConn.SetWriteDeadline(tra.writeDeadline)
}

// SetWriteDeadline sets the deadline of all writes.
func (tra *trackedConnection) SetWriteDeadline(deadline time.Time) error {
	tra.mut.Lock()
	defer tra.mut.Unlock()
	tra.writeDeadline = deadline
	return tra.TCPConn.SetWriteDeadline(deadline)
}

// SetReadDeadline does nothing once the connection ends, because the server would replace the end of the linger time. It
// shortens the deadline of an idle connection to the set's idle time.
func (tra *trackedConnection) SetReadDeadline(deadline time.Time) error {
	tra.mut.Lock()
	defer tra.mut.Unlock()
	if tra.ending {
		return nil
	}
	if tra.set.idleTime != nil && http.ConnState(tra.state.Load()) == http.StateIdle {
		if earlier := time.Now().Add(tra.set.idleTime()); earlier.Before(deadline) {
			deadline = earlier
		}
	}
	return tra.TCPConn.SetReadDeadline(deadline)
}

// isEnding reports whether the client was told that the connection ends.
func (tra *trackedConnection) isEnding() bool {
	tra.mut.Lock()
	defer tra.mut.Unlock()
	return tra.ending
}

// idleFor returns how long the connection has been idle, or 0.
func (tra *trackedConnection) idleFor(now time.Time) time.Duration {
	if http.ConnState(tra.state.Load()) != http.StateIdle || tra.http2.Load() {
		return 0
	}
	return now.Sub(time.Unix(0, tra.idleSince.Load()))
}

// stalledFor returns for how long the client has read nothing of an answer, or 0.
func (tra *trackedConnection) stalledFor(now time.Time) time.Duration {
	since := tra.writesSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// evict ends the connection: with a farewell if it is idle, and else at once.
func (tra *trackedConnection) evict() {
	if tra.idleFor(time.Now()) > 0 && !tra.set.secure {
		tra.end()
		return
	}
	_ = tra.SetLinger(0)
	_ = tra.Close()
}

// end tells the client of a connection without an unanswered request that the connection ends. The server's read then
// lasts until the client has closed, or for lingerTime, and the server closes the connection.
func (tra *trackedConnection) end() {
	tra.mut.Lock()
	defer tra.mut.Unlock()
	if !tra.quiet() {
		return
	}
	tra.ending = true
	_ = tra.TCPConn.SetReadDeadline(time.Now().Add(lingerTime))
	if _, err := tra.TCPConn.Write(tra.set.farewell); err == nil {
		_ = tra.CloseWrite()
	}
}

// linger tells the client that nothing more is sent, and reads what it sends until it has closed, or for lingerTime.
func (tra *trackedConnection) linger() {
	_ = tra.CloseWrite()
	_ = tra.TCPConn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, tra.TCPConn)
}

// awaitClose waits until the client has closed the connection; it fails at the read deadline.
func (tra *trackedConnection) awaitClose() error { return tcpoptions.AwaitClose(tra.TCPConn) }

// Close closes the connection and removes it from its set; it fails with net.ErrClosed after the first call.
func (tra *trackedConnection) Close() error {
	if tra.closed.Swap(true) {
		return net.ErrClosed
	}
	tra.set.remove(tra)
	tra.freeHeadRoom()
	return tra.TCPConn.Close()
}

// allAnswered reports whether no request on the connection is waiting for an answer.
func (tra *trackedConnection) allAnswered(now time.Time) bool {
	if http.ConnState(tra.state.Load()) == http.StateNew && now.Sub(tra.opened) < firstRequestTimeout {
		return false
	}
	tra.mut.Lock()
	defer tra.mut.Unlock()
	if !tra.quiet() {
		return false
	}
	// Peek fails if there is nothing to read.
	unread, err := tcpoptions.Peek(tra.TCPConn)
	return err != nil || !unread
}

// quiet reports whether nothing that was read is waiting for an answer and none is being written; the caller holds mut. A
// write clears unanswered before the answer is complete, so the state and the requests in buffers are looked at behind it.
func (tra *trackedConnection) quiet() bool {
	if tra.unanswered || tra.ending {
		return false
	}
	if state := http.ConnState(tra.state.Load()); state != http.StateIdle && state != http.StateNew {
		return false
	}
	outer := tra.outer.Load()
	return outer == nil || !framing.Pending(*outer)
}
