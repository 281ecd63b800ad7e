package tcpoptions

import (
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Peek reports whether a byte waits unread on a connection, without waiting for one. It fails with unix.EAGAIN if nothing
// has come, and with another error if the connection is broken; the end of the other side's sending is no error.
func Peek(con *net.TCPConn) (unread bool, err error) {
	raw, err := con.SyscallConn()
	if err != nil {
		return false, eris.Wrap(err, "look at connection")
	}
	var count int
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		var probe [1]byte
		count, _, failure = unix.Recvfrom(int(descriptor), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return false, eris.Wrap(err, "look at connection")
	}
	return count > 0, failure
}
