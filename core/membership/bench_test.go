package membership_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/member"
	"flamingoreach/core/membership"
	"flamingoreach/core/membership/change"
	"flamingoreach/core/membership/exchange"
	"flamingoreach/core/membership/memberrow"
	"flamingoreach/core/membership/probe"
	"flamingoreach/core/membership/update"
)

// nodesPerDataCentre is the number of nodes of one data centre at the planned size of 6,000 nodes in 28 data centres.
const nodesPerDataCentre = 214

var sizes = []int{50, 100, 214, 6000}

func benchMember(number int) member.Member {
	address := netip.AddrFrom4([4]byte{10, 1, byte(number >> 8), byte(number)})
	return member.Member{
		ID:     fmt.Sprintf("0190b3c6-0000-7000-8000-%012d", number),
		Peer:   netip.AddrPortFrom(address, 7000),
		Region: "nl-west", DataCentre: fmt.Sprintf("dc-%02d", number/nodesPerDataCentre),
		Service: fmt.Sprintf("service-%03d", number/8), State: "serving",
		Incarnation: 3, Slots: 90, Started: time.Unix(1_800_000_000, 0),
	}
}

// fullList returns a synced list of count members, itself included.
func fullList(count int) *membership.List {
	lis := membership.New(benchMember(0), nil)
	var rows []memberrow.Row
	for number := 1; number < count; number++ {
		rows = append(rows, memberrow.Row{Member: benchMember(number), Refreshed: time.Now()})
	}
	lis.RowsRead(rows)
	// A probe with the same digest makes the list synced, so that it passes updates on.
	reply := lis.ProbeReceived(probe.Probe{})
	for range 100 {
		lis.ProbeReceived(probe.Probe{Digest: reply.Digest})
	}
	return lis
}

func forSizes(b *testing.B, run func(b *testing.B, lis *membership.List, count int)) {
	for _, count := range sizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) { run(b, fullList(count), count) })
	}
}

// reportJSON reports a message's size in JSON, which is larger than that of its binary encoding.
func reportJSON(b *testing.B, name string, message any) {
	text, err := json.Marshal(message)
	require.NoError(b, err)
	b.ReportMetric(float64(len(text)), name)
}

func BenchmarkProbeWithoutUpdates(b *testing.B) {
	forSizes(b, func(b *testing.B, lis *membership.List, _ int) {
		pro := probe.Probe{Sender: benchMember(1).ID, Peer: benchMember(1).Peer, Target: lis.Self().ID}
		for b.Loop() {
			lis.ProbeReceived(pro)
		}
		reportJSON(b, "probeBytes", pro)
		reportJSON(b, "ackBytes", lis.ProbeReceived(pro))
	})
}

// BenchmarkProbeWithUpdates receives eight changed members with each probe and passes them on.
func BenchmarkProbeWithUpdates(b *testing.B) {
	forSizes(b, func(b *testing.B, lis *membership.List, count int) {
		pro := probe.Probe{Sender: benchMember(1).ID, Peer: benchMember(1).Peer, Target: lis.Self().ID}
		incarnation := uint64(4)
		for b.Loop() {
			pro.Updates = pro.Updates[:0]
			for i := range 8 {
				mem := benchMember(1 + (i*7)%(count-1))
				mem.Incarnation = incarnation
				pro.Updates = append(pro.Updates, update.Update{Member: mem, Liveness: "alive"})
			}
			incarnation++
			lis.ProbeReceived(pro)
		}
		reportJSON(b, "probeBytes", pro)
		reportJSON(b, "ackBytes", lis.ProbeReceived(pro))
	})
}

func BenchmarkOpeningExchange(b *testing.B) {
	forSizes(b, func(b *testing.B, lis *membership.List, _ int) {
		exc := exchange.Exchange{Sender: benchMember(1).ID, DataCentre: "dc-01", Digest: 1}
		for b.Loop() {
			lis.ExchangeReceived(exc)
		}
		reportJSON(b, "requestBytes", exc)
		differing := lis.ExchangeReceived(exc)
		reportJSON(b, "digestsBytes", differing)
		other := membership.New(benchMember(1), nil)
		inventories := other.ExchangeReceived(differing)
		reportJSON(b, "updateBytes", lis.ExchangeReceived(inventories))
	})
}

// BenchmarkChangeAndPublish changes the node's own entry and publishes the whole list.
func BenchmarkChangeAndPublish(b *testing.B) {
	forSizes(b, func(b *testing.B, lis *membership.List, _ int) {
		for slots := 0; b.Loop(); slots++ {
			lis.LocalServerChanged(change.Change{Event: change.Serve, Service: "quotes", Slots: slots})
			lis.Tick()
		}
	})
}

func BenchmarkTick(b *testing.B) {
	forSizes(b, func(b *testing.B, lis *membership.List, _ int) {
		for b.Loop() {
			lis.Tick()
		}
	})
}

func BenchmarkStatePerMember(b *testing.B) {
	for _, count := range sizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				lis := fullList(count)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(lis)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "B/member")
		})
	}
}
