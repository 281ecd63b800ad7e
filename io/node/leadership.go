package node

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"flamingoreach/core/grantledger"
	"flamingoreach/core/leader"
	"flamingoreach/core/lease/leasetrace"
	"flamingoreach/core/row"
	"flamingoreach/core/rowwrite"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
)

const (
	announceLeader = "AnnounceLeader"
	passLeadership = "PassLeadership"
	// The time for one request to the platform.
	storeTimeout     = 2 * time.Second
	announceInterval = 10 * time.Second
)

func leaderKey(dataCentre string) string { return "leader/" + dataCentre }

// joinLeadership connects the lease of the data centre's leadership with the table and the members.
func (nod *Node) joinLeadership() {
	nod.lease = leasetrace.New(nod.id, nod.self.Peer, nod.recorder)
	nod.lease.Members = nod.dataCentreMembers
	nod.lease.Read = func(ticket uint64) {
		dispatcher.Start(nod.dispatcher, "lease.rowRead", storeTimeout, nod.readLeader(nod.self.DataCentre), func(rea leaderRow, err error) {
			if err != nil {
				nod.lease.ReadFailed(ticket)
				return
			}
			nod.lease.RowRead(ticket, rea.Revision, rea.Leader)
		})
	}
	nod.lease.Write = func(ticket, expected uint64, value leader.Leader) {
		dispatcher.Start(nod.dispatcher, "lease.written", storeTimeout, nod.writeRow(leaderKey(nod.self.DataCentre), expected, value, nil), func(revision uint64, err error) {
			switch {
			case err == nil:
				nod.lease.Written(ticket, revision)
			case errors.Is(err, row.ErrConflict):
				nod.lease.Conflicted(ticket)
			default:
				nod.lease.Unknown(ticket)
			}
		})
	}
	nod.lease.Announce = nod.lead
	nod.lease.OnLost = nod.stopLeading
	nod.lease.OnHandOver = nod.handedOver
	nod.lease.RecordEffects()
	nod.control.AddTicker(nod.lease.Tick)
	peer.Handle(nod.peerServer, passLeadership, func(ctx context.Context, led grantledger.GrantLedger) (struct{}, error) {
		nod.dispatcher.Post(ctx, "leadership.received", led, func() { nod.receiveLeadership(led) })
		return struct{}{}, nil
	})
	peer.Handle(nod.peerServer, announceLeader, func(context.Context, struct{}) (struct{}, error) { return struct{}{}, nil })
}

// leaderRow is a row "leader/DATACENTRE" as it was read; revision 0 says that there is none.
type leaderRow struct {
	Leader   leader.Leader `json:"leader"`
	Revision uint64        `json:"revision"`
}

func (nod *Node) readLeader(dataCentre string) func(ctx context.Context) (leaderRow, error) {
	return func(ctx context.Context) (leaderRow, error) {
		var rea leaderRow
		revision, err := nod.readRow(ctx, leaderKey(dataCentre), &rea.Leader)
		rea.Revision = revision
		return rea, err
	}
}

// readRow decodes a row and returns its revision; a row that does not exist has revision 0 and leaves the value.
func (nod *Node) readRow(ctx context.Context, key string, value any) (uint64, error) {
	rea, err := nod.table.Read(ctx, key)
	if errors.Is(err, row.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return rea.Revision, eris.Wrapf(json.Unmarshal(rea.Value, value), "decode row %s", key)
}

// writeRow writes a row over the expected revision, with more conditions, and returns the new revision.
func (nod *Node) writeRow(key string, expected uint64, value any, checks []rowwrite.Write) func(ctx context.Context) (uint64, error) {
	return func(ctx context.Context) (uint64, error) {
		text, err := json.Marshal(value)
		if err != nil {
			return 0, eris.Wrapf(err, "encode row %s", key)
		}
		writes := append([]rowwrite.Write{{Key: key, Expected: expected, Value: text}}, checks...)
		return expected + 1, nod.table.Transact(ctx, uuid.New(), writes)
	}
}

// dataCentreMembers returns the IDs of the own data centre's members that are registered in the table or live.
func (nod *Node) dataCentreMembers() []string {
	ids := slices.Clone(nod.registered)
	for _, mem := range nod.view.Load().Members {
		if mem.DataCentre == nod.self.DataCentre && !slices.Contains(ids, mem.ID) {
			ids = append(ids, mem.ID)
		}
	}
	if !slices.Contains(ids, nod.id) {
		ids = append(ids, nod.id)
	}
	return ids
}

// knownLeaders returns the leaders by data centre as this node last heard of them.
func (nod *Node) knownLeaders() map[string]leader.Leader { return *nod.leaders.Load() }

// ownLeader is told to peers with every control message.
func (nod *Node) ownLeader() (dataCentre string, lead leader.Leader, own bool) {
	lead = nod.knownLeaders()[nod.self.DataCentre]
	return nod.self.DataCentre, lead, lead.Holder == nod.id
}

// leaderHeard takes what a peer knows; it is called by any goroutine.
func (nod *Node) leaderHeard(dataCentre string, lead leader.Leader) {
	if lead.Epoch > nod.knownLeaders()[dataCentre].Epoch {
		nod.control.Offer(dispatcher.Event("leadership.heard", lead, func() { nod.learnLeader(dataCentre, lead) }))
	}
}

// learnLeader keeps the leader of the highest epoch; it runs on the control thread.
func (nod *Node) learnLeader(dataCentre string, lead leader.Leader) {
	known := nod.knownLeaders()
	if lead.Epoch <= known[dataCentre].Epoch {
		return
	}
	next := maps.Clone(known)
	next[dataCentre] = lead
	nod.leaders.Store(&next)
	if dataCentre == nod.self.DataCentre {
		nod.lease.EpochSeen(lead.Epoch)
		nod.share.SetLeader(lead.Epoch, lead.Address)
		nod.logs.Control.Info("leader", "dataCentre", dataCentre, "epoch", lead.Epoch, "peer", lead.Address)
	}
}

// announceLeadership tells those members of the data centre who leads that have not asked this leader lately.
func (nod *Node) announceLeadership() {
	if time.Since(nod.announcedAt) < announceInterval {
		return
	}
	nod.announcedAt = time.Now()
	for _, mem := range nod.view.Load().Members {
		if mem.DataCentre != nod.self.DataCentre || mem.ID == nod.id || time.Since(nod.informed[mem.ID]) < announceInterval {
			continue
		}
		address := mem.Peer
		dispatcher.Start(nod.dispatcher, "leadership.announced", askTimeout, func(ctx context.Context) (struct{}, error) {
			return peer.Ask[struct{}, struct{}](ctx, nod.peerClient, address, announceLeader, struct{}{})
		}, func(struct{}, error) {})
	}
}

// leaderAddress returns where to reach the leader of a data centre, or any of its members that may know it.
func (nod *Node) leaderAddress(dataCentre string) netip.AddrPort {
	if lead, known := nod.knownLeaders()[dataCentre]; known {
		return lead.Address
	}
	for _, mem := range nod.view.Load().Members {
		if mem.DataCentre == dataCentre {
			return mem.Peer
		}
	}
	return netip.AddrPort{}
}
