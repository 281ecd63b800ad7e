package hostnode

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationfeed/reading"
	"flamingoreach/core/directory"
	"flamingoreach/core/member"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
)

const (
	askVersion = "AskVersion"
	// versionAsksPerBound is the number of other nodes that this node asks for their version within the time in which a
	// new version must be in force. The store may refuse to serve this host, which then depends on the other nodes.
	versionAsksPerBound = 5
	// A node asks other nodes for their version as soon as it has a new one; the request carries the number, so that they
	// ask this node for it. newVersionAsks is the number of random nodes that it asks. If it has the version from the store,
	// it also asks up to spreadWithin nodes of its data centre, most of which do not follow the store.
	newVersionAsks = 2
	spreadWithin   = 24
	// followWait is how long the store delays its answer while the configuration does not change (long polling). It bounds
	// the time for which a node whose answer was lost does not notice that.
	followWait = 6 * time.Second
)

// versionRequest asks a node for a newer version than the sender's. It carries the sender's version and its address, at
// which the receiver can ask for that version in turn.
type versionRequest struct {
	Version uint64         `json:"version" cbor:"1,keyasint"`
	Peer    netip.AddrPort `json:"peer" cbor:"2,keyasint"`
}

// setUpConfiguration connects the configuration feed with the store and the other nodes.
func (nod *Node) setUpConfiguration() {
	nod.feed.Read = func() {
		dispatcher.Start(nod.dispatcher, "configuration.read", storeTimeout, nod.platform.ReadConfiguration, nod.feed.HandleAnswer)
	}
	nod.feed.Follow = func(revision uint64) {
		dispatcher.Start(nod.dispatcher, "configuration.changed", followWait+storeTimeout, func(ctx context.Context) (reading.Reading, error) {
			return nod.platform.FollowConfiguration(ctx, revision, followWait)
		}, nod.feed.HandleAnswer)
	}
	nod.feed.Follows = func() bool { return nod.followers.IncludeSelf(nod.view.Load().Members) }
	nod.feed.Publish = nod.applyConfiguration
	nod.feed.OnUnreachable = func(err error) { nod.log.Warn("store lost", "version", nod.feed.Version(), "error", err) }
	nod.feed.OnReachable = func(after time.Duration) {
		nod.log.Info("store regained", "version", nod.feed.Version(), "after", after)
	}
	nod.control.AddTicker(nod.feed.Tick)
	nod.control.AddTicker(nod.tickVersions)
	peer.Handle(nod.peerServer, askVersion, func(ctx context.Context, req versionRequest) (*configuration.Configuration, error) {
		return dispatcher.OnControl(ctx, nod.dispatcher, "configuration.asked", req, func() *configuration.Configuration { return nod.answerVersion(req) })
	})
}

// applyConfiguration puts a version in force for all calls; it runs on the control thread.
func (nod *Node) applyConfiguration(cfg *configuration.Configuration, source string) {
	dir := directory.New(*cfg, nil)
	nod.shares.Configure(cfg.Accounts)
	nod.splitter.RetainRoutes(cfg.Routes)
	nod.versionAppliedAt.Store(time.Now().UnixNano())
	nod.view.Store(nod.view.Load().WithConfiguration(cfg, dir))
	nod.log.Info("configuration in force", "version", cfg.Version, "source", source, "routes", len(cfg.Routes), "accounts", len(cfg.Accounts))
	nod.spreadVersion(source == "store")
}

// spreadVersion lets other nodes know that this node has a new version.
func (nod *Node) spreadVersion(fromStore bool) {
	for range newVersionAsks {
		nod.askRandomMember()
	}
	if !fromStore {
		return
	}
	members, asked := nod.view.Load().Members, 0
	for _, index := range rand.Perm(len(members)) {
		if mem := members[index]; mem.DataCentre == nod.self.DataCentre && mem.ID != nod.id && asked < spreadWithin {
			nod.askVersionOf(mem.Peer)
			asked++
		}
	}
}

// tickVersions asks one other node for its version at regular intervals.
func (nod *Node) tickVersions() {
	if now := time.Now(); !now.Before(nod.nextVersionAsk) {
		nod.nextVersionAsk = now.Add(nod.bounds.Load().ConfigurationTime / versionAsksPerBound)
		nod.askRandomMember()
	}
}

// askRandomMember asks a random other node for a newer version than this node's. The request carries this node's
// version.
func (nod *Node) askRandomMember() {
	if mem, found := nod.randomOtherMember(); found {
		nod.askVersionOf(mem.Peer)
	}
}

// randomOtherMember returns a random member that is not this node.
func (nod *Node) randomOtherMember() (member.Member, bool) {
	members := nod.view.Load().Members
	if len(members) < 2 {
		return member.Member{}, false
	}
	at := rand.IntN(len(members))
	if members[at].ID == nod.id {
		at = (at + 1) % len(members)
	}
	return members[at], true
}

func (nod *Node) askVersionOf(address netip.AddrPort) {
	req := versionRequest{Version: nod.feed.Version(), Peer: nod.self.Peer}
	dispatcher.Start(nod.dispatcher, "configuration.heard", askTimeout, func(ctx context.Context) (*configuration.Configuration, error) {
		return peer.Ask[versionRequest, *configuration.Configuration](ctx, nod.peerClient, address, askVersion, req)
	}, func(cfg *configuration.Configuration, err error) {
		nod.followers.RecordAsk(err)
		if err == nil && cfg != nil {
			nod.feed.ReceiveVersion(cfg)
		}
	})
}

// answerVersion returns the version in force if it is newer than the sender's, or nil. If it is older, this node asks
// the sender for its version.
func (nod *Node) answerVersion(req versionRequest) *configuration.Configuration {
	own := nod.feed.Version()
	if own > req.Version {
		return nod.feed.Current()
	}
	if own < req.Version {
		nod.askVersionOf(req.Peer)
	}
	return nil
}
