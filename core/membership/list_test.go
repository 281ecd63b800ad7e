package membership_test

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingoreach/core/member"
	"flamingoreach/core/membership"
	"flamingoreach/core/membership/change"
	"flamingoreach/core/membership/exchange"
	"flamingoreach/core/membership/memberrow"
	"flamingoreach/core/membership/probe"
	"flamingoreach/core/membership/update"
)

const (
	// dataCentreSize is the number of nodes of one data centre at the planned size of 6,000 nodes in 28 data centres.
	dataCentreSize = 214
	deathLimit     = 6 * time.Second
	drainLimit     = 2 * time.Second
)

// settle runs the bus until all nodes agree, for a minute at most, and then for five seconds more, after which they
// must still agree. It clears the record of members that disappeared from published lists until then.
func settle(t *testing.T, bu *bus) {
	t.Helper()
	bu.run(time.Minute, bu.agree)
	require.True(t, bu.agree(), "the lists did not agree within a minute")
	bu.run(5*time.Second, nil)
	require.True(t, bu.agree())
	bu.lost = nil
}

func TestDeadMemberIsRemovedEverywhereWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(1)
		nodes := bu.addAll("ams-a", dataCentreSize)
		settle(t, bu)
		for _, index := range []int{3, 77, 150} {
			nodes[index].stopped = true
			took := bu.run(20*time.Second, bu.agree)
			t.Logf("%d nodes: removed from every list after %v", dataCentreSize, took)
			require.LessOrEqual(t, took, deathLimit)
		}
		require.Equal(t, []string{"ams-a-0003", "ams-a-0077", "ams-a-0150"}, nodes[0].deleted, "the acting leader deletes the rows")
	})
}

func TestMembersOfAFailedRackAreRemovedEverywhereWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(2)
		nodes := bu.addAll("ams-a", dataCentreSize)
		settle(t, bu)
		// Neighbours on the ring are the hard case, as the nodes that would probe them first die with them.
		slices.SortFunc(nodes, func(nod, other *node) int {
			return cmp.Compare(xxhash.Sum64String(nod.list.Self().ID), xxhash.Sum64String(other.list.Self().ID))
		})
		for i := range 18 {
			nodes[i/3*30+i%3].stopped = true
		}
		took := bu.run(30*time.Second, bu.agree)
		t.Logf("18 of %d nodes: removed from every list after %v", dataCentreSize, took)
		require.LessOrEqual(t, took, deathLimit)
	})
}

func TestAFrozenMemberIsListedAgainWhenItResumes(t *testing.T) {
	for _, span := range []time.Duration{3 * time.Second, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			bu := newBus(3)
			nodes := bu.addAll("ams-a", 20)
			settle(t, bu)
			frozen := nodes[7]
			frozen.frozen = true
			bu.run(span, nil)
			if span > deathLimit {
				require.False(t, bu.agree(), "the frozen member was not declared dead")
			}
			bu.lost = nil
			frozen.frozen = false
			took := bu.run(20*time.Second, bu.agree)
			t.Logf("frozen for %v: back in every list after %v", span, took)
			require.True(t, bu.agree())
			bu.run(20*time.Second, nil)
			require.True(t, bu.agree())
			require.Subset(t, []string{frozen.list.Self().ID}, bu.lost, "the resumed node declared others dead")
			require.NotZero(t, frozen.list.Counts().Pauses)
		})
	}
}

func TestAPausedObserverGivesSuspectsTimeToRefute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(11)
		nodes := bu.addAll("ams-a", 20)
		settle(t, bu)
		observer := nodes[7]
		bu.partitioned = func(from, to *node) bool { return from == observer || to == observer }
		bu.run(time.Minute, func() bool { return observer.list.Counts().Suspected > 1 })
		observer.frozen = true
		bu.run(10*time.Second, nil)
		bu.partitioned = func(_, _ *node) bool { return false }
		observer.frozen = false
		bu.run(20*time.Second, nil)
		require.True(t, bu.agree())
		require.Zero(t, observer.list.Counts().Died, "suspects were declared dead without time to refute")
	})
}

func TestDrainIsKnownEverywhereWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(4)
		nodes := bu.addAll("ams-a", dataCentreSize)
		settle(t, bu)
		nodes[9].list.LocalServerChanged(change.Change{Event: change.Drain, Service: "quotes", Slots: 90})
		id := nodes[9].list.Self().ID
		took := bu.run(10*time.Second, func() bool { return bu.all(id, membership.Draining) })
		t.Logf("%d nodes: drain known everywhere after %v", dataCentreSize, took)
		require.LessOrEqual(t, took, drainLimit)

		nodes[9].list.Leave()
		took = bu.run(10*time.Second, func() bool { return bu.all(id, "") && nodes[9].list.LeaveAnnounced() })
		require.LessOrEqual(t, took, 4*time.Second)
		nodes[9].stopped = true
		bu.run(10*time.Second, nil)
		require.True(t, bu.agree())
		require.Equal(t, []string{id}, nodes[9].deleted)
		nodes[1].list.ProbeReceived(probe.Probe{Updates: []update.Update{{Member: member.Member{
			ID: id, Peer: nodes[9].peer, DataCentre: "ams-a", Incarnation: 99,
		}, Liveness: "alive"}}})
		bu.run(5*time.Second, nil)
		require.True(t, bu.agree(), "a member that had left came back")
	})
}

func TestALostAnnouncementIsRecoveredByAnExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(5)
		nodes := bu.addAll("ams-a", 30)
		settle(t, bu)
		bu.drop = 1
		nodes[4].list.LocalServerChanged(change.Change{Event: change.Drain, Service: "quotes", Slots: 90})
		id := nodes[4].list.Self().ID
		for !bu.all(id, membership.Draining) && nodes[4].list.Counts().GossipSent < 200 {
			bu.run(tickInterval, nil)
			if nodes[4].list.Counts().GossipSent > 60 {
				break
			}
		}
		require.False(t, bu.all(id, membership.Draining))
		bu.drop = 0
		took := bu.run(time.Minute, func() bool { return bu.agree() && bu.all(id, membership.Draining) })
		t.Logf("lost announcement healed after %v", took)
		require.Less(t, took, 30*time.Second)
	})
}

func TestNoFlappingUnderLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(6)
		bu.addAll("ams-a", 50)
		settle(t, bu)
		bu.drop = 0.2
		bu.run(2*time.Minute, nil)
		suspected, refuted := uint64(0), uint64(0)
		for _, nod := range bu.nodes {
			suspected += nod.list.Counts().Suspected
			refuted += nod.list.Counts().Refuted
		}
		t.Logf("%d suspicions, %d refutations in 2 minutes of 20%% loss", suspected, refuted)
		require.Empty(t, bu.lost)
		require.NotZero(t, refuted)
	})
}

func TestPartitionInsideDataCentreHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(7)
		nodes := bu.addAll("ams-a", 120)
		settle(t, bu)
		side := map[*node]bool{}
		for _, nod := range nodes[:50] {
			side[nod] = true
		}
		bu.partitioned = func(from, to *node) bool { return side[from] != side[to] }
		bu.run(2*time.Minute, nil)
		require.Len(t, nodes[0].published, 50)
		require.Len(t, nodes[119].published, 70)
		bu.partitioned = func(_, _ *node) bool { return false }
		bu.lost = nil
		took := bu.run(2*time.Minute, bu.agree)
		t.Logf("partition of 50 and 70 nodes healed after %v", took)
		require.True(t, bu.agree())
		require.Empty(t, bu.lost, "healing the partition removed members that were known")
	})
}

func TestDataCentresStayInSyncAndRestartedNodeReplacesOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(8)
		first := bu.addAll("ams-a", 20)
		second := bu.addAll("arn-a", 20)
		third := bu.addAll("nij-b", 20)
		settle(t, bu)
		require.Len(t, first[3].list.Service("quotes"), 60)
		require.NotZero(t, first[3].list.Counts().ProbesSent)

		id := second[5].list.Self().ID
		second[5].list.LocalServerChanged(change.Change{Event: change.Drain, Service: "quotes", Slots: 90})
		took := bu.run(time.Minute, func() bool { return bu.all(id, membership.Draining) })
		t.Logf("drain known in three data centres after %v", took)
		require.Less(t, took, 6*time.Second)

		third[0].stopped = true
		took = bu.run(time.Minute, bu.agree)
		t.Logf("death of an acting leader known in three data centres after %v", took)
		require.Less(t, took, 15*time.Second)

		first[6].stopped = true
		restarted := bu.addAt("ams-a", first[6].peer)
		took = bu.run(time.Minute, bu.agree)
		t.Logf("restart known in three data centres after %v", took)
		require.Less(t, took, 10*time.Second)
		require.True(t, restarted.list.Synced())

		region := map[*node]bool{}
		for _, nod := range first {
			region[nod] = true
		}
		region[restarted] = true
		bu.partitioned = func(from, to *node) bool { return region[from] != region[to] }
		bu.lost = nil
		bu.run(10*time.Minute, nil)
		require.Empty(t, bu.lost, "nodes behind a partition between regions were taken for dead")
		second[9].stopped = true
		bu.run(10*time.Second, nil)
		bu.partitioned = func(_, _ *node) bool { return false }
		took = bu.run(time.Minute, bu.agree)
		t.Logf("partition between regions healed after %v", took)
		require.True(t, bu.agree())
	})
}

