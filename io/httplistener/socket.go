package httplistener

import (
	"context"
	"math"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	// fillTimeout is ample to connect on the same host; it expires if another connection has filled the backlog.
	fillTimeout = 5 * time.Millisecond
	// fillAttempts bounds the attempts to fill the backlog, for a host under a flood of connections.
	fillAttempts = 8
	// handshakeTime is longer than a round trip between regions, after which a handshake that had begun has ended.
	handshakeTime         = 50 * time.Millisecond
	handshakePollInterval = 5 * time.Millisecond
	// tcpFlagsOffset is the offset of the flags in a TCP header, and tcpFlagSYN the flag that begins a handshake.
	tcpFlagsOffset = 13
	tcpFlagSYN     = 1 << 1
)

// socket is a listening socket that is closed without losing the connections in its backlog. On a plain close, the
// kernel resets these connections although their clients may have sent requests.
type socket struct {
	*net.TCPListener

	connections *connectionSet
	closing     atomic.Bool
	// backlog passes the connections that drain has accepted to Accept.
	backlog chan *net.TCPConn
	// onBacklogAccepted, if set, is called between the emptying of the backlog and the close; tests connect then.
	onBacklogAccepted func()
}

func newSocket(listener *net.TCPListener) *socket {
	return &socket{TCPListener: listener, connections: newConnectionSet(), backlog: make(chan *net.TCPConn)}
}

// Accept returns the next connection; during drain, it returns the connections of the backlog and then net.ErrClosed.
func (soc *socket) Accept() (net.Conn, error) {
	soc.connections.awaitPlace(soc.closing.Load)
	con, err := soc.AcceptTCP()
	if err == nil {
		return soc.connections.add(con), nil
	}
	if !soc.closing.Load() {
		return nil, err
	}
	if con, open := <-soc.backlog; open {
		return soc.connections.add(con), nil
	}
	return nil, net.ErrClosed
}

// drain accepts all connections of the backlog, stops listening right after that, and passes the connections to Accept.
// Those that Accept has not received when the context ends are closed.
func (soc *socket) drain(ctx context.Context) {
	if soc.closing.Swap(true) {
		return
	}
	soc.connections.signal()
	// Interrupts a running Accept, which would accept the connection that fills the backlog.
	_ = soc.SetDeadline(time.Unix(1, 0))
	var descriptors []int
	var filler net.Conn
	if raw, err := soc.SyscallConn(); err == nil {
		_ = raw.Control(func(listening uintptr) {
			if dropNewConnections(int(listening)) == nil {
				descriptors = acceptHandshakes(ctx, int(listening))
			} else {
				descriptors, filler = acceptBacklog(ctx, int(listening), soc.Addr().(*net.TCPAddr).AddrPort())
			}
			if soc.onBacklogAccepted != nil {
				soc.onBacklogAccepted()
			}
			_ = unix.Shutdown(int(listening), unix.SHUT_RDWR)
		})
	}
	_ = soc.Close()
	if filler != nil {
		_ = filler.Close()
	}
	for _, descriptor := range descriptors {
		con := connectionOf(descriptor)
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

// dropNewConnections makes the kernel drop the SYN packets that arrive at a listening socket, so that no client begins to
// connect; their retransmissions find the listener closed. Handshakes that have begun go on. It fails where socket filters
// are not supported.
func dropNewConnections(listening int) error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: tcpFlagSYN, SkipFalse: 1},
		bpf.RetConstant{Val: 0},
		bpf.RetConstant{Val: math.MaxUint16},
	})
	if err != nil {
		return err
	}
	filters := make([]unix.SockFilter, 0, len(program))
	for _, ins := range program {
		filters = append(filters, unix.SockFilter{Code: ins.Op, Jt: ins.Jt, Jf: ins.Jf, K: ins.K})
	}
	return unix.SetsockoptSockFprog(listening, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(filters)), Filter: &filters[0]})
}

// acceptHandshakes accepts the connections of the backlog and, for handshakeTime, those whose handshakes end.
func acceptHandshakes(ctx context.Context, listening int) []int {
	var descriptors []int
	for until := time.Now().Add(handshakeTime); time.Now().Before(until) && ctx.Err() == nil; {
		descriptors = append(descriptors, acceptWaiting(listening)...)
		time.Sleep(handshakePollInterval)
	}
	return append(descriptors, acceptWaiting(listening)...)
}

// acceptBacklog is for hosts without socket filters. It accepts all connections of the backlog and fills it with a connection of its own, the filler, so that no
// client can connect until the close: the kernel would reset that connection although its client may have sent a
// request. The SYN packet of a client that connects meanwhile is dropped, and its retransmission finds the listener
// closed. The filler must be closed after the listener. It is nil if the backlog could not be filled; a client can
// then still connect in the short time until the close, and one whose handshake had begun may be reset.
func acceptBacklog(ctx context.Context, listening int, address netip.AddrPort) (descriptors []int, filler net.Conn) {
	// A backlog of length 0 holds one connection.
	_ = unix.Listen(listening, 0)
	dialer := net.Dialer{Timeout: fillTimeout}
	for range fillAttempts {
		descriptors = append(descriptors, acceptWaiting(listening)...)
		if filler, err := dialer.DialContext(ctx, "tcp", address.String()); err == nil {
			return descriptors, filler
		}
	}
	return append(descriptors, acceptWaiting(listening)...), nil
}

// acceptWaiting accepts until no connection is waiting.
func acceptWaiting(listening int) []int {
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

// connectionOf returns the TCP connection of a descriptor, or nil if the descriptor cannot be used.
func connectionOf(descriptor int) *net.TCPConn {
	file := os.NewFile(uintptr(descriptor), "connection")
	defer func() { _ = file.Close() }()
	con, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return con.(*net.TCPConn)
}
