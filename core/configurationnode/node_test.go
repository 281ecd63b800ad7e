package configurationnode_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationleader"
	"flamingoreach/core/configurationnode"
	"flamingoreach/core/configurationstate"
	"flamingoreach/core/datacentre"
	"flamingoreach/core/directory"
	"flamingoreach/core/fence"
	"flamingoreach/core/heartbeat"
	"flamingoreach/core/heartbeatreply"
	"flamingoreach/core/lifecycle"
	"flamingoreach/core/reason"
	"flamingoreach/core/versionid"
	"flamingoreach/core/versionview"
)

func TestALeaseRunsFromTheSendingOfTheHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fen := fence.New()
		nod := configurationnode.New("n", versionview.New(), fen, lifecycle.New())
		var sent []heartbeat.Heartbeat
		nod.SendHeartbeat = func(hea heartbeat.Heartbeat) { sent = append(sent, hea) }
		nod.Tick()
		time.Sleep(2 * time.Second)
		reply := heartbeatreply.HeartbeatReply{Sequence: sent[0].Sequence, OK: true}
		nod.HandleReply(reply)
		require.Equal(t, reason.None, fen.Check())
		time.Sleep(fence.Lease - 2*time.Second)
		require.Equal(t, reason.CutOff, fen.Check())
		nod.HandleReply(reply)
		require.Equal(t, reason.CutOff, fen.Check(), "a duplicate reply does not renew the lease")
	})
}

// leaderOf returns a leader that has read the table, in which the given version is accepted.
func leaderOf(vid versionid.VersionID) *configurationleader.Leader {
	dat := datacentre.DataCentre{Name: "a1", StoreRegion: true}
	lea := configurationleader.New(dat, viewWithBodies())
	lea.Epoch = func() uint64 { return 1 }
	lea.ReadTable = func(number uint64) {
		lea.TableRead(number, configurationstate.State{Current: vid, DataCentres: []datacentre.DataCentre{dat}}, nil)
	}
	lea.Tick()
	return lea
}

func viewWithBodies() *versionview.View {
	vie := versionview.New()
	vie.Fetch = func(vid versionid.VersionID) {
		vie.Fetched(vid, configuration.Configuration{Version: vid.Version, PatchID: vid.PatchID}, nil)
	}
	vie.Publish = func(*directory.Directory) {}
	return vie
}

func TestALeaderThatDoesNotKnowTheVersionGetsTheFullIDBeforeItGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := versionid.VersionID{Version: 1, PatchID: "p", Digest: "d"}
		second := versionid.VersionID{Version: 2, PatchID: "q", Digest: "e"}
		vie, fen := viewWithBodies(), fence.New()
		nod := configurationnode.New("n", vie, fen, lifecycle.New())
		lea := leaderOf(first)
		var sent []heartbeat.Heartbeat
		var granted []bool
		nod.SendHeartbeat = func(hea heartbeat.Heartbeat) {
			rep := lea.ReceiveHeartbeat(hea)
			sent, granted = append(sent, hea), append(granted, rep.OK)
			nod.HandleReply(rep)
		}
		nod.Tick()
		nod.Tick()
		require.Equal(t, first, sent[1].Current, "the node does not know yet that the leader has the version")
		time.Sleep(configurationnode.HeartbeatInterval)
		nod.Tick()
		require.Zero(t, sent[2].Current, "the leader knows the version")
		require.EqualValues(t, 1, sent[2].InForce())
		vie.Learn(second, versionid.VersionID{})
		nod.Tick()
		require.Equal(t, second, sent[3].Current)
		lea = leaderOf(first)
		time.Sleep(configurationnode.HeartbeatInterval)
		nod.Tick()
		nod.Tick()
		require.Zero(t, sent[4].Current)
		require.Equal(t, second, sent[5].Current, "a leader that does not know the number gets the full ID at once")
		require.Equal(t, []bool{true, true, true, false, true}, granted[1:])
	})
}
