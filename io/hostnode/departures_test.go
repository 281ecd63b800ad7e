package hostnode_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/announcement"
	"flamingoreach/core/departure"
	"flamingoreach/core/localserver"
)

// lateInterval is the time between two late heartbeats, and watchTime how long no call may run after them. It is longer
// than a node that cannot learn of a departure keeps its gate closed.
const (
	lateInterval = 300 * time.Millisecond
	watchTime    = 3 * time.Second
	// restartTime is the time from its first heartbeat within which a backend server must be in use after a restart of its node.
	restartTime = 500 * time.Millisecond
	// acknowledgeTime is the time within which a departure must be acknowledged.
	acknowledgeTime = 500 * time.Millisecond
)

// Guards against a backend server that is used again after its node acknowledged its departure and was restarted, because
// two heartbeats from before the departure arrive late and the second one opens the gate.
func TestTwoLateHeartbeatsAfterARestartDoNotReopenTheGate(t *testing.T) {
	leave := map[string]func(hos *host) error{
		"drains": func(hos *host) error {
			return hos.ReceiveAnnouncement(context.Background(), hos.announcement(localserver.Draining, 6))
		},
		"deregisters": func(hos *host) error { return hos.DeregisterBackendServer(context.Background(), "h0", time.Time{}) },
	}
	for _, all := range []bool{false, true} {
		for _, storeDown := range []bool{false, true} {
			for name, leave := range leave {
				t.Run(fmt.Sprintf("%s, all restarted %t, store unavailable %t", name, all, storeDown), func(t *testing.T) {
					t.Parallel()
					requireNoCallAfterLateHeartbeats(t, leave, all, storeDown, storeDown)
				})
			}
		}
	}
	t.Run("the write to the store is lost", func(t *testing.T) {
		t.Parallel()
		requireNoCallAfterLateHeartbeats(t, leave["drains"], false, true, false)
	})
}

// openFleet starts three hosts with a route whose calls are admitted also while the store is unavailable.
func openFleet(t *testing.T) (*store, []*host) {
	t.Helper()
	cfg := testConfiguration(1)
	addOpenRoute(&cfg, cfg.Routes[0])
	sto := newStore(cfg)
	return sto, startFleet(t, sto, "quotes", "quotes", "quotes")
}

// requireNoCallAfterLateHeartbeats restarts the node of a backend server that has left, or all nodes, and lets two heartbeats
// of it arrive late. The store may be unavailable during the departure and afterwards.
func requireNoCallAfterLateHeartbeats(t *testing.T, leave func(hos *host) error, all, storeDownBefore, storeDownAfter bool) {
	t.Helper()
	sto, hosts := openFleet(t)
	sto.rowsDown.Store(storeDownBefore)
	require.NoError(t, leave(hosts[0]))
	hosts[0].departed.Store(true)
	restarted := hosts[:1]
	if all {
		restarted = hosts
	}
	for _, hos := range restarted {
		hos.stop()
	}
	for _, hos := range restarted {
		require.NoError(t, <-hos.end)
	}
	sto.rowsDown.Store(storeDownAfter)
	before := hosts[0].runs.Load()
	for _, hos := range restarted {
		hos.startNode(t, sto)
	}
	if storeDownBefore && !storeDownAfter {
		// Only the other nodes know of the departure, and this node learns from the store which nodes there are.
		require.Eventually(t, func() bool { return len(hosts[0].View().Members) == len(hosts) }, testTime, 10*time.Millisecond)
	}
	for number := range uint64(2) {
		// Whether a late heartbeat is acknowledged does not matter.
		_ = hosts[0].ReceiveAnnouncement(t.Context(), hosts[0].announcement(localserver.Serving, 2+number))
		time.Sleep(lateInterval)
	}
	for watched := time.Now(); time.Since(watched) < watchTime; time.Sleep(50 * time.Millisecond) {
		for _, hos := range hosts {
			hos.ask(t.Context(), fmt.Sprint(time.Now().UnixNano()), "/open/1", "")
		}
	}
	require.Equal(t, before, hosts[0].runs.Load(), "calls to a backend server that has left")
}

// Guards against a restarted node that leaves out a backend server which goes on serving, or asks more than it needs.
func TestABackendServerThatHasNotLeftServesAfterARestartOfItsNode(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("store unavailable %t", storeDown), func(t *testing.T) {
			t.Parallel()
			sto, hosts := openFleet(t)
			hos := hosts[0]
			require.LessOrEqual(t, sto.reads(), len(hosts), "one read for each start of a node")
			for _, started := range hosts {
				require.Zero(t, started.probes.Load(), "a start of the whole fleet makes no probe")
			}
			hos.stop()
			require.NoError(t, <-hos.end)
			sto.rowsDown.Store(storeDown)
			reads, probes := sto.reads(), hos.probes.Load()
			hos.startNode(t, sto)
			began := time.Now()
			require.Eventually(t, func() bool {
				// One that is not in force in time is repeated.
				return hos.ReceiveAnnouncement(t.Context(), hos.announcement(localserver.Serving, 2)) == nil
			}, testTime, time.Millisecond)
			inUse := time.Since(began)
			t.Logf("in use %s after the first heartbeat", inUse)
			require.LessOrEqual(t, inUse, restartTime)
			before := hos.runs.Load()
			require.Eventually(t, func() bool {
				hos.ask(t.Context(), fmt.Sprint(time.Now().UnixNano()), "/open/1", "")
				return hos.runs.Load() > before
			}, time.Second, 10*time.Millisecond)
			if storeDown {
				require.Equal(t, probes+1, hos.probes.Load())
				return
			}
			require.LessOrEqual(t, sto.reads(), reads+1)
			require.Equal(t, probes, hos.probes.Load(), "a probe is made only if nobody else answers")
		})
	}
}