func TestIdleTrafficStaysWithinBudget(t *testing.T) {
	// budget is the number of bytes, as JSON, that the busiest node may send per second.
	const span, budget = 60 * time.Second, 23 << 10
	measure := func(name string, dataCentres, size int) {
		synctest.Test(t, func(t *testing.T) {
			bu := newBus(12)
			for i := range dataCentres {
				bu.addAll(fmt.Sprintf("dc-%02d", i), size)
			}
			bu.run(2*time.Minute, bu.agree)
			bu.run(time.Minute, nil)
			require.True(t, bu.agree())
			bu.bytes = map[*node]int{}
			bu.run(span, nil)
			most, total := 0, 0
			for _, sent := range bu.bytes {
				most = max(most, sent)
				total += sent
			}
			t.Logf("%s: a node sends %.0f JSON bytes a second, the busiest %.0f", name,
				float64(total)/float64(len(bu.nodes))/span.Seconds(), float64(most)/span.Seconds())
			require.Less(t, float64(most)/span.Seconds(), float64(budget))
		})
	}
	measure("1 data centre of 50", 1, 50)
	measure("1 data centre of 214", 1, dataCentreSize)
	measure("28 data centres of 4", 28, 4)
}

func TestUpdatesInAnyOrderGiveTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		item := rapid.Custom(func(t *rapid.T) update.Update {
			number := rapid.IntRange(1, 3).Draw(t, "member")
			incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			return update.Update{
				Member: member.Member{
					ID: fmt.Sprint(number), DataCentre: "arn-a", Incarnation: incarnation, Slots: int(incarnation),
					Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7000),
				},
				Liveness: rapid.SampledFrom([]string{"alive", "suspect", "dead", "left"}).Draw(t, "liveness"),
			}
		})
		all := rapid.SliceOfN(item, 1, 12).Draw(t, "updates")
		shuffled := rapid.Permutation(all).Draw(t, "shuffled")
		self := member.Member{ID: "self", DataCentre: "ams-a"}
		lis, other := membership.New(self, nil), membership.New(self, nil)
		lis.ProbeReceived(probe.Probe{Updates: all})
		other.ProbeReceived(probe.Probe{Updates: shuffled})
		require.Equal(t, lis.Members(), other.Members())
		require.Equal(t, lis.ProbeReceived(probe.Probe{}).Digest, other.ProbeReceived(probe.Probe{}).Digest)
	})
}

func TestNewNodeLearnsTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(13)
		nodes := bu.addAll("ams-a", 3)
		settle(t, bu)
		const fleet = 6000
		var rows []memberrow.Row
		for number := range fleet {
			rows = append(rows, memberrow.Row{Member: benchMember(number), Refreshed: time.Now()})
		}
		nodes[1].list.RowsRead(rows)
		bu.seeds = []netip.AddrPort{nodes[1].peer}
		newcomer := bu.add("ams-a")
		took := bu.run(time.Minute, newcomer.list.Synced)
		t.Logf("%d members known after %v and %d exchanges", len(newcomer.published), took, newcomer.list.Counts().ExchangesSent)
		require.Greater(t, len(newcomer.list.Members()), fleet)
		require.Less(t, took, 10*time.Second)
	})
}

func TestOutdatedRowDoesNotReviveDeadMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(9)
		nodes := bu.addAll("ams-a", 10)
		settle(t, bu)
		old := nodes[5].list.Self()
		nodes[5].stopped = true
		bu.run(10*time.Second, nil)
		require.True(t, bu.agree())
		for _, nod := range nodes[:5] {
			nod.deleted = nil
			nod.list.RowsRead([]memberrow.Row{{Member: old, Refreshed: time.Now()}})
		}
		bu.run(time.Second, nil)
		require.True(t, bu.agree())
		require.Equal(t, []string{old.ID}, nodes[0].deleted, "the acting leader did not retry a lost deletion")
		require.Empty(t, nodes[1].deleted)
	})
}

func TestRowsAreWrittenRefreshedAndRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(10)
		nod := bu.add("ams-a")
		bu.run(time.Second, nil)
		require.Len(t, nod.rows, 1)
		require.True(t, time.Since(nod.rows["ams-a-0000"].Refreshed) <= time.Second)
		nod.list.RowFailed()
		bu.run(10*time.Minute, nil)
		require.InDelta(t, 6, float64(nod.list.Counts().RowsWritten), 2)
		stale := member.Member{ID: "old", Peer: netip.MustParseAddrPort("10.9.9.9:1"), DataCentre: "ams-a"}
		nod.list.RowsRead([]memberrow.Row{
			{Member: stale, Refreshed: time.Now().Add(-30 * time.Minute)},
			{Member: nod.list.Self(), Refreshed: time.Now()},
		})
		require.Len(t, nod.list.Members(), 1)
		require.Empty(t, nod.deleted)
		nod.list.RowsRead([]memberrow.Row{{Member: stale, Refreshed: time.Now().Add(-2 * time.Hour)}})
		require.Equal(t, []string{"old"}, nod.deleted)
	})
}

// Guards against an entry of another writer that no node has announced, in a row or passed on by another node.
func TestEntriesThatNoNodeHasAnnouncedAreNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(14)
		nodes := bu.addAll("ams-a", 2)
		settle(t, bu)
		for name, change := range map[string]func(row *memberrow.Row){
			"port 0":               func(row *memberrow.Row) { row.Member.Peer = netip.MustParseAddrPort("10.9.9.9:0") },
			"no ID":                func(row *memberrow.Row) { row.Member.ID = "" },
			"no data centre":       func(row *memberrow.Row) { row.Member.DataCentre = "" },
			"a billion slots":      func(row *memberrow.Row) { row.Member.Slots = 1_000_000_000 },
			"the last incarnation": func(row *memberrow.Row) { row.Member.Incarnation = math.MaxUint64 },
			"own last incarnation": func(row *memberrow.Row) {
				row.Member.ID, row.Member.Incarnation = nodes[0].list.Self().ID, math.MaxUint64
			},
			"far ahead": func(row *memberrow.Row) { row.Refreshed = time.Now().Add(24 * time.Hour) },
		} {
			row := memberrow.Row{Member: benchMember(1), Refreshed: time.Now()}
			change(&row)
			nodes[0].list.RowsRead([]memberrow.Row{row})
			require.Len(t, nodes[0].list.Members(), 2, "%s in a row", name)
			if name != "far ahead" {
				nodes[0].list.ExchangeReceived(exchange.Exchange{Sender: "x", Updates: []update.Update{{Member: row.Member, Liveness: "alive"}}})
				require.Len(t, nodes[0].list.Members(), 2, "%s from a node", name)
			}
		}
		require.Less(t, nodes[0].list.Self().Incarnation, uint64(100))
	})
}

// addRestartedFleet starts four data centres of four nodes at once. The table also has rows of 16 earlier nodes at the
// same addresses, which died without deleting them.
func addRestartedFleet(bu *bus) {
	var rows []memberrow.Row
	for number := range 16 {
		dataCentre := fmt.Sprint("d", number%4)
		former := bu.add(dataCentre)
		former.stopped = true
		rows = append(rows, memberrow.Row{Member: former.list.Self(), Refreshed: time.Now()})
	}
	for _, former := range bu.nodes[:16] {
		nod := bu.addAt(former.list.Self().DataCentre, former.peer)
		rows = append(rows, memberrow.Row{Member: nod.list.Self(), Refreshed: time.Now()})
	}
	for _, nod := range bu.nodes[16:] {
		nod.list.RowsRead(rows)
	}
}

func TestNodesThatStartTogetherKnowEachOtherSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(1)
		addRestartedFleet(bu)
		require.LessOrEqual(t, bu.run(5*time.Second, bu.agree), 300*time.Millisecond)
	})
}

func TestChangeReachesOtherDataCentresSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(1)
		addRestartedFleet(bu)
		bu.run(10*time.Second, nil)
		for _, changed := range bu.nodes[20:24] {
			changed.list.LocalServerChanged(change.Change{Event: change.Serve, Service: "quotes", Slots: 90})
			id := changed.list.Self().ID
			took := bu.run(5*time.Second, func() bool { return bu.all(id, membership.Serving) })
			require.LessOrEqual(t, took, 600*time.Millisecond)
		}
	})
}

func TestRowWithoutIDOrAddressIsNotContacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bu := newBus(1)
		nod := bu.add("d0")
		nod.list.RowsRead([]memberrow.Row{
			{Refreshed: time.Now()},
			{Member: member.Member{ID: "without an address"}, Refreshed: time.Now()},
		})
		require.Zero(t, nod.list.Counts().ProbesSent)
		require.Len(t, nod.list.Members(), 1)
	})
}
