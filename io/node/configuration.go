package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"flamingoreach/core/authentication"
	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationleader"
	"flamingoreach/core/configurationnode/configurationtrace"
	"flamingoreach/core/configurationstate"
	"flamingoreach/core/datacentre"
	"flamingoreach/core/directory"
	"flamingoreach/core/heartbeat"
	"flamingoreach/core/heartbeatreply"
	"flamingoreach/core/prepare"
	"flamingoreach/core/prepared"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/core/rowwrite"
	"flamingoreach/core/versionid"
	"flamingoreach/io/configurationbody"
	"flamingoreach/io/configurationfile"
	"flamingoreach/io/configurationtable"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
)

const (
	sendRegionHeartbeat = "SendRegionHeartbeat"
	askPrepare          = "AskPrepare"
	fetchBody           = "FetchBody"
	fenceRetry          = time.Second
)

var errNoBody = errors.New("this node does not hold the version")

// joinConfiguration connects the versions that this node knows with the leader, the peers and the platform.
func (nod *Node) joinConfiguration() {
	nod.configurationTable = &configurationtable.Table{
		Get:  nod.table.Read,
		List: nod.table.List,
		Transact: func(ctx context.Context, writes []rowwrite.Write) error {
			return nod.table.Transact(ctx, uuid.New(), writes)
		},
	}
	nod.versions.Fetch = nod.fetch
	nod.versions.Publish = nod.enforce
	nod.heartbeats = configurationtrace.New(nod.id, nod.versions, nod.fence, nod.life, nod.recorder)
	nod.heartbeats.SendHeartbeat = nod.sendHeartbeat
	nod.heartbeats.RecordEffects()
	nod.control.AddTicker(nod.heartbeats.Tick)
	nod.joinConfigurationLeader()
	peer.Handle(nod.peerServer, sendRegionHeartbeat, func(ctx context.Context, hea heartbeat.Heartbeat) (heartbeatreply.HeartbeatReply, error) {
		return dispatcher.OnControl(ctx, nod.dispatcher, "configuration.regionHeartbeat", hea, func() heartbeatreply.HeartbeatReply {
			return nod.configurationLeader.ReceiveRegionHeartbeat(hea)
		})
	})
	peer.Handle(nod.peerServer, askPrepare, func(ctx context.Context, msg prepare.Prepare) (prepared.Prepared, error) {
		return dispatcher.OnControl(ctx, nod.dispatcher, "configuration.prepare", msg, func() prepared.Prepared {
			return nod.configurationLeader.ReceivePrepare(msg)
		})
	})
	peer.Handle(nod.peerServer, fetchBody, nod.answerFetch)
}

func (nod *Node) joinConfigurationLeader() {
	dat := datacentre.DataCentre{
		Name: nod.self.DataCentre, Region: nod.self.Region,
		StoreRegion: nod.self.Region == nod.settings.Fleet.StoreRegion,
	}
	lea := configurationleader.New(dat, nod.versions)
	nod.configurationLeader = lea
	lea.Term = func() uint64 {
		if own, _ := nod.lease.Own(); nod.lease.Leads(time.Now()) {
			return own.Epoch
		}
		return 0
	}
	lea.ReadTable = func(reading uint64) {
		dispatcher.Start(nod.dispatcher, "configuration.tableRead", storeTimeout, func(ctx context.Context) (configurationstate.State, error) {
			return nod.configurationTable.Read(ctx, "")
		}, func(sta configurationstate.State, err error) { lea.TableRead(reading, sta, err) })
	}
	lea.Join = func(dat datacentre.DataCentre) {
		nod.startWrite("configuration.joined", func(ctx context.Context) error { return nod.configurationTable.SetDataCentre(ctx, dat) })
	}
	lea.Abort = func(vid versionid.VersionID) {
		nod.startWrite("configuration.aborted", func(ctx context.Context) error { return nod.configurationTable.Abort(ctx, vid) })
	}
	lea.SendRegionHeartbeat = nod.sendRegionHeartbeats
	nod.control.AddTicker(lea.Tick)
}

// startWrite runs a write whose result is seen in a later reading.
func (nod *Node) startWrite(name string, write func(ctx context.Context) error) {
	dispatcher.Start(nod.dispatcher, name, storeTimeout, func(ctx context.Context) (struct{}, error) { return struct{}{}, write(ctx) }, func(struct{}, error) {})
}

