package hostnode_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/configuration"
	"flamingoreach/core/leader"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/io/message"
	"flamingoreach/io/peer"
)

// startFleetIn runs one node of the service quotes for each region given and waits until all know each other.
func startFleetIn(t *testing.T, sto *store, regions ...string) []*host {
	t.Helper()
	var hosts []*host
	for index, region := range regions {
		hos := &host{settings: testSettings(fmt.Sprintf("h%d", index), "quotes"), end: make(chan error, 1)}
		hos.settings.Region, hos.settings.DataCentre = region, region+"-a"
		hos.start(t, sto)
		hosts = append(hosts, hos)
	}
	requireFleet(t, hosts)
	return hosts
}

// restricted returns a configuration whose route quotes and account bank-a are restricted to regions.
func restricted(version uint64, route, account []string) configuration.Configuration {
	cfg := testConfiguration(version)
	cfg.Routes[0].Regions, cfg.Accounts[0].Regions = route, account
	return cfg
}

// Guards against requests that run in a region that their route or client account does not allow.
func TestARestrictedRequestRunsOnlyInItsRegions(t *testing.T) {
	for name, regions := range map[string]struct{ route, account []string }{
		"route":        {[]string{"s"}, nil},
		"account":      {nil, []string{"s"}},
		"intersection": {[]string{"r", "s"}, []string{"s", "t"}},
	} {
		t.Run(name, func(t *testing.T) {
			hosts := startFleetIn(t, newStore(restricted(1, regions.route, regions.account)), "r", "r", "s")
			for index := range 30 {
				ans, reply := hosts[index%3].ask(t.Context(), fmt.Sprint(index), "/quotes/1", bearer)
				require.Nil(t, ans.Refusal)
				require.Equal(t, "h2 ", string(reply.Body))
			}
			require.Zero(t, hosts[0].runs.Load()+hosts[1].runs.Load())
		})
	}
}

// Guards against a retry in another region after an attempt in an allowed one has failed.
func TestAFailedRestrictedRequestIsNotRetriedOutsideItsRegions(t *testing.T) {
	for name, why := range map[string]*refusal.Refusal{
		"not run": {Reason: reason.BackendServerShed, Outcome: outcome.NotRun, Elsewhere: true, Offered: true, Step: "test"},
		"unknown": {Reason: reason.AnswerTruncated, Outcome: outcome.Unknown, Step: "test"},
	} {
		t.Run(name, func(t *testing.T) {
			hosts := startFleetIn(t, newStore(restricted(1, []string{"s"}, nil)), "r", "s")
			hosts[1].setRun(func(_ context.Context, cal call.Call) (answer.Answer, message.Message) {
				ref := *why
				return answer.Answer{CallID: cal.ID, AllowanceLeft: cal.Allowance, Refusal: &ref}, message.Message{}
			})
			ans, _ := hosts[0].ask(t.Context(), "a", "/quotes/1", bearer)
			require.NotNil(t, ans.Refusal)
			require.Equal(t, why.Reason, ans.Refusal.Reason, "the reason of the last gate")
			require.Equal(t, int64(1), hosts[1].runs.Load())
			require.Zero(t, hosts[0].runs.Load())
		})
	}
}

// Guards against requests that run somewhere, or are refused without a reason, when no allowed region has the service.
func TestARequestWithoutAnAllowedRegionIsRefusedAsNotRun(t *testing.T) {
	for name, regions := range map[string]struct{ route, account []string }{
		"region without members": {[]string{"t"}, nil},
		"empty intersection":     {[]string{"r"}, []string{"s"}},
	} {
		t.Run(name, func(t *testing.T) {
			hosts := startFleetIn(t, newStore(restricted(1, regions.route, regions.account)), "r", "s")
			for _, hos := range hosts {
				ans, _ := hos.ask(t.Context(), "a", "/quotes/1", bearer)
				require.NotNil(t, ans.Refusal)
				require.Equal(t, reason.NoAllowedRegion, ans.Refusal.Reason)
				require.Equal(t, outcome.NotRun, ans.Refusal.Outcome)
				require.Positive(t, ans.Refusal.RetryAfter)
				require.Zero(t, hos.runs.Load())
			}
			metrics := httptest.NewRecorder()
			hosts[0].Metrics().ServeHTTP(metrics, nil)
			require.Contains(t, metrics.Body.String(), `refusals_total{layer="ingress",reason="noAllowedRegion"} 1`)
		})
	}
}

