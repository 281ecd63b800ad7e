package httplistener

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// fillTime is ample for a connection on the same host; it passes if another connection has taken the place.
	fillTime = 5 * time.Millisecond
	// fillAttempts bounds the attempts at filling a backlog, for a host under a flood of connections.
	fillAttempts = 8
)

// socket is a listening socket that is closed without cutting the connections in its backlog. The kernel would
// reset these, with the requests that their clients have sent.
type socket struct {
	*net.TCPListener

	kept    *keptSet
	closing atomic.Bool
	// backlog holds the connections that were taken at the close.
	backlog chan *net.TCPConn
	// taken, if set, is called between the taking of the backlog and the close; tests connect then.
	taken func()
}

func newSocket(bound *net.TCPListener) *socket {
	return &socket{TCPListener: bound, kept: newKeptSet(), backlog: make(chan *net.TCPConn)}
}

// Accept returns the next connection, those of the backlog last, and then net.ErrClosed.
func (soc *socket) Accept() (net.Conn, error) {
	con, err := soc.AcceptTCP()
	if err == nil {
		return soc.kept.add(con), nil
	}
	if !soc.closing.Load() {
		return nil, err
	}
	if con, open := <-soc.backlog; open {
		return soc.kept.add(con), nil
	}
	return nil, net.ErrClosed
}

// drain stops listening right after it has taken all connections of the backlog, and hands them to Accept. Those for
// which there is no place until the context ends are closed.
func (soc *socket) drain(ctx context.Context) {
	if soc.closing.Swap(true) {
		return
	}
	// Ends an Accept under way, which would take the filler of the backlog.
	_ = soc.SetDeadline(time.Unix(1, 0))
	var descriptors []int
	var filler net.Conn
	if raw, err := soc.SyscallConn(); err == nil {
		_ = raw.Control(func(listening uintptr) {
			descriptors, filler = takeBacklog(ctx, int(listening), soc.Addr().(*net.TCPAddr).AddrPort())
			if soc.taken != nil {
				soc.taken()
			}
			_ = unix.Shutdown(int(listening), unix.SHUT_RDWR)
		})
	}
	_ = soc.Close()
	if filler != nil {
		_ = filler.Close()
	}
	for _, descriptor := range descriptors {
		con := connection(descriptor)
		if con == nil {
			continue
		}
		select {
		case soc.backlog <- con:
		case <-ctx.Done():
			_ = con.Close()
		}
	}
	close(soc.backlog)
}

// takeBacklog takes all connections of the backlog and fills it, so that none is established until the close: the
// kernel would reset that one then, after its client may have sent a request. The packet of a connection that begins
// meanwhile is dropped, and the next one finds the listener closed. The filler must be closed after the listener; it is
// nil if the backlog could not be filled, and the short time until the close remains.
func takeBacklog(ctx context.Context, listening int, address netip.AddrPort) (descriptors []int, filler net.Conn) {
	// A backlog of length 0 holds one connection.
	_ = unix.Listen(listening, 0)
	dialer := net.Dialer{Timeout: fillTime}
	for range fillAttempts {
		descriptors = append(descriptors, takeAll(listening)...)
		if filler, err := dialer.DialContext(ctx, "tcp", address.String()); err == nil {
			return descriptors, filler
		}
	}
	return append(descriptors, takeAll(listening)...), nil
}

// takeAll accepts until no connection is waiting.
func takeAll(listening int) []int {
	var descriptors []int
	for {
		descriptor, _, err := unix.Accept4(listening, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			descriptors = append(descriptors, descriptor)
		case unix.EINTR, unix.ECONNABORTED:
		default:
			return descriptors
		}
	}
}

// connection returns nil if the descriptor cannot be used.
func connection(descriptor int) *net.TCPConn {
	file := os.NewFile(uintptr(descriptor), "connection")
	defer func() { _ = file.Close() }()
	con, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return con.(*net.TCPConn)
}
