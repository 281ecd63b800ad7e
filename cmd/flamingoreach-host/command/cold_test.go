package command

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/platform/standin"
)

const (
	coldHosts = 3
	coldTime  = 4 * time.Second
	// coldPause is the time between two requests of one of the coldCallers callers of each host.
	coldPause   = 20 * time.Millisecond
	coldCallers = 4
)

// Guards against a backend server that starts cold in a fleet under load and crashes because it gets its usual part. Its first
// process crashes at once if it gets more requests than it can handle.
func TestABackendServerThatStartsColdSurvivesALoadedFleet(t *testing.T) {
	sto := standin.NewStore()
	sto.PutConfiguration(standin.Configuration(1, benchmarkHost, "quotes",
		standin.Account{Name: "bank-a", Keys: []string{crashKey}, Rate: 5000, Burst: 5000}))
	endpoint := httptest.NewServer(sto.NewEndpoint())
	t.Cleanup(endpoint.Close)
	store := netip.MustParseAddrPort(strings.TrimPrefix(endpoint.URL, "http://"))
	var hosts []*host
	for range coldHosts {
		hosts = append(hosts, startHost(t.Context(), t, store, "quotes", func(bac *standin.BackendServer) {
			bac.CrashPath, bac.ColdBound = crashPath, standin.ColdBound
		}))
	}
	var sending sync.WaitGroup
	until := time.Now().Add(2*coldTime + startTime/2)
	for number, hos := range hosts {
		for caller := range coldCallers {
			sending.Go(func() {
				cal := standin.NewCaller(hos.set.Callers)
				defer cal.Close()
				for count := 0; time.Now().Before(until); count++ {
					_, _ = cal.Send(t.Context(), standin.Request{
						ID: fmt.Sprint(number, "-", caller, "-", count), Method: "GET", Host: benchmarkHost, Path: "/quotes/1", Key: crashKey, Timeout: crashTimeout,
					})
					time.Sleep(coldPause)
				}
			})
		}
	}
	time.Sleep(coldTime)
	bac := hosts[0].backend
	bac.BecomeCold(coldTime)
	time.Sleep(coldTime)
	reported := bac.MostWhileCold()
	bac.ColdTime = coldTime
	bac.Restart()
	sending.Wait()
	t.Logf("at most %d requests in a second after a report, %d after a start", reported, bac.MostWhileCold())
	require.Zero(t, bac.Crashes())
	require.Positive(t, reported)
	require.LessOrEqual(t, float64(bac.MostWhileCold()), standin.ColdBound)
}
