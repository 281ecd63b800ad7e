package hostnode

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"flamingoreach/core/crash/record"
	"flamingoreach/core/member"
	"flamingoreach/core/membership"
	"flamingoreach/core/membership/memberrow"
	"flamingoreach/io/crashlink"
	"flamingoreach/io/memberlink"
)

const (
	// hostRetention is how long a host still counts in the division of the rates after it was last seen in the
	// membership list. It is longer than network partitions usually last, because a host behind a partition may keep
	// serving.
	hostRetention = 30 * time.Second
	// aloneTimeout is how long a node that cannot read the members' rows takes it that there are other hosts, which may hold
	// the rates of accounts.
	aloneTimeout = 30 * time.Second
	// syncTimeout is how long a node waits for the membership of the fleet before it accepts calls without it.
	syncTimeout = 3 * time.Second
)

// setUpMembers connects the membership list with other nodes and with the rows in the platform's store. It also connects
// the gate with the other nodes of the service, so that they tell each other which calls were running when a backend
// server crashed.
func (nod *Node) setUpMembers() {
	nod.members = membership.New(nod.self, nil)
	nod.members.Publish = nod.publishMembers
	nod.memberLink = &memberlink.Link{
		List: nod.members, Dispatcher: nod.dispatcher, Client: nod.peerClient, Server: nod.peerServer,
		ReadRows: func(ctx context.Context) ([]memberrow.Row, error) {
			return nod.platform.ReadMembers(ctx, func(key string, err error) {
				nod.log.Warn("member row ignored", "key", key, "error", err)
			})
		},
		WriteRow: nod.platform.WriteMember, DeleteRow: nod.platform.DeleteMember,
		AskTimeout: askTimeout, StoreTimeout: storeTimeout,
	}
	nod.memberLink.Register()
	nod.crashLink = &crashlink.Link{
		Dispatcher: nod.dispatcher, Client: nod.peerClient, Server: nod.peerServer, Gate: nod.gate, AskTimeout: askTimeout,
		Peers: func() []member.Member { return nod.view.Load().Peers(nod.settings.Service) },
		OnSendFailed: func(peer netip.AddrPort, err error) {
			nod.gateLog.Write("crash not spread", "peer", peer, "error", err)
		},
		Table: &crashlink.Table{
			Read: func(ctx context.Context) ([]record.Record, error) {
				return nod.platform.ReadCrashRecords(ctx, nod.settings.Service, func(key string, err error) {
					nod.log.Warn("crash record ignored", "key", key, "error", err)
				})
			},
			Write: func(ctx context.Context, records []record.Record) error {
				return nod.platform.WriteCrashRecords(ctx, nod.settings.Service, records)
			},
			Timeout:  storeTimeout,
			OnFailed: func(err error) { nod.gateLog.Write("crash records not kept", "error", err) },
		},
	}
	nod.crashLink.Register()
	nod.control.AddTicker(nod.tickMembers)
}

// publishMembers publishes a changed membership list to the goroutines that handle calls; it runs on the control
// thread.
func (nod *Node) publishMembers(members []member.Member) {
	live := make(map[string]bool, len(members))
	for _, mem := range members {
		live[mem.ID] = true
	}
	vie := nod.view.Load()
	for _, mem := range vie.Members {
		if !live[mem.ID] {
			nod.picker.Forget(mem.ID)
			nod.log.Info("member gone", "id", mem.ID, "peer", mem.Peer, "service", mem.Service, "incarnation", mem.Incarnation)
		}
	}
	nod.logMemberChanges(vie.Members, members)
	inRegion := 0
	for _, mem := range members {
		if mem.Region == nod.self.Region {
			inRegion++
		}
	}
	nod.picker.SetCallers(inRegion)
	nod.linkBudget.SetLink(float64(nod.settings.LinkBytes), inRegion)
	nod.view.Store(vie.WithMembers(nod.members.Self(), members))
}

// logMemberChanges writes a log line for each member that is new or has changed its state.
func (nod *Node) logMemberChanges(former, members []member.Member) {
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

// tickMembers updates the set of hosts among which the rates and the retry budget are divided. It does nothing until
// the membership list is synced or syncTimeout has passed, and divides nothing until other hosts can be known.
func (nod *Node) tickMembers() {
	now := time.Now()
	if !nod.synced.Load() {
		if !nod.members.Synced() && now.Sub(nod.started) < syncTimeout {
			return
		}
		nod.synced.Store(true)
		nod.log.Info("members known", "members", len(nod.view.Load().Members), "after", now.Sub(nod.started))
		nod.reportRestrictions()
	}
	members := nod.view.Load().Members
	for _, mem := range members {
		nod.hostsSeenAt[mem.Peer] = now
	}
	nod.hostsSeenAt[nod.self.Peer] = now
	for address, seenAt := range nod.hostsSeenAt {
		if now.Sub(seenAt) > hostRetention {
			delete(nod.hostsSeenAt, address)
		}
	}
	// A node that has not been able to look for other hosts would take itself for the only holder of each account's rate.
	if !nod.memberLink.Joined() && len(members) < 2 && now.Sub(nod.started) < aloneTimeout {
		return
	}
	nod.shares.SetHosts(slices.SortedFunc(maps.Keys(nod.hostsSeenAt), netip.AddrPort.Compare))
	nod.retryBudget.SetHosts(len(nod.hostsSeenAt))
}
