package hostnode

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationfeed/reading"
	"flamingoreach/core/directory"
	"flamingoreach/core/evacuation"
	"flamingoreach/core/followers/confirmation"
	"flamingoreach/core/member"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
)

const (
	askVersion = "AskConfirmedVersion"
	// askBareVersion is the message by which nodes of the former release ask for a version. Its answer has no confirmation.
	askBareVersion = "AskVersion"
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
	followWait = 4 * time.Second
)

// versionRequest asks a node for a newer version than the sender's. It carries the sender's version, its address, at which
// the receiver can ask for that version in turn, the latest confirmation that the sender knows of, and the evacuations that
// it knows. These are short, so that the receiver need not ask for them.
type versionRequest struct {
	Version      uint64                    `json:"version" cbor:"1,keyasint"`
	Peer         netip.AddrPort            `json:"peer" cbor:"2,keyasint"`
	Confirmation confirmation.Confirmation `json:"confirmation" cbor:"3,keyasint"`
	Evacuation   *evacuation.Evacuation    `json:"evacuation,omitempty" cbor:"4,keyasint,omitempty"`
	// StoreEra is the latest era of the store that the sender knows of. Most nodes seldom call the store and learn it here.
	StoreEra uint64 `json:"storeEra,omitempty" cbor:"8,keyasint,omitempty"`
}

// versionAnswer holds the version in force, or nil if it is not newer than that of the request, the latest confirmation
// that the answering node knows of, and its evacuations, or nil if they are not newer than those of the request.
type versionAnswer struct {
	Configuration *configuration.Configuration `json:"configuration,omitempty" cbor:"1,keyasint,omitempty"`
	Confirmation  confirmation.Confirmation    `json:"confirmation" cbor:"2,keyasint"`
	Evacuation    *evacuation.Evacuation       `json:"evacuation,omitempty" cbor:"3,keyasint,omitempty"`
	// StoreEra is the latest era of the store that the answering node knows of.
	StoreEra uint64 `json:"storeEra,omitempty" cbor:"8,keyasint,omitempty"`
}

// setUpConfiguration connects the configuration feed with the store and the other nodes.
func (nod *Node) setUpConfiguration() {
	nod.feed.Read = func() {
		dispatcher.Start(nod.dispatcher, "configuration.read", storeTimeout, nod.platform.ReadConfiguration, nod.feed.AnswerHandler())
	}
	nod.feed.Check = func(revision uint64) {
		dispatcher.Start(nod.dispatcher, "configuration.checked", storeTimeout, func(ctx context.Context) (reading.Reading, error) {
			return nod.platform.FollowConfiguration(ctx, revision, 0)
		}, nod.feed.AnswerHandler())
	}
	nod.feed.LongestWait = followWait
	nod.feed.Follow = func(revision uint64) {
		dispatcher.Start(nod.dispatcher, "configuration.changed", followWait+storeTimeout, func(ctx context.Context) (reading.Reading, error) {
			return nod.platform.FollowConfiguration(ctx, revision, followWait)
		}, nod.feed.AnswerHandler())
	}
	nod.feed.Follows = func() bool { return nod.followers.IncludeSelf(nod.view.Load().Members) }
	nod.followers.OnStandIn = func(standsIn bool, since time.Duration) {
		nod.log.Info("following for others", "follows", standsIn, "lastConfirmed", since, "version", nod.feed.Version())
	}
	nod.feed.Publish = nod.applyConfiguration
	nod.feed.OnUnreachable = func(err error) { nod.log.Warn("store lost", "version", nod.feed.Version(), "error", err) }
	nod.feed.OnReachable = func(after time.Duration) {
		nod.log.Info("store regained", "version", nod.feed.Version(), "after", after)
	}
	nod.control.AddTicker(nod.feed.Tick)
	nod.control.AddTicker(nod.tickVersions)
	peer.Handle(nod.peerServer, askVersion, func(ctx context.Context, req versionRequest) (versionAnswer, error) {
		return dispatcher.OnControl(ctx, nod.dispatcher, "configuration.asked", req, func() versionAnswer { return nod.answerVersion(req) })
	})
	peer.Handle(nod.peerServer, askBareVersion, func(ctx context.Context, req versionRequest) (*configuration.Configuration, error) {
		ans, err := dispatcher.OnControl(ctx, nod.dispatcher, "configuration.asked", req, func() versionAnswer { return nod.answerVersion(req) })
		return ans.Configuration, err
	})
}

// applyConfiguration puts a version in force for all calls; it runs on the control thread.
func (nod *Node) applyConfiguration(cfg *configuration.Configuration, source string) {
	dir := directory.New(*cfg, nil)
	nod.shares.Configure(cfg.Accounts)
	nod.splitter.RetainRoutes(cfg.Routes)
	nod.versionAppliedAt.Store(time.Now().UnixNano())
	nod.view.Store(nod.view.Load().WithConfiguration(cfg, dir))
	nod.configurePace()
	nod.log.Info("configuration in force", "version", cfg.Version, "source", source, "routes", len(cfg.Routes), "accounts", len(cfg.Accounts))
	nod.reportRestrictions()
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
		nod.nextVersionAsk = now.Add(nod.exchangeInterval())
		nod.versionConfirmedAt.Store(now.Add(-nod.confirmation().Age).UnixNano())
		nod.askRandomMember()
	}
}

// askInterval is the time between two requests to other nodes for their version.
func (nod *Node) askInterval() time.Duration {
	return nod.bounds.Load().ConfigurationTime / versionAsksPerBound
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
	asked := time.Now()
	req := versionRequest{
		Version: nod.feed.Version(), Peer: nod.self.Peer, Confirmation: nod.confirmation(), Evacuation: nod.knownEvacuation(),
		StoreEra: nod.storeEra.Current(),
	}
	dispatcher.Start(nod.dispatcher, "configuration.heard", askTimeout, func(ctx context.Context) (versionAnswer, error) {
		return peer.Ask[versionRequest, versionAnswer](ctx, nod.peerClient, address, askVersion, req)
	}, func(ans versionAnswer, err error) {
		nod.followers.RecordAsk(err)
		if err != nil {
			return
		}
		nod.hearStoreEra(ans.StoreEra)
		nod.receiveEvacuation(ans.Evacuation)
		if ans.Configuration != nil {
			nod.feed.ReceiveVersion(ans.Configuration)
		}
		nod.followers.RecordConfirmation(asked, ans.Confirmation)
	})
}

// answerVersion returns the version in force if it is newer than the sender's. If it is older, this node asks the sender
// for its version. Until it has that, the sender's confirmation says nothing about its own version.
func (nod *Node) answerVersion(req versionRequest) versionAnswer {
	nod.hearStoreEra(req.StoreEra)
	nod.receiveEvacuation(req.Evacuation)
	own := nod.feed.Version()
	if own < req.Version {
		nod.askVersionOf(req.Peer)
	} else {
		nod.followers.RecordConfirmation(time.Now(), req.Confirmation)
	}
	ans := versionAnswer{Confirmation: nod.confirmation(), StoreEra: nod.storeEra.Current()}
	if own > req.Version {
		ans.Configuration = nod.feed.Current()
	}
	if eva := nod.knownEvacuation(); eva != nil && (req.Evacuation == nil || req.Evacuation.Position.Before(eva.Position)) {
		ans.Evacuation = eva
	}
	return ans
}

// confirmation returns the latest confirmation by the store that this node knows of.
func (nod *Node) confirmation() confirmation.Confirmation {
	return nod.followers.Confirmation(nod.feed.ConfirmedAt())
}
