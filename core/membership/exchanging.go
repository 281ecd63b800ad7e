package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"flamingoreach/core/membership/digest"
	"flamingoreach/core/membership/exchange"
	"flamingoreach/core/membership/inventory"
	"flamingoreach/core/membership/update"
)

const (
	// exchangeInterval is the least time between two exchanges that repair differences in the data centre, and the time
	// between two exchanges with each other data centre.
	exchangeInterval = time.Second
	// initialSyncInterval is the time between exchanges until the list has once agreed with that of another node. After
	// initialSyncLimit the list counts as synced if any node has answered.
	initialSyncInterval = 500 * time.Millisecond
	initialSyncLimit    = 30 * time.Second
	// settleTime is the time since the last change after which a difference between two lists is due to a lost update, and
	// not to one still on its way.
	settleTime = 2 * time.Second
	// busyInterval is the time between exchanges while updates keep arriving.
	busyInterval = 5 * time.Second
	// silenceLimit is the time without an exchange between two data centres after which both of them start exchanges, and
	// address a random node instead of the leader.
	silenceLimit = 3 * time.Second
	// noPeersLimit is how long a node without seeds waits for other nodes before it counts as synced.
	noPeersLimit = 3 * time.Second
	// exchangeUpdateLimit and inventoryLimit bound the contents of one exchange message.
	exchangeUpdateLimit = 64
	inventoryLimit      = 2
)

// compare records a peer whose digest differs from this list's, for the next exchange.
func (lis *List) compare(digest uint64, peer netip.AddrPort) {
	if digest != lis.digest {
		lis.differingPeer = peer
		return
	}
	lis.differingPeer = netip.AddrPort{}
	lis.synced = true
}

// exchange starts the exchanges that are due inside the data centre: those that repair differences, and those by which
// a new node gets its list.
func (lis *List) exchange(now time.Time) {
	since := now.Sub(lis.lastExchange)
	if !lis.synced {
		lis.initialSync(now, since)
		return
	}
	settled := len(lis.pendingUpdates) == 0 && now.Sub(lis.lastChange) >= settleTime
	if !lis.differingPeer.IsValid() || since < exchangeInterval || !settled && since < busyInterval {
		return
	}
	lis.lastExchange = now
	lis.startExchange(lis.differingPeer)
	lis.differingPeer = netip.AddrPort{}
}

func (lis *List) initialSync(now time.Time, since time.Duration) {
	if since < initialSyncInterval {
		return
	}
	lis.lastExchange = now
	switch {
	case lis.peerAnswered && now.Sub(lis.self.since) >= initialSyncLimit:
		lis.synced = true
	case len(lis.ring) > 0:
		lis.startExchange(lis.ring[lis.Random(len(lis.ring))].member.Peer)
	case len(lis.seeds) > 0:
		lis.startExchange(lis.seeds[lis.Random(len(lis.seeds))])
	case now.Sub(lis.self.since) >= noPeersLimit:
		lis.synced = true
	}
}

// exchangeWithDataCentres starts an exchange with one node of each other data centre. Of two data centres, the one
// whose name sorts first starts the exchanges; the other does so only after silenceLimit.
func (lis *List) exchangeWithDataCentres(now time.Time) {
	if now.Before(lis.nextCrossExchange) || !lis.isActingLeader() {
		return
	}
	lis.nextCrossExchange = now.Add(exchangeInterval)
	own := lis.self.member.DataCentre
	for _, name := range slices.Sorted(maps.Keys(lis.dataCentres)) {
		cen := lis.dataCentres[name]
		if name == own || len(cen.live) == 0 || own > name && now.Sub(cen.lastContact) < silenceLimit {
			continue
		}
		lis.startExchange(lis.exchangePeer(name, cen))
	}
}

// exchangePeer returns the address of another data centre's leader, or that of a random live member if the leader is
// unknown, is not a live member of this list, or no exchange message has arrived from the data centre for silenceLimit.
func (lis *List) exchangePeer(name string, cen *dataCentre) netip.AddrPort {
	if id, known := lis.Leader(name); known && time.Since(cen.lastContact) < silenceLimit {
		if ent, listed := lis.entries[id]; listed && ent.isLive() {
			return ent.member.Peer
		}
	}
	return cen.live[lis.Random(len(cen.live))].member.Peer
}

// isActingLeader reports whether this node acts for its data centre: the live leader does, or else the first live
// member in the order of IDs.
func (lis *List) isActingLeader() bool {
	own := lis.self.member
	if id, known := lis.Leader(own.DataCentre); known {
		if ent, listed := lis.entries[id]; listed && ent.isLive() {
			return id == own.ID
		}
	}
	cen := lis.dataCentre(own.DataCentre)
	return len(cen.live) > 0 && cen.live[0] == lis.self
}

func (lis *List) startExchange(peer netip.AddrPort) {
	lis.openingDigest = lis.digest
	lis.counts.ExchangesSent++
	lis.SendExchange(peer, lis.newExchange())
}

