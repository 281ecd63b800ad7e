package hostnode

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"flamingoreach/core/member"
	"flamingoreach/core/membership"
	"flamingoreach/core/membership/memberrow"
	"flamingoreach/io/crashlink"
	"flamingoreach/io/memberlink"
)

const (
	// hostKeepTime is how long a host that is not heard of keeps its part of the rates: longer than cuts last, as it may
	// go on serving behind one.
	hostKeepTime = 30 * time.Second
	// syncPatience is how long a node waits for other nodes before it takes work without them.
	syncPatience = 3 * time.Second
)

// joinMembers connects the membership list with peers and the platform's rows.
func (nod *Node) joinMembers() {
	nod.members = membership.New(nod.self, nil)
	nod.members.Publish = nod.publishMembers
	link := &memberlink.Link{
		List: nod.members, Work: nod.work, Client: nod.peerClient, Server: nod.peerServer,
		ReadRows: func(ctx context.Context) ([]memberrow.Row, error) {
			return nod.platform.ReadMembers(ctx, func(key string, err error) {
				nod.log.Warn("member's row not used", "key", key, "error", err)
			})
		},
		WriteRow: nod.platform.WriteMember, DeleteRow: nod.platform.DeleteMember,
		AskTime: askTimeout, StoreTime: storeTimeout,
	}
	link.Join()
	nod.crashes = &crashlink.Link{
		Work: nod.work, Client: nod.peerClient, Server: nod.peerServer, Gate: nod.gate, AskTime: askTimeout,
		Peers: func() []netip.AddrPort { return nod.view.Load().Peers(nod.settings.Service) },
	}
	nod.crashes.Join()
	nod.control.AddTicker(nod.tickMembers)
}

// publishMembers makes a changed list visible to traffic; it runs on the control thread.
func (nod *Node) publishMembers(members []member.Member) {
	live := make(map[string]bool, len(members))
	for _, mem := range members {
		live[mem.ID] = true
	}
	now := nod.view.Load()
	for _, mem := range now.Members {
		if !live[mem.ID] {
			nod.picker.Forget(mem.ID)
			nod.log.Info("member gone", "id", mem.ID, "peer", mem.Peer, "service", mem.Service, "incarnation", mem.Incarnation)
		}
	}
	nod.logNews(now.Members, members)
	inRegion := 0
	for _, mem := range members {
		if mem.Region == nod.self.Region {
			inRegion++
		}
	}
	nod.link.SetLink(float64(nod.settings.LinkBytes), inRegion)
	nod.view.Store(now.WithMembers(nod.members.Self(), members))
}

// logNews writes a line for each member that is new or changed its state.
func (nod *Node) logNews(former, members []member.Member) {
	states := make(map[string]string, len(former))
	for _, mem := range former {
		states[mem.ID] = mem.State
	}
	for _, mem := range members {
		if states[mem.ID] != mem.State {
			nod.log.Info("member", "id", mem.ID, "peer", mem.Peer, "service", mem.Service, "state", mem.State,
				"incarnation", mem.Incarnation)
		}
	}
}

// tickMembers counts the hosts among which the fleet's bounds are divided, once other nodes were found.
func (nod *Node) tickMembers() {
	now := time.Now()
	if !nod.synced.Load() {
		if !nod.members.Synced() && now.Sub(nod.started) < syncPatience {
			return
		}
		nod.synced.Store(true)
		nod.log.Info("members known", "members", len(nod.view.Load().Members), "after", now.Sub(nod.started))
	}
	for _, mem := range nod.view.Load().Members {
		nod.hosts[mem.Peer] = now
	}
	nod.hosts[nod.self.Peer] = now
	for address, heard := range nod.hosts {
		if now.Sub(heard) > hostKeepTime {
			delete(nod.hosts, address)
		}
	}
	nod.shares.SetHosts(slices.SortedFunc(maps.Keys(nod.hosts), netip.AddrPort.Compare))
	nod.repeats.SetHosts(len(nod.hosts))
}
