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
	"flamingoreach/io/peer"
	"flamingoreach/io/work"
)

const (
	askVersion = "AskVersion"
	// versionAsks is the number of other nodes that are asked for their version within the bound in which one must be in
	// force, as the store may turn this host away.
	versionAsks = 5
	// pushes is the number of nodes that hear at once of a version that came from the store.
	pushes = 2
	// followWait is how long the store holds back its answer while nothing changes.
	followWait = 20 * time.Second
)

// versionAsk tells the version that a node has and where it can be asked itself.
type versionAsk struct {
	Version uint64         `json:"version" cbor:"1,keyasint"`
	Peer    netip.AddrPort `json:"peer" cbor:"2,keyasint"`
}

// joinConfiguration connects the configuration in force with the store and the other nodes.
func (nod *Node) joinConfiguration() {
	nod.feed.Read = func() {
		work.Start(nod.work, "configuration.read", storeTimeout, nod.platform.ReadConfiguration, nod.feed.Answered)
	}
	nod.feed.Follow = func(revision uint64) {
		work.Start(nod.work, "configuration.changed", followWait+storeTimeout, func(ctx context.Context) (reading.Reading, error) {
			return nod.platform.FollowConfiguration(ctx, revision, followWait)
		}, nod.feed.Answered)
	}
	nod.feed.Publish = nod.enforce
	nod.feed.Lost = func(err error) { nod.log.Warn("store lost", "version", nod.feed.Version(), "error", err) }
	nod.feed.Regained = func(after time.Duration) {
		nod.log.Info("store regained", "version", nod.feed.Version(), "after", after)
	}
	nod.control.AddTicker(nod.feed.Tick)
	nod.control.AddTicker(nod.tickVersions)
	peer.Answer(nod.peerServer, askVersion, func(ctx context.Context, ask versionAsk) (*configuration.Configuration, error) {
		return work.OnControl(ctx, nod.work, "configuration.asked", ask, func() *configuration.Configuration { return nod.answerVersion(ask) })
	})
}

// enforce puts a version in force for traffic; it runs on the control thread.
func (nod *Node) enforce(cfg *configuration.Configuration, source string) {
	dir := directory.New(*cfg, nil)
	nod.shares.Configure(cfg.Accounts)
	nod.splitter.RetainRoutes(cfg.Routes)
	nod.versionAt.Store(time.Now().UnixNano())
	nod.view.Store(nod.view.Load().WithConfiguration(cfg, dir))
	nod.log.Info("configuration in force", "version", cfg.Version, "source", source, "routes", len(cfg.Routes), "accounts", len(cfg.Accounts))
	if source == "store" {
		for range pushes {
			nod.askAny()
		}
	}
}

// tickVersions asks one other node for its version from time to time.
func (nod *Node) tickVersions() {
	if now := time.Now(); !now.Before(nod.versionsDue) {
		nod.versionsDue = now.Add(nod.bounds.Load().ConfigurationTime / versionAsks)
		nod.askAny()
	}
}

// askAny asks a random node for a newer version than the own, which tells it the own one.
func (nod *Node) askAny() {
	if mem, found := nod.anyOther(); found {
		nod.askVersionOf(mem.Peer)
	}
}

// anyOther returns a random member that is not this node.
func (nod *Node) anyOther() (member.Member, bool) {
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
	ask := versionAsk{Version: nod.feed.Version(), Peer: nod.self.Peer}
	work.Start(nod.work, "configuration.heard", askTimeout, func(ctx context.Context) (*configuration.Configuration, error) {
		return peer.Ask[versionAsk, *configuration.Configuration](ctx, nod.peerClient, address, askVersion, ask)
	}, func(cfg *configuration.Configuration, err error) {
		if err == nil && cfg != nil {
			nod.feed.Heard(cfg)
		}
	})
}

// answerVersion returns the version in force if it is newer than the asking node's, and asks back if it is older.
func (nod *Node) answerVersion(ask versionAsk) *configuration.Configuration {
	own := nod.feed.Version()
	if own > ask.Version {
		return nod.feed.Current()
	}
	if own < ask.Version {
		nod.askVersionOf(ask.Peer)
	}
	return nil
}