func (lis *List) newExchange() exchange.Exchange {
	own := lis.self.member
	return exchange.Exchange{Sender: own.ID, DataCentre: own.DataCentre, Digest: lis.digest}
}

// ExchangeReceived handles an exchange request and returns the response.
func (lis *List) ExchangeReceived(exc exchange.Exchange) exchange.Exchange {
	lis.begin()
	lis.counts.ExchangesReceived++
	opening := !hasContent(exc)
	reply := lis.respond(exc)
	if opening && exc.Digest != lis.digest {
		reply.Digests = lis.digests()
	}
	return reply
}

// ExchangeAnswered handles an exchange response, and sends a further request if there is anything to add.
func (lis *List) ExchangeAnswered(peer netip.AddrPort, exc exchange.Exchange) {
	lis.begin()
	lis.peerAnswered = true
	next := lis.respond(exc)
	if exc.Digest == lis.digest {
		lis.synced = true
	}
	switch {
	case hasContent(next):
		lis.counts.ExchangesSent++
		lis.SendExchange(peer, next)
	case !lis.synced && lis.digest != lis.openingDigest:
		lis.startExchange(peer)
	}
}

// ExchangeFailed reports that an exchange request got no response.
func (lis *List) ExchangeFailed(netip.AddrPort) {
	lis.begin()
	lis.counts.ExchangesFailed++
}

func hasContent(exc exchange.Exchange) bool {
	return len(exc.Digests)+len(exc.Inventories)+len(exc.Updates)+len(exc.Want) > 0
}

// respond merges an exchange message and returns the reply to it: digests are answered with inventories, and
// inventories with updates.
func (lis *List) respond(exc exchange.Exchange) exchange.Exchange {
	lis.dataCentre(exc.DataCentre).lastContact = time.Now()
	reply := lis.newExchange()
	for _, upd := range exc.Updates {
		if lis.applyUpdate(upd) {
			reply.Updates = append(reply.Updates, lis.entries[upd.Member.ID].updateWithoutSuspicion())
		}
	}
	reply.Updates = append(reply.Updates, lis.wanted(exc.Want)...)
	for _, inv := range exc.Inventories {
		lis.compareInventory(inv, &reply)
	}
	if len(exc.Digests) > 0 {
		reply.Inventories = lis.inventories(exc.Digests)
	}
	reply.Digest = lis.digest
	return reply
}

func (lis *List) digests() []digest.Digest {
	var digests []digest.Digest
	for _, name := range slices.Sorted(maps.Keys(lis.dataCentres)) {
		digests = append(digests, digest.Digest{DataCentre: name, Hash: lis.dataCentres[name].digest})
	}
	return digests
}

// inventories returns the inventories of data centres whose digests differ, at most inventoryLimit: that of this node's
// own data centre first, then others from a random one on, so that each gets its turn.
func (lis *List) inventories(digests []digest.Digest) []inventory.Inventory {
	theirs := map[string]uint64{}
	for name := range lis.dataCentres {
		theirs[name] = 0
	}
	for _, dig := range digests {
		theirs[dig.DataCentre] = dig.Hash
	}
	own := lis.self.member.DataCentre
	names := slices.Sorted(maps.Keys(theirs))
	turn := lis.Random(len(names))
	names = slices.Concat([]string{own}, names[turn:], names[:turn])
	var inventories []inventory.Inventory
	for i, name := range names {
		cen := lis.dataCentre(name)
		if len(inventories) == inventoryLimit || cen.digest == theirs[name] || i > 0 && name == own {
			continue
		}
		inv := inventory.Inventory{DataCentre: name}
		for _, ent := range cen.live {
			inv.Hashes = append(inv.Hashes, ent.hash)
		}
		inventories = append(inventories, inv)
	}
	return inventories
}

// compareInventory adds to the reply the entries that the sender of the inventory lacks, and the hashes of entries that
// only the sender has.
func (lis *List) compareInventory(inv inventory.Inventory, reply *exchange.Exchange) {
	theirs := map[uint64]bool{}
	for _, hash := range inv.Hashes {
		theirs[hash] = true
	}
	for _, ent := range lis.dataCentre(inv.DataCentre).live {
		if !theirs[ent.hash] && len(reply.Updates) < exchangeUpdateLimit {
			reply.Updates = append(reply.Updates, ent.updateWithoutSuspicion())
		}
		theirs[ent.hash] = false
	}
	for _, hash := range inv.Hashes {
		if theirs[hash] && len(reply.Want) < exchangeUpdateLimit {
			reply.Want = append(reply.Want, hash)
		}
	}
}

func (lis *List) wanted(hashes []uint64) []update.Update {
	if len(hashes) == 0 {
		return nil
	}
	want := map[uint64]bool{}
	for _, hash := range hashes[:min(len(hashes), exchangeUpdateLimit)] {
		want[hash] = true
	}
	var found []update.Update
	for _, ent := range lis.live {
		if want[ent.hash] {
			found = append(found, ent.updateWithoutSuspicion())
		}
	}
	return found
}
