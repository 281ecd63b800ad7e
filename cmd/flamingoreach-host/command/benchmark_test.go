package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/processortime"
	"flamingoreach/io/boundedwriter"
	"flamingoreach/platform"
	"flamingoreach/platform/standin"
	"flamingoreach/proofs/loopback"
)

const (
	benchmarkKey  = "key-of-bank-a"
	benchmarkHost = "bench.example"
	startTime     = 10 * time.Second
	stopTime      = 6 * time.Second
	// answerBytes is a usual answer's size.
	answerBytes = 5000
	// settleTime is longer than nodes need to find each other.
	settleTime = 5 * time.Second
)

// BenchmarkCallAcrossHosts makes one call after the other from a host to the backend server of another one, through
// both nodes, with the plumbing of the real program in one process; -cpuprofile shows where a call's time goes.
func BenchmarkCallAcrossHosts(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	sto := standin.NewStore()
	sto.PutConfiguration(standin.Configuration(1, benchmarkHost, "quotes", standin.Account{Name: "bank-a", Keys: []string{benchmarkKey}, Rate: 5000, Burst: 5000}))
	door := httptest.NewServer(sto.Door())
	defer door.Close()
	store := netip.MustParseAddrPort(strings.TrimPrefix(door.URL, "http://"))
	caller := startHost(ctx, b, store, "quotes")
	startHost(ctx, b, store, "confirms")
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	ask := func(number int) int {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+caller.String()+"/confirms/1", http.NoBody)
		require.NoError(b, err)
		req.Host = benchmarkHost
		req.Header.Set("Attempt-Id", fmt.Sprint("attempt-", number))
		req.Header.Set("Deadline-Ms", "5000")
		req.Header.Set("Authorization", "Bearer "+benchmarkKey)
		res, err := client.Do(req)
		if err != nil {
			return 0
		}
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(b, err)
		require.NoError(b, res.Body.Close())
		return res.StatusCode
	}
	require.Eventually(b, func() bool { return ask(0) == http.StatusOK }, startTime, 20*time.Millisecond)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		require.Equal(b, http.StatusOK, ask(number))
	}
}

// BenchmarkIdleFleet measures the processor time that nodes without calls use, as the number of hosts grows.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []int{4, 16, 64} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			sto := standin.NewStore()
			sto.PutConfiguration(standin.Configuration(1, benchmarkHost, "quotes", standin.Account{Name: "bank-a", Keys: []string{benchmarkKey}, Rate: 5000, Burst: 5000}))
			door := httptest.NewServer(sto.Door())
			defer door.Close()
			for number := range size {
				startHost(ctx, b, netip.MustParseAddrPort(strings.TrimPrefix(door.URL, "http://")), []string{"quotes", "confirms"}[number%2])
			}
			defer cancel()
			time.Sleep(settleTime)
			before := processorTime(b)
			rounds := 0
			for ; b.Loop(); rounds++ {
				time.Sleep(time.Second)
			}
			used := processorTime(b) - before
			b.ReportMetric(used.Seconds()*1000/float64(rounds*size), "ms/host/s")
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	used, err := processortime.OfProcess()
	require.NoError(b, err)
	return used
}

// startHost runs a node and a backend server that answers at once, and returns the address for callers.
func startHost(ctx context.Context, b *testing.B, store netip.AddrPort, service string) netip.AddrPort {
	b.Helper()
	address := loopback.NewHost()
	pla := standin.Place{
		Name: service, Address: address, DataCentre: "z", Service: service, StopTime: stopTime,
		Callers: loopback.FirstPort, Ready: loopback.FirstPort + 1, Announcements: loopback.FirstPort + 2,
		BackendServer: loopback.FirstPort + 3, StoreDoor: loopback.FirstPort + 4, Peers: loopback.FirstPort + 5,
	}
	file := filepath.Join(b.TempDir(), "settings.toml")
	require.NoError(b, os.WriteFile(file, []byte(standin.Settings(pla)), 0o600))
	set, err := platform.ReadSettings(file)
	require.NoError(b, err)
	set.Store = store
	backend := &standin.BackendServer{
		Service: service, Address: set.BackendServer, Announcements: set.Announcements, AnswerBytes: answerBytes,
		Ran: func(standin.Seen) {},
	}
	backend.Restart()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", set.BackendServer.String())
	require.NoError(b, err)
	server := &http.Server{Handler: backend, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	go backend.Announce(ctx)
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, file, set, boundedwriter.New(io.Discard, 1), nil) }()
	b.Cleanup(func() {
		require.NoError(b, <-ended)
		require.NoError(b, server.Close())
	})
	return set.Callers
}
