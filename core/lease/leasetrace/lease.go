package leasetrace

import (
	"net/netip"
	"slices"
	"time"

	"flamingoreach/core/leader"
	"flamingoreach/core/lease"
	"flamingoreach/core/trace"
	"flamingoreach/core/trace/scope"
)

const (
	module      = "lease"
	created     = "lease.new"
	members     = "lease.members"
	rowRead     = "lease.rowRead"
	readFailed  = "lease.readFailed"
	written     = "lease.written"
	conflicted  = "lease.conflicted"
	unknown     = "lease.unknown"
	epochSeen   = "lease.epochSeen"
	leaderHeard = "lease.leaderHeard"
	heard       = "lease.heard"
	handOver    = "lease.handOver"
	received    = "lease.received"

	read       = "lease.read"
	write      = "lease.write"
	announce   = "lease.announce"
	lost       = "lease.lost"
	handedOver = "lease.handedOver"
)

// Lease is a lease whose inputs and effects are recorded.
type Lease struct {
	*lease.Lease

	scope   scope.Scope
	members []string
}

type node struct {
	ID      string         `json:"id"`
	Address netip.AddrPort `json:"address"`
}

// entry is a row with its revision and the ticket of the operation.
type entry struct {
	Ticket   uint64        `json:"ticket,omitempty"`
	Revision uint64        `json:"revision"`
	Leader   leader.Leader `json:"leader"`
}

type answer struct {
	Member          string        `json:"member"`
	Epoch           uint64        `json:"epoch"`
	Echo            time.Duration `json:"echo"`
	SinceLowerEpoch time.Duration `json:"quiet"`
}

// New returns a lease for a member of the given ID that listens at the given address.
func New(id string, address netip.AddrPort, rec *trace.Recorder) *Lease {
	rec.Input(created, node{ID: id, Address: address})
	return &Lease{Lease: lease.New(id, address), scope: scope.Scope{Recorder: rec}}
}

// RecordEffects wraps the function fields so that their calls are recorded. The fields must be set before; without a
// recorder nothing changes.
func (lea *Lease) RecordEffects() {
	rec := lea.scope.Recorder
	if !rec.Enabled() {
		return
	}
	startRead, startWrite, announceToAll, notifyLost, notifyHandedOver := lea.Read, lea.Write, lea.Announce, lea.OnLost, lea.OnHandOver
	lea.Read = func(ticket uint64) {
		rec.Effect(read, ticket)
		startRead(ticket)
	}
	lea.Write = func(ticket, expected uint64, value leader.Leader) {
		rec.Effect(write, entry{Ticket: ticket, Revision: expected, Leader: value})
		startWrite(ticket, expected, value)
	}
	lea.Announce = func(own leader.Leader) {
		rec.Effect(announce, own)
		announceToAll(own)
	}
	lea.OnLost = func() {
		rec.Effect(lost, nil)
		notifyLost()
	}
	lea.OnHandOver = func(successor leader.Leader, revision uint64) {
		rec.Effect(handedOver, entry{Revision: revision, Leader: successor})
		notifyHandedOver(successor, revision)
	}
}

// Tick records the members if they have changed, and the tick.
func (lea *Lease) Tick() {
	if lea.scope.Recorder.Enabled() {
		if now := lea.Members(); !slices.Equal(now, lea.members) {
			lea.members = now
			lea.scope.Recorder.Input(members, now)
		}
	}
	lea.scope.Tick(module, lea.Lease.Tick)
}

// RowRead is called with the row and its revision, which is 0 if there is no row.
func (lea *Lease) RowRead(ticket, revision uint64, value leader.Leader) {
	lea.scope.Input(rowRead, entry{Ticket: ticket, Revision: revision, Leader: value}, func() { lea.Lease.RowRead(ticket, revision, value) })
}

// ReadFailed is called when a read got no answer.
func (lea *Lease) ReadFailed(ticket uint64) {
	lea.scope.Input(readFailed, ticket, func() { lea.Lease.ReadFailed(ticket) })
}

// Written is called with the row's new revision when a write took effect.
func (lea *Lease) Written(ticket, revision uint64) {
	lea.scope.Input(written, entry{Ticket: ticket, Revision: revision}, func() { lea.Lease.Written(ticket, revision) })
}

// Conflicted is called when a write certainly did not take effect.
func (lea *Lease) Conflicted(ticket uint64) {
	lea.scope.Input(conflicted, ticket, func() { lea.Lease.Conflicted(ticket) })
}

// Unknown is called when a write may have taken effect.
func (lea *Lease) Unknown(ticket uint64) {
	lea.scope.Input(unknown, ticket, func() { lea.Lease.Unknown(ticket) })
}

// EpochSeen is called with each epoch that a member or message names.
func (lea *Lease) EpochSeen(epoch uint64) {
	lea.scope.Input(epochSeen, epoch, func() { lea.Lease.EpochSeen(epoch) })
}

// LeaderAnswered is called when the leader of the given epoch has answered this node.
func (lea *Lease) LeaderAnswered(epoch uint64) {
	lea.scope.Input(leaderHeard, epoch, func() { lea.Lease.LeaderAnswered(epoch) })
}

// MemberAnswered is called when a member has answered a message of this leader. The echo is the time from the start of
// the leadership to the sending of that message, or 0 if the member has not received any; sinceLowerEpoch is the time
// for which the member has not answered leaders of lower epochs.
func (lea *Lease) MemberAnswered(member string, epoch uint64, echo, sinceLowerEpoch time.Duration) {
	lea.scope.Input(heard, answer{Member: member, Epoch: epoch, Echo: echo, SinceLowerEpoch: sinceLowerEpoch}, func() { lea.Lease.MemberAnswered(member, epoch, echo, sinceLowerEpoch) })
}

// HandOver starts to hand the leadership over to another member.
func (lea *Lease) HandOver(successor string, address netip.AddrPort) {
	lea.scope.Input(handOver, node{ID: successor, Address: address}, func() { lea.Lease.HandOver(successor, address) })
}

// ReceiveLeadership starts a leadership that the former leader has handed over, with the revision of the row.
func (lea *Lease) ReceiveLeadership(own leader.Leader, revision uint64) {
	lea.scope.Input(received, entry{Revision: revision, Leader: own}, func() { lea.Lease.ReceiveLeadership(own, revision) })
}
