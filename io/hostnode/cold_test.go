package hostnode_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/answer"
	"flamingoreach/core/backendservice"
	"flamingoreach/core/call"
	"flamingoreach/core/configuration"
	"flamingoreach/core/localserver"
	"flamingoreach/core/reason"
	"flamingoreach/io/message"
)

const (
	coldRate = 7.8
	// coldBound is the number of requests that a cold backend server may receive in a second.
	coldBound = coldRate*1.5 + 8
)

func coldConfiguration(version uint64) configuration.Configuration {
	cfg := testConfiguration(version)
	cfg.Services = []backendservice.Service{{Name: "quotes", ColdStart: 3 * time.Second, ColdRate: coldRate}}
	return cfg
}

// startColdFleet is like startFleet and sets the bound on the requests to cold backend servers.
func startColdFleet(t *testing.T, sto *store, services ...string) []*host {
	t.Helper()
	var hosts []*host
	for index, service := range services {
		hos := &host{settings: testSettings(fmt.Sprintf("h%d", index), service), end: make(chan error, 1)}
		hos.settings.Bounds.ColdFactor, hos.settings.Bounds.ColdSlack = 1.5, 8
		hos.start(t, sto)
		hosts = append(hosts, hos)
	}
	requireFleet(t, hosts)
	return hosts
}

// recordArrivals makes the host's backend server record when calls reach it, and returns the function that reports the largest
// number within any second.
func (hos *host) recordArrivals() (most func() int) {
	var mut sync.Mutex
	var arrived []time.Time
	hos.setRun(func(_ context.Context, cal call.Call) (answer.Answer, message.Message) {
		mut.Lock()
		arrived = append(arrived, time.Now())
		mut.Unlock()
		return completeAnswer(cal), message.Message{Status: http.StatusOK}
	})
	return func() int {
		mut.Lock()
		defer mut.Unlock()
		largest, first := 0, 0
		for index, at := range arrived {
			for at.Sub(arrived[first]) > time.Second {
				first++
			}
			largest = max(largest, index-first+1)
		}
		return largest
	}
}

// surge sends requests from all hosts, 100 a second from each, and returns the reasons of those that failed.
func surge(t *testing.T, hosts []*host, span time.Duration) map[reason.Reason]int {
	t.Helper()
	var calls sync.WaitGroup
	var mut sync.Mutex
	failed := map[reason.Reason]int{}
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, hos := range hosts {
			calls.Go(func() {
				if ans, _ := hos.ask(t.Context(), "a", "/quotes/1", bearer); ans.Refusal != nil {
					mut.Lock()
					failed[ans.Refusal.Reason]++
					mut.Unlock()
				}
			})
		}
	}
	calls.Wait()
	return failed
}

// Guards against ingress nodes and a gate that send a cold backend server its usual part, and against callers that notice:
// another backend server is warm.
func TestAColdBackendServerReceivesFewCallsAndTheOthersTheRest(t *testing.T) {
	hosts := startColdFleet(t, newStore(coldConfiguration(1)), "quotes", "quotes", "confirms")
	most := hosts[0].recordArrivals()
	cold := hosts[0].announcement(localserver.Serving, 5)
	cold.ColdFor, cold.ColdKnown = 4*time.Second, true
	require.NoError(t, hosts[0].ReceiveAnnouncement(t.Context(), cold))
	require.Empty(t, surge(t, hosts, 2500*time.Millisecond))
	require.LessOrEqual(t, float64(most()), coldBound*0.75)
	require.Positive(t, most(), "it is used")
	for _, hos := range hosts {
		require.NoError(t, hos.ReceiveAnnouncement(t.Context(), hos.announcement(localserver.Serving, 6)))
	}
	for _, hos := range hosts {
		for _, mem := range hos.View().Serving("quotes") {
			require.Equal(t, mem.Peer == hosts[0].settings.Peers, mem.ColdRate == coldRate, "all nodes know that it is cold")
		}
	}
	require.Eventually(t, func() bool {
		for _, hos := range hosts {
			for _, mem := range hos.View().Serving("quotes") {
				if mem.ColdRate != 0 {
					return false
				}
			}
		}
		return true
	}, testTime, 20*time.Millisecond, "all nodes know that it is warm again")
	most = hosts[0].recordArrivals()
	time.Sleep(time.Second)
	require.Empty(t, surge(t, hosts, 1500*time.Millisecond))
	require.Greater(t, float64(most()), 2*coldBound)
}

// Guards against a backend server whose connection was refused and that comes back with its usual load.
func TestABackendServerThatComesBackAfterARefusedConnectionIsAssumedCold(t *testing.T) {
	hosts := startColdFleet(t, newStore(coldConfiguration(1)), "quotes", "confirms")
	time.Sleep(1500 * time.Millisecond)
	most := hosts[0].recordArrivals()
	ann := hosts[0].announcement(localserver.Serving, 1)
	hosts[0].HandleRefusedConnection(ann)
	back := hosts[0].announcement(localserver.Serving, 2)
	back.ColdKnown = true
	require.NoError(t, hosts[0].ReceiveAnnouncement(t.Context(), back))
	surge(t, hosts, 1500*time.Millisecond)
	require.Positive(t, most())
	require.LessOrEqual(t, float64(most()), coldBound*0.75)
}

// Guards against a pace where the configuration states none.
func TestWithoutAColdRateABackendServerGetsItsUsualLoad(t *testing.T) {
	hosts := startColdFleet(t, newStore(testConfiguration(1)), "quotes", "confirms")
	most := hosts[0].recordArrivals()
	cold := hosts[0].announcement(localserver.Serving, 5)
	cold.ColdFor, cold.ColdKnown = time.Minute, true
	require.NoError(t, hosts[0].ReceiveAnnouncement(t.Context(), cold))
	require.Empty(t, surge(t, hosts, 500*time.Millisecond))
	require.Greater(t, float64(most()), 2*coldBound)
	for _, mem := range hosts[1].View().Members {
		require.Zero(t, mem.ColdRate)
	}
}
