package command

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/platform/standin"
)

const (
	crashHosts   = 4
	crashPath    = "/quotes/crash"
	crashKey     = "key-of-bank-a"
	crashTimeout = 2 * time.Second
	// maxCrashes is the number of deaths after which a request with the same content must no longer reach a backend server.
	maxCrashes = 2
)

// crashFleet is a fleet of one service whose backend servers crash under the requests with crashPath.
type crashFleet struct {
	hosts   []*host
	callers []*standin.Caller
	sent    atomic.Int64
}

// startCrashFleet starts the hosts and waits until each serves.
func startCrashFleet(t *testing.T, prepare func(bac *standin.BackendServer)) *crashFleet {
	t.Helper()
	sto := standin.NewStore()
	sto.PutConfiguration(standin.Configuration(1, benchmarkHost, "quotes",
		standin.Account{Name: "bank-a", Keys: []string{crashKey}, Rate: 5000, Burst: 5000}))
	endpoint := httptest.NewServer(sto.NewEndpoint())
	t.Cleanup(endpoint.Close)
	fle := &crashFleet{}
	for range crashHosts {
		hos := startHost(t.Context(), t, netip.MustParseAddrPort(strings.TrimPrefix(endpoint.URL, "http://")), "quotes", func(bac *standin.BackendServer) {
			bac.CrashPath = crashPath
			prepare(bac)
		})
		cal := standin.NewCaller(hos.set.Callers)
		t.Cleanup(cal.Close)
		fle.hosts, fle.callers = append(fle.hosts, hos), append(fle.callers, cal)
	}
	for number := range fle.hosts {
		require.Eventually(t, func() bool { return fle.send(t.Context(), number, "/quotes/warm-up").Signed }, startTime, 50*time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return fle
}

// send sends a request to one host.
func (fle *crashFleet) send(ctx context.Context, number int, path string) standin.Reply {
	reply, _ := fle.callers[number%len(fle.callers)].Send(ctx, standin.Request{
		ID: fmt.Sprint("attempt-", fle.sent.Add(1)), Method: "GET", Host: benchmarkHost, Path: path, Key: crashKey, Timeout: crashTimeout,
	})
	return reply
}

// crashes returns the number of incarnations of all backend servers that a request has crashed.
func (fle *crashFleet) crashes() int64 {
	var crashes int64
	for _, hos := range fle.hosts {
		crashes += hos.backend.Crashes()
	}
	return crashes
}

// Guards against a crashing request that ends one backend server after another because no death is attributed to it.
func TestACrashingRequestEndsTwoBackendServersAtMost(t *testing.T) {
	for name, test := range map[string]struct{ downTime, pause time.Duration }{
		"back before the next request":             {downTime: 300 * time.Millisecond, pause: time.Second},
		"down while the next requests come":        {downTime: 4 * time.Second, pause: time.Second},
		"back long before the next request":        {downTime: time.Second, pause: 4 * time.Second},
		"nobody connects while the server is down": {downTime: 4 * time.Second, pause: 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fle := startCrashFleet(t, func(bac *standin.BackendServer) { bac.DownTime = test.downTime })
			for number := range 2 * crashHosts {
				reply := fle.send(t.Context(), number, crashPath)
				t.Logf("request %d: status %d, %d crashes", number, reply.Status, fle.crashes())
				time.Sleep(test.pause)
			}
			require.LessOrEqual(t, fle.crashes(), int64(maxCrashes))
			require.True(t, fle.send(t.Context(), 0, "/quotes/other").Signed, "another request of the same account is served")
		})
	}
}

// Guards against callers that release a crashing request by sending it at many nodes at the same moment.
func TestCallersAtTheSameMomentDoNotReleaseACrashingRequest(t *testing.T) {
	const callers = 16
	fle := startCrashFleet(t, func(bac *standin.BackendServer) { bac.DownTime = time.Second })
	var sending sync.WaitGroup
	for number := range callers {
		sending.Go(func() { fle.send(t.Context(), number, crashPath) })
	}
	sending.Wait()
	first := fle.crashes()
	t.Logf("%d crashes under %d callers", first, callers)
	require.GreaterOrEqual(t, first, int64(maxCrashes))
	for number := range 2 * crashHosts {
		time.Sleep(500 * time.Millisecond)
		fle.send(t.Context(), number, crashPath)
	}
	require.Equal(t, first, fle.crashes())
}