// sendRegionHeartbeats asks the leaders of the store's region whether this data centre may go on.
func (nod *Node) sendRegionHeartbeats(hea heartbeat.Heartbeat) {
	for name, region := range nod.settings.Fleet.DataCentres {
		if region != nod.settings.Fleet.StoreRegion {
			continue
		}
		address := nod.leaderAddress(name)
		dispatcher.Start(nod.dispatcher, "configuration.regionReply", askTimeout, func(ctx context.Context) (heartbeatreply.HeartbeatReply, error) {
			return peer.Ask[heartbeat.Heartbeat, heartbeatreply.HeartbeatReply](ctx, nod.peerClient, address, sendRegionHeartbeat, hea)
		}, func(rep heartbeatreply.HeartbeatReply, err error) {
			if err == nil {
				nod.configurationLeader.HandleRegionReply(rep)
			}
		})
	}
}

// fetch reads the body of a version from the leader, or else from the object store.
func (nod *Node) fetch(vid versionid.VersionID) {
	address := nod.leaderAddress(nod.self.DataCentre)
	dispatcher.Start(nod.dispatcher, "configuration.fetched", storeTimeout, func(ctx context.Context) (configuration.Configuration, error) {
		if address != nod.self.Peer {
			asked, cancel := context.WithTimeout(ctx, askTimeout)
			short, err := peer.Ask[versionid.VersionID, []byte](asked, nod.peerClient, address, fetchBody, vid)
			cancel()
			if err == nil {
				text, err := configurationbody.Decompress(short, objectBytes)
				if err != nil {
					return configuration.Configuration{}, err
				}
				return decodeBody(vid, text)
			}
		}
		text, err := nod.objects.Get(ctx, vid.ObjectName())
		if err != nil {
			return configuration.Configuration{}, err
		}
		return decodeBody(vid, text)
	}, func(body configuration.Configuration, err error) { nod.heartbeats.Fetched(vid, body, err) })
}

// decodeBody checks that a text is the version that was asked for.
func decodeBody(vid versionid.VersionID, text []byte) (configuration.Configuration, error) {
	if bodyDigest(text) != vid.Digest {
		return configuration.Configuration{}, eris.Errorf("version %d: body has another digest", vid.Version)
	}
	cfg, err := configurationfile.Decode(vid.ObjectName(), text)
	cfg.Version = vid.Version
	cfg.PatchID = vid.PatchID
	return cfg, err
}

func bodyDigest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

func (nod *Node) answerFetch(ctx context.Context, vid versionid.VersionID) ([]byte, error) {
	body, err := dispatcher.OnControl(ctx, nod.dispatcher, "configuration.bodyAsked", vid, func() *configuration.Configuration {
		if cfg, held := nod.versions.Body(vid); held {
			return &cfg
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if body == nil {
		return nil, errNoBody
	}
	return nod.sharedBody.Compressed(vid, func() ([]byte, error) { return encodeBody(*body) })
}

// encodeBody returns the canonical text of a version, without the number and the patch that made it.
func encodeBody(cfg configuration.Configuration) ([]byte, error) {
	cfg.Version = 0
	cfg.PatchID = ""
	return configurationfile.Encode(cfg)
}

// enforce puts what the versions say in force for traffic; it runs on the control thread.
func (nod *Node) enforce(dir *directory.Directory) {
	cfg := nod.versions.Configuration()
	nod.view.Store(nod.view.Load().WithConfiguration(&cfg, dir))
	nod.gate.Configure(nod.gatePolicy(nod.server.Latest().Slots))
	nod.setParts()
	nod.logs.Control.Info("configuration in force", "version", dir.Version(), "prepared", dir.Prepared())
}

// checkFence refuses while this node may have missed a configuration.
func (nod *Node) checkFence() *refusal.Refusal {
	why := nod.fence.Check()
	if why == reason.None {
		return nil
	}
	ref := refusal.NotRun(why, "check contact with the data centre")
	ref.RetryAfter = fenceRetry
	ref.Elsewhere = true
	return ref
}

// authenticate finds the account of the key that a caller shows.
func (nod *Node) authenticate(credential string) (clientaccount.ClientAccount, string, *refusal.Refusal) {
	aut, ref := authentication.Check(nod.view.Load().Directory, credential)
	return aut.Account, aut.KeyID, ref
}
