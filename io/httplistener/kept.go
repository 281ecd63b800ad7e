package httplistener

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"flamingoreach/io/tcpoptions"
)

// firstRequestTime is how long a connection that was established before the close may take to send its request.
const firstRequestTime = 500 * time.Millisecond

// kept is an open connection of a listener, with what is known of the requests on it. A server that stops must not drop
// one that has come: the library's own shutdown gives no answer to requests that it has not read before, and takes a
// connection for idle until its request is read.
type kept struct {
	*net.TCPConn

	all    *keptSet
	opened time.Time
	// state is an http.ConnState, as the library told it last.
	state atomic.Int32
	// framed says that it speaks HTTP/2, whose end the library tells its clients.
	framed atomic.Bool
	// begun says that bytes were read and none written since: a request has no answer yet.
	begun  atomic.Bool
	closed atomic.Bool
}

// Read notes that a request has begun.
func (kep *kept) Read(into []byte) (int, error) {
	count, err := kep.TCPConn.Read(into)
	if count > 0 {
		kep.begun.Store(true)
	}
	return count, err
}

// Write notes that the request is being answered.
func (kep *kept) Write(text []byte) (int, error) {
	kep.begun.Store(false)
	return kep.TCPConn.Write(text)
}

// Close closes the connection.
func (kep *kept) Close() error {
	if kep.closed.Swap(true) {
		return net.ErrClosed
	}
	kep.all.forget(kep)
	return kep.TCPConn.Close()
}

// done reports whether no answer is owed on the connection.
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
	// An error says that there is nothing to read.
	unread, err := tcpoptions.Peek(kep.TCPConn)
	return err != nil || !unread
}
