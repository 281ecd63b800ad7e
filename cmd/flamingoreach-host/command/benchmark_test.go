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
	// answerBytes is the size of a typical answer.
	answerBytes = 5000
	// settleTime is longer than nodes need to discover each other.
	settleTime = 5 * time.Second
)

// BenchmarkCallAcrossHosts makes one call after the other from a host to the backend server of another one, through both
// nodes. Both run in this process, assembled as in the program, so that -cpuprofile shows where a call's time goes.
func BenchmarkCallAcrossHosts(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	sto := standin.NewStore()
	sto.PutConfiguration(standin.Configuration(1, benchmarkHost, "quotes", standin.Account{Name: "bank-a", Keys: []string{benchmarkKey}, Rate: 5000, Burst: 5000}))
	endpoint := httptest.NewServer(sto.NewEndpoint())
	defer endpoint.Close()
	store := netip.MustParseAddrPort(strings.TrimPrefix(endpoint.URL, "http://"))
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
			endpoint := httptest.NewServer(sto.NewEndpoint())
			defer endpoint.Close()
			for number := range size {
				startHost(ctx, b, netip.MustParseAddrPort(strings.TrimPrefix(endpoint.URL, "http://")), []string{"quotes", "confirms"}[number%2])
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

// startHost runs a node and a backend server that answers at once, and returns the node's address for callers.
func startHost(ctx context.Context, b *testing.B, store netip.AddrPort, service string) netip.AddrPort {
	b.Helper()
	address := loopback.NewHost()
	hos := standin.Host{
		Name: service, Address: address, DataCentre: "z", Service: service, StopTime: stopTime,
		Callers: loopback.FirstPort, Ready: loopback.FirstPort + 1, Announcements: loopback.FirstPort + 2,
		BackendServer: loopback.FirstPort + 3, Store: loopback.FirstPort + 4, Peers: loopback.FirstPort + 5,
	}
	file := filepath.Join(b.TempDir(), "settings.toml")
	require.NoError(b, os.WriteFile(file, []byte(standin.Settings(hos)), 0o600))
	set, err := platform.ReadSettings(file)
	require.NoError(b, err)
	set.Store = store
	backend := &standin.BackendServer{
		Service: service, Address: set.BackendServer, Announcements: set.Announcements, AnswerBytes: answerBytes,
		OnExecute: func(standin.Execution) {},
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
