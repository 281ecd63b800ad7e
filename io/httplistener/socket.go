package httplistener

import (
	"context"
	"net"
	"os"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// socket is a listening socket that is closed without cutting the connections in its backlog. The kernel would
// reset these, with the requests that their clients have sent.
type socket struct {
	*net.TCPListener

	closing atomic.Bool
	// backlog holds the connections that were taken at the close.
	backlog chan net.Conn
}

func newSocket(bound *net.TCPListener) *socket {
	return &socket{TCPListener: bound, backlog: make(chan net.Conn)}
}

// Accept returns the next connection, those of the backlog last, and then net.ErrClosed.
func (soc *socket) Accept() (net.Conn, error) {
	con, err := soc.TCPListener.Accept()
	if err == nil || !soc.closing.Load() {
		return con, err
	}
	if con, open := <-soc.backlog; open {
		return con, nil
	}
	return nil, net.ErrClosed
}

// drain stops listening right after it has taken all connections of the backlog, and hands them to Accept. Those for
// which there is no place until the context ends are closed.
func (soc *socket) drain(ctx context.Context) {
	if soc.closing.Swap(true) {
		return
	}
	var descriptors []int
	if raw, err := soc.SyscallConn(); err == nil {
		_ = raw.Control(func(listening uintptr) {
			descriptors = takeAll(int(listening))
			_ = unix.Shutdown(int(listening), unix.SHUT_RDWR)
		})
	}
	_ = soc.Close()
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
func connection(descriptor int) net.Conn {
	file := os.NewFile(uintptr(descriptor), "connection")
	defer func() { _ = file.Close() }()
	con, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return con
}