// Guards against the next process of a backend server that is held up because the former one has left.
func TestTheNextProcessOfAnIDServesAtOnceAfterARestartOfItsNode(t *testing.T) {
	sto, hosts := openFleet(t)
	hos := hosts[0]
	require.NoError(t, hos.DeregisterBackendServer(t.Context(), "h0", time.Time{}))
	hos.stop()
	require.NoError(t, <-hos.end)
	hos.startNode(t, sto)
	reads, probes := sto.reads(), hos.probes.Load()
	next := hos.announcement(localserver.Serving, 0)
	next.Started = time.Now()
	require.NoError(t, hos.ReceiveAnnouncement(t.Context(), next))
	require.Equal(t, reads, sto.reads())
	require.Equal(t, probes, hos.probes.Load())
	require.Eventually(t, func() bool {
		_, reply := hos.ask(t.Context(), fmt.Sprint(time.Now().UnixNano()), "/open/1", "")
		return string(reply.Body) == "h0 "
	}, testTime, 10*time.Millisecond)
}

// Guards against a departure that costs more than one write, and against one that is acknowledged late because the store does
// not answer.
func TestADepartureIsWrittenOnceAndAcknowledgedWithoutTheStore(t *testing.T) {
	sto, hosts := openFleet(t)
	for number := range uint64(3) {
		require.NoError(t, hosts[0].ReceiveAnnouncement(t.Context(), hosts[0].announcement(localserver.Draining, 3+number)))
	}
	require.NoError(t, hosts[0].DeregisterBackendServer(t.Context(), "h0", time.Unix(1, 0)))
	require.Equal(t, 1, sto.writes())

	release := make(chan struct{})
	sto.holdWrites.Store(&release)
	began := time.Now()
	require.NoError(t, hosts[1].DeregisterBackendServer(t.Context(), "h1", time.Unix(1, 0)), "the write has not ended")
	require.LessOrEqual(t, time.Since(began), acknowledgeTime)
	close(release)
	require.Eventually(t, func() bool { return sto.writes() == 2 }, testTime, 10*time.Millisecond)
}

// readDeparture reads the departure on a host; it fails while the rows are unavailable.
func (sto *store) readDeparture(_ context.Context, address netip.AddrPort) (departure.Departure, bool, error) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	if sto.rowsDown.Load() {
		return departure.Departure{}, false, io.ErrUnexpectedEOF
	}
	sto.departureReads++
	dep, found := sto.departures[address]
	return dep, found, nil
}

// writeDeparture writes the departure on a host; it fails while the rows are unavailable.
func (sto *store) writeDeparture(_ context.Context, dep departure.Departure) error {
	if hold := sto.holdWrites.Load(); hold != nil {
		<-*hold
	}
	sto.mut.Lock()
	defer sto.mut.Unlock()
	if sto.rowsDown.Load() {
		return io.ErrUnexpectedEOF
	}
	sto.departureWrites++
	sto.departures[dep.Host] = dep
	return nil
}

func (sto *store) reads() int {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return sto.departureReads
}

func (sto *store) writes() int {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return sto.departureWrites
}

// probe answers as the host's backend server does, which says that it leaves once it has departed.
func (hos *host) probe(context.Context, announcement.Announcement) (bool, error) {
	hos.probes.Add(1)
	return !hos.departed.Load(), nil
}

// Guards against a departure that a store which came back from an older copy no longer has: after a restart of all nodes, late
// heartbeats would bring the backend server into use again.
func TestADepartureIsWrittenAgainAfterARestoreOfTheStore(t *testing.T) {
	sto, hosts := openFleet(t)
	hos := hosts[0]
	require.NoError(t, hos.DeregisterBackendServer(t.Context(), "h0", time.Time{}))
	kept := func() bool {
		sto.mut.Lock()
		defer sto.mut.Unlock()
		_, found := sto.departures[hos.settings.Peers]
		return found
	}
	require.True(t, kept())
	hos.ReceiveStoreEra(0, 0)
	sto.mut.Lock()
	delete(sto.departures, hos.settings.Peers)
	sto.mut.Unlock()
	hos.ReceiveStoreEra(1, 1)
	require.Eventually(t, kept, 10*time.Second, 10*time.Millisecond)
}
