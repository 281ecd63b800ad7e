package httplistener

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"flamingoreach/io/tcpoptions"
)

// firstRequestTimeout is how long after its acceptance a connection may take to send its first request during Close.
const firstRequestTimeout = 500 * time.Millisecond

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
	http2 atomic.Bool
	// unanswered is set by a read and cleared by a write: while it is set, a request has no answer yet.
	unanswered atomic.Bool
	closed     atomic.Bool
}

// Read records that a request has begun.
func (tra *trackedConnection) Read(into []byte) (int, error) {
	count, err := tra.TCPConn.Read(into)
	if count > 0 {
		tra.unanswered.Store(true)
	}
	return count, err
}

// Write records that the request is being answered.
func (tra *trackedConnection) Write(data []byte) (int, error) {
	tra.unanswered.Store(false)
	return tra.TCPConn.Write(data)
}

// Close closes the connection and removes it from its set; it fails with net.ErrClosed after the first call.
func (tra *trackedConnection) Close() error {
	if tra.closed.Swap(true) {
		return net.ErrClosed
	}
	tra.set.remove(tra)
	return tra.TCPConn.Close()
}

// allAnswered reports whether no request on the connection is waiting for an answer.
func (tra *trackedConnection) allAnswered(now time.Time) bool {
	switch http.ConnState(tra.state.Load()) {
	case http.StateIdle:
	case http.StateNew:
		if now.Sub(tra.opened) < firstRequestTimeout {
			return false
		}
	default:
		return false
	}
	if tra.unanswered.Load() {
		return false
	}
	// Peek fails if there is nothing to read.
	unread, err := tcpoptions.Peek(tra.TCPConn)
	return err != nil || !unread
}
