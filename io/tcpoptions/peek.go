package tcpoptions

import (
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Peek reports whether a connection has unread bytes, without waiting. It fails with unix.EAGAIN if nothing has arrived,
// and with another error if the connection is broken. If the other end has closed its sending side, it returns false
// and no error.
func Peek(con *net.TCPConn) (unread bool, err error) {
	raw, err := con.SyscallConn()
	if err != nil {
		return false, eris.Wrap(err, "peek at connection")
	}
	var count int
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		var probe [1]byte
		count, _, failure = unix.Recvfrom(int(descriptor), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return false, eris.Wrap(err, "peek at connection")
	}
	return count > 0, failure
}
