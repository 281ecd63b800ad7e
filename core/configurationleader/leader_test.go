package configurationleader_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationleader"
	"flamingoreach/core/configurationstate"
	"flamingoreach/core/datacentre"
	"flamingoreach/core/directory"
	"flamingoreach/core/heartbeat"
	"flamingoreach/core/versionid"
	"flamingoreach/core/versionview"
)

func TestANewTermGrantsNothingBeforeItsOwnTableReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := versionid.VersionID{Version: 1, PatchID: "p"}
		vie := versionview.New()
		vie.Fetch = func(vid versionid.VersionID) {
			vie.Fetched(vid, configuration.Configuration{Version: vid.Version, PatchID: vid.PatchID}, nil)
		}
		vie.Publish = func(*directory.Directory) {}
		dat := datacentre.DataCentre{Name: "a1", StoreRegion: true}
		lea := configurationleader.New(dat, vie)
		epoch, reads, joined := uint64(1), []uint64{}, 0
		lea.Epoch = func() uint64 { return epoch }
		lea.ReadTable = func(number uint64) { reads = append(reads, number) }
		lea.Join = func(datacentre.DataCentre) { joined++ }
		granted := func() bool { return lea.ReceiveHeartbeat(heartbeat.Heartbeat{From: "n", Current: first}).OK }
		sta := configurationstate.State{Current: first}
		lea.Tick()
		require.False(t, granted())
		lea.TableRead(reads[0], sta, nil)
		require.Equal(t, 1, joined)
		require.False(t, granted(), "the data centre is not listed")
		time.Sleep(time.Second)
		lea.Tick()
		sta.DataCentres = []datacentre.DataCentre{dat}
		lea.TableRead(reads[1], sta, nil)
		require.True(t, granted())
		time.Sleep(3 * time.Second)
		lea.Tick()
		epoch = 2
		require.False(t, granted())
		lea.TableRead(reads[2], sta, nil)
		require.False(t, granted(), "the read was started in the earlier epoch")
		lea.Tick()
		lea.TableRead(reads[3], sta, nil)
		require.True(t, granted())
		epoch = 0
		require.False(t, granted())
	})
}

// BenchmarkHeartbeat measures a leader's work for one heartbeat, and the bytes of both messages as JSON. The 214 nodes
// are those of one data centre at the planned size of 6,000 nodes in 28 data centres.
func BenchmarkHeartbeat(b *testing.B) {
	vid := versionid.VersionID{Version: 123456, PatchID: strings.Repeat("u", 36), Digest: strings.Repeat("d", 64)}
	vie := versionview.New()
	vie.Fetch = func(vid versionid.VersionID) {
		vie.Fetched(vid, configuration.Configuration{Version: vid.Version, PatchID: vid.PatchID}, nil)
	}
	vie.Publish = func(*directory.Directory) {}
	dat := datacentre.DataCentre{Name: "a1"}
	lea := configurationleader.New(dat, vie)
	lea.Epoch = func() uint64 { return 1 }
	readNumber := uint64(0)
	lea.ReadTable = func(number uint64) { readNumber = number }
	lea.SendRegionHeartbeat = func(heartbeat.Heartbeat) {}
	lea.Tick()
	lea.TableRead(readNumber, configurationstate.State{Current: vid, DataCentres: []datacentre.DataCentre{dat}}, nil)
	var heartbeats []heartbeat.Heartbeat
	for index := range 214 {
		heartbeats = append(heartbeats, heartbeat.Heartbeat{From: fmt.Sprintf("%036d", index), Sequence: 123456, Current: vid})
	}
	request, _ := json.Marshal(heartbeats[0])
	reply, _ := json.Marshal(lea.ReceiveHeartbeat(heartbeats[0]))
	b.ReportAllocs()
	index := 0
	for b.Loop() {
		if !lea.ReceiveHeartbeat(heartbeats[index%len(heartbeats)]).OK {
			b.Fatal("not granted")
		}
		index++
	}
	b.ReportMetric(float64(len(request)+len(reply)), "bytes/heartbeat")
}
