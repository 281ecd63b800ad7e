package tcpoptions

import (
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// closedEvents says that the other end sends nothing more, or that the connection is broken.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// AwaitClose waits until the other end has closed its sending side or the connection is broken, also while bytes are
// unread, and reads nothing. It fails with os.ErrDeadlineExceeded at the read deadline, and if the connection is closed.
// No other goroutine may read meanwhile.
func AwaitClose(con *net.TCPConn) error {
	raw, err := con.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "wait for the end of a connection")
	}
	// The runtime calls the function again when more arrives.
	err = raw.Read(func(descriptor uintptr) bool {
		events := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		count, err := unix.Poll(events, 0)
		return err == nil && count > 0 && events[0].Revents&closedEvents != 0
	})
	return eris.Wrap(err, "wait for the end of a connection")
}