// Guards against deeper calls, which have no account, that ignore the restriction of their route.
func TestARequestWithoutAKeyIsRestrictedByItsRoute(t *testing.T) {
	cfg := testConfiguration(1)
	open := cfg.Routes[0]
	open.Regions = []string{"s"}
	addOpenRoute(&cfg, open)
	cfg.Accounts[0].Regions = []string{"r"}
	hosts := startFleetIn(t, newStore(cfg), "r", "s")
	for index := range 10 {
		ans, reply := hosts[index%2].ask(t.Context(), fmt.Sprint(index), "/open/1", "")
		require.Nil(t, ans.Refusal)
		require.Equal(t, "h1 ", string(reply.Body))
	}
}

// Guards against a restriction that reaches only the hosts that read the store themselves.
func TestARestrictionReachesAHostThatCannotReadTheStore(t *testing.T) {
	sto := newStore(testConfiguration(1))
	hosts := startFleetIn(t, sto, "r", "s")
	hosts[0].storeUnreachable.Store(true)
	sto.put(restricted(2, []string{"s"}, nil))
	require.Eventually(t, func() bool { return hosts[0].View().Configuration.Version == 2 }, testTime, 20*time.Millisecond)
	_, reply := hosts[0].ask(t.Context(), "a", "/quotes/1", bearer)
	require.Equal(t, "h1 ", string(reply.Body))
}

// Guards against a gate outside the allowed regions that runs a call, as it may get one that was meant for another process
// at its address.
func TestAGateOutsideTheAllowedRegionsRefusesACallAsNotRun(t *testing.T) {
	hosts := startFleetIn(t, newStore(testConfiguration(1)), "r")
	cli := peer.NewPooledClient(nil)
	defer cli.Close()
	cli.Leader = func() (string, leader.Leader, bool) { return "", leader.Leader{}, false }
	cli.OnLeader = func(string, leader.Leader) {}
	cal := call.Call{
		ID: uuid.New(), Root: uuid.New(), Service: "quotes", Deadline: time.Now().Add(testTime), Allowance: 2, Regions: []string{"s"},
	}
	ans, _, err := cli.Run(t.Context(), hosts[0].settings.Peers, cal, 1, message.Message{Method: http.MethodGet, Target: "/quotes/1"})
	require.NoError(t, err)
	require.NotNil(t, ans.Refusal)
	require.Equal(t, reason.NoAllowedRegion, ans.Refusal.Reason)
	require.Equal(t, outcome.NotRun, ans.Refusal.Outcome)
	require.True(t, ans.Refusal.Elsewhere)
	require.Equal(t, 2, ans.AllowanceLeft)
	require.Zero(t, hosts[0].runs.Load())
	cal.ID, cal.Regions = uuid.New(), []string{"r", "s"}
	ans, _, err = cli.Run(t.Context(), hosts[0].settings.Peers, cal, 1, message.Message{Method: http.MethodGet, Target: "/quotes/1"})
	require.NoError(t, err)
	require.Nil(t, ans.Refusal)
}

// Guards against an unknown region in the configuration that nobody notices, and against a line for it on each event.
func TestARestrictionThatLeavesNoRegionIsLoggedOnceForEachVersion(t *testing.T) {
	var out lockedBuffer
	sto := newStore(restricted(1, []string{"r", "x"}, nil))
	hos := &host{settings: testSettings("h0", "quotes"), end: make(chan error, 1)}
	hos.settings.Regions, hos.logTo = []string{"r", "s"}, &out
	hos.start(t, sto)
	require.Eventually(t, hos.AcceptsCalls, testTime, 20*time.Millisecond)
	sto.put(restricted(2, []string{"r"}, []string{"s"}))
	require.Eventually(t, func() bool { return hos.View().Configuration.Version == 2 }, testTime, 20*time.Millisecond)
	sto.put(restricted(3, []string{"r"}, nil))
	require.Eventually(t, func() bool { return hos.View().Configuration.Version == 3 }, testTime, 20*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	lines := out.linesWith(`"regions":`)
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], `"msg":"allowed regions are unknown","version":1,"regions":["x"],"route":"quotes","regionsLeft":1`)
	require.Contains(t, lines[1], `"msg":"route has no allowed region for an account","version":2,"regions":["s"],"route":"quotes","account":"bank-a","accounts":1`)
}

// lockedBuffer keeps the log of a node that runs.
type lockedBuffer struct {
	mut  sync.Mutex
	text strings.Builder
}

func (buf *lockedBuffer) Write(text []byte) (int, error) {
	buf.mut.Lock()
	defer buf.mut.Unlock()
	return buf.text.Write(text)
}

// linesWith returns the lines that contain a text.
func (buf *lockedBuffer) linesWith(text string) []string {
	buf.mut.Lock()
	defer buf.mut.Unlock()
	return slices.DeleteFunc(strings.Split(buf.text.String(), "\n"), func(line string) bool { return !strings.Contains(line, text) })
}
