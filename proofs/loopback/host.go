package loopback

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// FirstPort is the first of the ports for a host's listeners. It lies below those that the system gives to outgoing
// connections, so that no other process can hold a port between its choice and its use, or between two uses.
const FirstPort = 20001

const (
	// Addresses of this network have firstNetwork to firstNetwork+networks-1 in their second byte.
	firstNetwork = 64
	networks     = 64
	byteValues   = 256
)

// hosts counts the hosts of this process.
var hosts atomic.Uint32

// NewHost returns an address that no other host of this process has, nor one of another process of about that time;
// there are 255 for each process.
func NewHost() netip.Addr {
	process := os.Getpid()
	return netip.AddrFrom4([4]byte{
		127, byte(firstNetwork + process%networks), byte(process / networks % byteValues), byte(hosts.Add(1)),
	})
}
