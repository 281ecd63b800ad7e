package loopback

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// FirstPort is the first of the ports for a host's listeners. It lies below the ephemeral ports that the operating
// system gives to outgoing connections, so that no other process can take a port before a listener binds it, or between
// two uses.
const FirstPort = 20001

const (
	// The second byte of the addresses is between firstNetwork and firstNetwork+networks-1.
	firstNetwork = 64
	networks     = 64
	byteValues   = 256
)

// hosts is the number of addresses that this process has taken.
var hosts atomic.Uint32

// NewHost returns a new loopback address for a host; a process can have 255. The second and third bytes derive from the
// process ID, so that processes that run at about the same time get different addresses too.
func NewHost() netip.Addr {
	process := os.Getpid()
	return netip.AddrFrom4([4]byte{
		127, byte(firstNetwork + process%networks), byte(process / networks % byteValues), byte(hosts.Add(1)),
	})
}
