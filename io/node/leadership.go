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
	// storeTimeout bounds one request to the platform's table service or object store.
	storeTimeout = 2 * time.Second
	// announceInterval is the time between two announcements by which a leader makes itself known to members that have sent
	// it no share request for that long. A member can be without contact for nearly twice the interval.
	announceInterval = 10 * time.Second
)

func leaderKey(dataCentre string) string { return "leader/" + dataCentre }

// setUpLeadership connects the lease on the data centre's leadership with the table, the members and the peers.
func (nod *Node) setUpLeadership() {
	nod.lease = leasetrace.New(nod.id, nod.self.Peer, nod.recorder)
	nod.lease.Members = nod.dataCentreMembers
	nod.lease.Read = func(ticket uint64) {
		dispatcher.Start(nod.dispatcher, "lease.rowRead", storeTimeout, nod.readLeader(nod.self.DataCentre), func(read leaderRow, err error) {
			if err != nil {
				nod.lease.ReadFailed(ticket)
				return
			}
			nod.lease.RowRead(ticket, read.Revision, read.Leader)
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
	nod.lease.Announce = nod.startLeading
	nod.lease.OnLost = nod.stopLeading
	nod.lease.OnHandOver = nod.handOverLeadership
	nod.lease.RecordEffects()
	nod.control.AddTicker(nod.lease.Tick)
	peer.Handle(nod.peerServer, passLeadership, func(ctx context.Context, led grantledger.GrantLedger) (struct{}, error) {
		nod.dispatcher.Post(ctx, "leadership.received", led, func() { nod.receiveLeadership(led) })
		return struct{}{}, nil
	})
	// The envelope of the message names the leader, so that the handler itself has nothing to do.
	peer.Handle(nod.peerServer, announceLeader, func(context.Context, struct{}) (struct{}, error) { return struct{}{}, nil })
}

// leaderRow is a row "leader/DATACENTRE" as it was read; its revision is 0 if the row does not exist.
type leaderRow struct {
	Leader   leader.Leader `json:"leader"`
	Revision uint64        `json:"revision"`
}

func (nod *Node) readLeader(dataCentre string) func(ctx context.Context) (leaderRow, error) {
	return func(ctx context.Context) (leaderRow, error) {
		var read leaderRow
		revision, err := nod.readRow(ctx, leaderKey(dataCentre), &read.Leader)
		read.Revision = revision
		return read, err
	}
}

// readRow decodes a row into value and returns its revision. If the row does not exist, the revision is 0 and value is
// unchanged.
func (nod *Node) readRow(ctx context.Context, key string, value any) (uint64, error) {
	rec, err := nod.table.Read(ctx, key)
	if errors.Is(err, row.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return rec.Revision, eris.Wrapf(json.Unmarshal(rec.Value, value), "decode row %s", key)
}

// writeRow returns a request that writes a row if it has the expected revision and all checks hold, and returns the new
// revision.
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

// dataCentreMembers returns the IDs of all members of this node's data centre: those with a row in the table, the live
// ones, and this node.
func (nod *Node) dataCentreMembers() []string {
	ids := slices.Clone(nod.registeredIDs)
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

// knownLeaders returns the leader with the highest epoch that this node has learned of, by data centre.
func (nod *Node) knownLeaders() map[string]leader.Leader { return *nod.leaders.Load() }

// ownLeader returns the known leader of this node's data centre and whether it is this node. Control messages to peers
// are filled with it, as package envelope describes.
func (nod *Node) ownLeader() (dataCentre string, lead leader.Leader, own bool) {
	lead = nod.knownLeaders()[nod.self.DataCentre]
	return nod.self.DataCentre, lead, lead.Holder == nod.id
}

// receiveLeader receives the leader that a peer named in a control message. It may be called from any goroutine.
func (nod *Node) receiveLeader(dataCentre string, lead leader.Leader) {
	if lead.Epoch > nod.knownLeaders()[dataCentre].Epoch {
		nod.control.Offer(dispatcher.Event("leadership.heard", lead, func() { nod.learnLeader(dataCentre, lead) }))
	}
}

// learnLeader stores the leader of a data centre if its epoch is higher than the known one. It runs on the control
// thread.
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

// announceLeadership sends a message to those members of the data centre that have sent this leader no share request in
// the last announceInterval. It does nothing if it did so less than announceInterval ago. Like every control message of
// a leader, the message names the leader.
func (nod *Node) announceLeadership() {
	if time.Since(nod.announcedAt) < announceInterval {
		return
	}
	nod.announcedAt = time.Now()
	for _, mem := range nod.view.Load().Members {
		if mem.DataCentre != nod.self.DataCentre || mem.ID == nod.id || time.Since(nod.lastAnswered[mem.ID]) < announceInterval {
			continue
		}
		address := mem.Peer
		dispatcher.Start(nod.dispatcher, "leadership.announced", askTimeout, func(ctx context.Context) (struct{}, error) {
			return peer.Ask[struct{}, struct{}](ctx, nod.peerClient, address, announceLeader, struct{}{})
		}, func(struct{}, error) {})
	}
}

// leaderAddress returns the address of the leader of a data centre. If this node knows none, it returns the address of
// any member there, whose answer names the leader, or the zero value.
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
