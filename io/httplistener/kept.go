package httplistener

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"flamingoreach/io/tcpoptions"
)

// firstRequestTime is how long after its acceptance a connection may take to send its first request during Close.
const firstRequestTime = 500 * time.Millisecond

// kept is an accepted connection that records whether a request on it is still unanswered. The shutdown of net/http
// treats a connection as idle until it has read a request, and so drops requests that have arrived but were not read;
// with this record, Close has them answered.
type kept struct {
	*net.TCPConn

	all    *keptSet
	opened time.Time
	// state is the http.ConnState that net/http reported last.
	state atomic.Int32
	// framed is set on HTTP/2 connections, whose clients are notified of the shutdown by net/http.
	framed atomic.Bool
	// begun is set by a read and cleared by a write: while it is set, a request has no answer yet.
	begun  atomic.Bool
	closed atomic.Bool
}

// Read records that a request has begun.
func (kep *kept) Read(into []byte) (int, error) {
	count, err := kep.TCPConn.Read(into)
	if count > 0 {
		kep.begun.Store(true)
	}
	return count, err
}

// Write records that the request is being answered.
func (kep *kept) Write(text []byte) (int, error) {
	kep.begun.Store(false)
	return kep.TCPConn.Write(text)
}

// Close closes the connection and removes it from its set; it fails with net.ErrClosed after the first call.
func (kep *kept) Close() error {
	if kep.closed.Swap(true) {
		return net.ErrClosed
	}
	kep.all.forget(kep)
	return kep.TCPConn.Close()
}

// done reports whether no request on the connection is waiting for an answer.
func (kep *kept) done(now time.Time) bool {
	switch http.ConnState(kep.state.Load()) {
	case http.StateIdle:
	case http.StateNew:
		if now.Sub(kep.opened) < firstRequestTime {
			return false
		}
	default:
		return false
	}
	if kep.begun.Load() {
		return false
	}
	// Peek fails if there is nothing to read.
	unread, err := tcpoptions.Peek(kep.TCPConn)
	return err != nil || !unread
}
