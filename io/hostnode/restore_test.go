package hostnode_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/localserver"
	"flamingoreach/core/reason"
	"flamingoreach/io/hostnode"
	"flamingoreach/platform"
	"flamingoreach/platform/standin"
)

// standinStore is the stand-in of the platform's store, with an endpoint for each host.
type standinStore struct {
	*standin.Store

	endpoints []*standin.Endpoint
}

// connect gives a host an endpoint and makes its node use that.
func (sto *standinStore) connect(t *testing.T, hos *host, pla *hostnode.Platform) {
	t.Helper()
	end := sto.NewEndpoint()
	sto.endpoints = append(sto.endpoints, end)
	server := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if hos.storeUnreachable.Load() {
			panic(http.ErrAbortHandler)
		}
		end.ServeHTTP(wri, req)
	}))
	cli := platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()))
	t.Cleanup(func() {
		hos.stop()
		cli.Close()
		server.CloseClientConnections()
		server.Close()
	})
	pla.ReadConfiguration, pla.FollowConfiguration = cli.ReadConfiguration, cli.FollowConfiguration
	pla.ReadMembers, pla.WriteMember, pla.DeleteMember = cli.ReadMembers, cli.WriteMember, cli.DeleteMember
	pla.ReadCrashRecords, pla.WriteCrashRecords = cli.ReadCrashRecords, cli.WriteCrashRecords
	pla.RaiseStoreEra = cli.RaiseEra
	cli.OnEra = func(era, known uint64) { hos.ReceiveStoreEra(era, known) }
	cli.OnLateAnswer = func(era, known uint64) { hos.ReceiveLateAnswer(era, known) }
}

// put writes a configuration that knows one key.
func (sto *standinStore) put(version uint64, known string) {
	sto.PutConfiguration(standin.Configuration(version, "a.example", "quotes", standin.Account{Name: "bank-a", Keys: []string{known}, Rate: 1000, Burst: 1000}))
}

// restoreDuring restores a copy while the store serves nobody, and lets the operators write before it serves again.
func (sto *standinStore) restoreDuring(restore, write func()) {
	for _, end := range sto.endpoints {
		end.SetFault(standin.Unavailable)
	}
	time.Sleep(50 * time.Millisecond)
	restore()
	write()
	for _, end := range sto.endpoints {
		end.SetFault(standin.NoFault)
	}
}

// memberIDs returns the keys of the members' rows.
func (sto *standinStore) memberIDs(t *testing.T) []string {
	t.Helper()
	return sto.keys(t, "flamingoreachMembers")
}

// keys returns the keys of a table.
func (sto *standinStore) keys(t *testing.T, table string) (keys []string) {
	t.Helper()
	rec := httptest.NewRecorder()
	sto.NewEndpoint().ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/rows-get?tableName="+table, http.NoBody))
	var answer struct{ Rows []struct{ Key string } }
	require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &answer))
	for _, row := range answer.Rows {
		keys = append(keys, row.Key)
	}
	return keys
}

// metric returns the value of one of the host's metrics.
func (hos *host) metric(t *testing.T, name string) string {
	t.Helper()
	rec := httptest.NewRecorder()
	hos.Metrics().ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", http.NoBody))
	for line := range strings.Lines(rec.Body.String()) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// startOn runs one node for each service given with the stand-in.
func startOn(t *testing.T, sto *standinStore, first int, services ...string) []*host {
	t.Helper()
	var hosts []*host
	for index, service := range services {
		hos := &host{settings: testSettings(fmt.Sprintf("h%d", first+index), service), end: make(chan error, 1), standin: sto}
		hos.start(t, newStore(testConfiguration(1)))
		hosts = append(hosts, hos)
	}
	return hosts
}

func newRestorable() *standinStore { return &standinStore{Store: standin.NewStore()} }

// requireFleetSoon is like requireFleet, for hosts whose backend servers go on sending heartbeats.
func requireFleetSoon(t *testing.T, hosts []*host) {
	t.Helper()
	number := uint64(1)
	require.Eventually(t, func() bool {
		number++
		known := true
		for _, hos := range hosts {
			require.NoError(t, hos.ReceiveAnnouncement(t.Context(), hos.announcement(localserver.Serving, number)))
			vie := hos.View()
			known = known && len(vie.Members) == len(hosts) && len(vie.Serving("quotes"))+len(vie.Serving("confirms")) == len(hosts)
		}
		return known
	}, testTime, 200*time.Millisecond)
}

func requireVersion(t *testing.T, hosts []*host, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(hosts, func(hos *host) bool {
			cfg := hos.View().Configuration
			return cfg == nil || cfg.Version != version
		})
	}, testTime, 10*time.Millisecond, "version %d", version)
}

// Guards against followers that go on after the revision that they know, which the restored store has given out again for
// a change that they therefore never see.
func TestAChangeIsNotMissedBecauseItsRevisionWasGivenOutAgain(t *testing.T) {
	sto := newRestorable()
	sto.put(1, key)
	hosts := startOn(t, sto, 0, "quotes", "confirms")
	requireFleet(t, hosts)
	restore := sto.Copy()
	sto.put(2, key)
	requireVersion(t, hosts, 2)
	sto.restoreDuring(restore, func() { sto.put(3, "other") })
	requireVersion(t, hosts, 3)
}

