package tcpoptions

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedTimeout is how long sent data may stay unacknowledged before the connection is ended. It allows for
	// several retransmissions at the longest round trip time.
	unacknowledgedTimeout = 2 * time.Second
	// A connection without traffic is probed after probeIdle and then at each probeInterval. It is ended after
	// probeCount probes without an answer.
	probeIdle     = 1 * time.Second
	probeInterval = 1 * time.Second
	probeCount    = 2
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// Dialer returns a dialer with a bound on the time to connect; its connections are closed if the peer stops responding.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
}

// Listen binds an address; accepted connections are closed if the peer stops responding. It fails if the address cannot
// be bound.
func Listen(ctx context.Context, address netip.AddrPort) (*net.TCPListener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return listener.(*net.TCPListener), nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
