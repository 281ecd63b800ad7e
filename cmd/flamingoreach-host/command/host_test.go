package command

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/boundedwriter"
	"flamingoreach/io/hostsettings"
	"flamingoreach/platform"
	"flamingoreach/platform/standin"
	"flamingoreach/proofs/loopback"
)

const (
	stopTime = 6 * time.Second
	maxLines = 4096
)

// host is a node, assembled as in the program, with a stand-in of its backend server.
type host struct {
	set     hostsettings.Settings
	backend *standin.BackendServer
}

// startHost runs a node and a backend server that prepare has changed, until the context ends.
func startHost(ctx context.Context, tb testing.TB, store netip.AddrPort, service string, prepare func(bac *standin.BackendServer)) *host {
	tb.Helper()
	address := loopback.NewHost()
	file := filepath.Join(tb.TempDir(), "settings.toml")
	require.NoError(tb, os.WriteFile(file, []byte(standin.Settings(standin.Host{
		Name: address.String(), Address: address, DataCentre: "z", Service: service, StopTime: stopTime,
		Callers: loopback.FirstPort, Ready: loopback.FirstPort + 1, Announcements: loopback.FirstPort + 2,
		BackendServer: loopback.FirstPort + 3, Store: loopback.FirstPort + 4, Peers: loopback.FirstPort + 5,
	})), 0o600))
	set, err := platform.ReadSettings(file)
	require.NoError(tb, err)
	set.Store = store
	set.Metrics = netip.AddrPortFrom(address, loopback.FirstPort+6)
	hos := &host{set: set, backend: &standin.BackendServer{
		Service: service, Address: set.BackendServer, Announcements: set.Announcements, OnExecute: func(standin.Execution) {},
	}}
	prepare(hos.backend)
	lines := boundedwriter.New(tb.Output(), maxLines)
	ended := make(chan error, 4)
	serving, stop := context.WithCancel(ctx)
	go func() { ended <- hos.backend.Serve(serving) }()
	go func() { hos.backend.Announce(serving); ended <- nil }()
	go func() { ended <- lines.Run(serving) }()
	go func() { ended <- serve(serving, file, set, lines, nil) }()
	tb.Cleanup(func() {
		stop()
		for range cap(ended) {
			require.NoError(tb, <-ended)
		}
	})
	return hos
}