// Guards against a node whose row the store has lost, so that nodes which start later never find it, and against rows that
// came back of a node that has left.
func TestHostsThatStartAroundARestoreFindEachOther(t *testing.T) {
	sto := newRestorable()
	sto.put(1, key)
	stopped := startOn(t, sto, 0, "quotes")[0]
	require.Eventually(t, func() bool { return len(sto.memberIDs(t)) == 1 }, testTime, 10*time.Millisecond)
	former := sto.memberIDs(t)
	restore := sto.Copy()
	hosts := startOn(t, sto, 1, "quotes", "confirms")
	requireFleet(t, append(hosts, stopped))
	stopped.stop()
	require.NoError(t, <-stopped.end)
	require.Eventually(t, func() bool { return len(sto.memberIDs(t)) == 2 }, testTime, 10*time.Millisecond)
	sto.restoreDuring(restore, func() { require.Equal(t, former, sto.memberIDs(t)) })
	hosts = append(hosts, startOn(t, sto, 3, "quotes", "confirms")...)
	requireFleetSoon(t, hosts)
	require.Eventually(t, func() bool {
		ids := sto.memberIDs(t)
		return len(ids) == len(hosts) && !slices.Contains(ids, former[0])
	}, testTime, 20*time.Millisecond)
}

// Guards against a withdrawn key that works again while the store has the version before its withdrawal.
func TestAWithdrawnKeyStaysWithdrawnWhileTheStoreHasAnOlderVersion(t *testing.T) {
	sto := newRestorable()
	sto.put(1, key)
	hosts := startOn(t, sto, 0, "quotes", "confirms")
	requireFleet(t, hosts)
	restore := sto.Copy()
	sto.put(2, "other")
	requireVersion(t, hosts, 2)
	sto.restoreDuring(restore, func() {})
	started := startOn(t, sto, 2, "quotes")
	requireVersion(t, started, 2)
	for _, hos := range append(hosts, started...) {
		require.NoError(t, hos.ReceiveAnnouncement(t.Context(), hos.announcement(localserver.Serving, 2)))
		ans, _ := hos.ask(t.Context(), "a", "/quotes/1", bearer)
		require.Equal(t, reason.KeyUnknown, ans.Refusal.Reason)
	}
	sto.put(3, key)
	requireVersion(t, append(hosts, started...), 3)
}

// Guards against a host that the store turns away and that never hears of the new era, and against one whose confirmed drain
// is undone by a restore.
func TestAHostThatTheStoreTurnsAwayHearsOfTheNewEra(t *testing.T) {
	sto := newRestorable()
	sto.put(1, key)
	hosts := startOn(t, sto, 0, "quotes", "quotes", "confirms")
	requireFleet(t, hosts)
	restore := sto.Copy()
	hosts[1].storeUnreachable.Store(true)
	require.NoError(t, hosts[2].ReceiveAnnouncement(t.Context(), hosts[2].announcement(localserver.Draining, 2)))
	sto.restoreDuring(restore, func() {})
	for _, hos := range hosts {
		require.Eventually(t, func() bool { return hos.metric(t, "flamingoreach_store_era") == "2" }, testTime, 20*time.Millisecond)
	}
	ans, _ := hosts[0].ask(t.Context(), "a", "/confirms/1", bearer)
	require.NotNil(t, ans.Refusal)
	require.Zero(t, hosts[2].runs.Load())
	hosts[1].storeUnreachable.Store(false)
	require.Eventually(t, func() bool { return len(sto.memberIDs(t)) == len(hosts) }, testTime, 20*time.Millisecond)
}

// Guards against hosts that all start around a restore, before which some of them had read the rows and written their own.
func TestAStartOfAllHostsDuringARestore(t *testing.T) {
	sto := newRestorable()
	sto.put(1, key)
	restore := sto.Copy()
	hosts := startOn(t, sto, 0, "quotes", "confirms")
	require.Eventually(t, func() bool { return len(sto.memberIDs(t)) == len(hosts) }, testTime, time.Millisecond)
	sto.restoreDuring(restore, func() {})
	hosts = append(hosts, startOn(t, sto, 2, "quotes", "confirms")...)
	requireFleetSoon(t, hosts)
}

// Guards against a crashing request that is unknown after the loss of all nodes, because the restored store had lost its
// record.
func TestARestoreDoesNotReleaseACrashingRequest(t *testing.T) {
	sto := newRestorable()
	sto.put(1, key)
	hosts := startOn(t, sto, 0, "quotes", "quotes")
	requireFleet(t, hosts)
	restore := sto.Copy()
	crashes := crashTwice(t, hosts)
	require.Eventually(t, func() bool { return len(sto.keys(t, "flamingoreachCrashes")) == 1 }, testTime, 10*time.Millisecond)
	sto.restoreDuring(restore, func() { require.Empty(t, sto.keys(t, "flamingoreachCrashes")) })
	require.Eventually(t, func() bool { return len(sto.keys(t, "flamingoreachCrashes")) == 1 }, testTime, 10*time.Millisecond)
	for _, hos := range hosts {
		hos.stop()
	}
	for _, hos := range hosts {
		require.NoError(t, <-hos.end)
		hos.start(t, newStore(testConfiguration(1)))
	}
	for _, hos := range hosts {
		require.Eventually(t, hos.AcceptsCalls, testTime, 20*time.Millisecond)
		ans, _ := hos.ask(t.Context(), "again", "/quotes/poison", bearer)
		require.Equal(t, reason.Quarantined, ans.Refusal.Reason)
	}
	require.Equal(t, int64(2), crashes.Load())
}
