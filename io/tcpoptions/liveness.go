package tcpoptions

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// lostProbes is the number of unanswered probes of a closed receive window after which the peer counts as gone. The kernel
// sends them at growing intervals, the first three within two seconds.
const lostProbes = 3

// AllowClosedWindow lets the peer of a connection keep its receive window closed for any time. The kernel's own timeout for
// unacknowledged data counts that time; without it, Responds tells whether the peer is still there.
func AllowClosedWindow(con *net.TCPConn) error {
	return control(con, func(descriptor int) error {
		return unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 0)
	})
}

// Responds reports whether the peer of a connection acknowledges what it is sent: data within unacknowledgedTimeout, and
// probes of its closed receive window.
func Responds(con *net.TCPConn) (bool, error) {
	var info *unix.TCPInfo
	err := control(con, func(descriptor int) (err error) {
		info, err = unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err != nil {
		return false, err
	}
	silent := time.Duration(info.Last_ack_recv) * time.Millisecond
	return info.Probes < lostProbes && (info.Unacked == 0 || silent < unacknowledgedTimeout), nil
}

func control(con *net.TCPConn, act func(descriptor int) error) error {
	raw, err := con.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "access connection")
	}
	var failure error
	if err := raw.Control(func(descriptor uintptr) { failure = act(int(descriptor)) }); err != nil {
		return eris.Wrap(err, "access connection")
	}
	return eris.Wrap(failure, "access connection")
}
