package lease

import (
	"net/netip"
	"time"

	"flamingoreach/core/leader"
)

const (
	// Duration is how long the holder leads, counted from the sending of a successful renewal.
	Duration = 5 * time.Second
	// RenewalInterval is the time between two renewals, and between two reads of the row by a member that watches it.
	RenewalInterval = 2 * time.Second
	// ClockMargin is added to a lease by other members to allow for clocks that run at different speeds.
	ClockMargin = 500 * time.Millisecond
	// AnswerWindow is the time for which a member's answer counts towards the majority that a holder needs if it cannot
	// renew.
	AnswerWindow = 3 * time.Second

	// rowWatchers is the number of members that always watch the row.
	rowWatchers = 2
	// leaderSilence is the time without an answer of the leader after which more members watch the row, one more after
	// each rankDelay.
	leaderSilence = 3 * time.Second
	rankDelay     = time.Second
	// storeTimeout is the time after which a read of the table counts as failed, and the outcome of a write as unknown.
	storeTimeout = 2 * time.Second
	// storeRetry is the time from a failed read to the next read.
	storeRetry = 500 * time.Millisecond
)

// Lease follows the leader row of one data centre. It claims, renews and hands over the leadership.
type Lease struct {
	// Read starts a read of the row; RowRead or ReadFailed is then called with the same ticket.
	Read func(ticket uint64)
	// Write starts a write on the condition that the row has the expected revision, 0 for none;
	// Written, Conflicted or Unknown is then called with the same ticket.
	Write func(ticket, expected uint64, value leader.Leader)
	// Announce announces this node's new leadership to the members.
	Announce func(own leader.Leader)
	// OnLost is called when this node's leadership has ended.
	OnLost func()
	// OnHandOver is called when the row names the successor, at the given revision; the successor must be notified.
	OnHandOver func(successor leader.Leader, revision uint64)
	// Members returns the IDs of all registered members of the data centre, including unreachable ones.
	Members func() []string

	id      string
	address netip.AddrPort
	state   string

	// row and revision were last read or written, and revisionSince is when this revision was first seen.
	row           leader.Leader
	revision      uint64
	revisionSince time.Time
	rowKnown      bool
	// highest is the highest epoch known from the row or any member.
	highest          uint64
	leaderAnsweredAt time.Time

	ticket     uint64
	busy       bool
	writing    bool
	opSentAt   time.Time
	attempt    attempt
	nextReadAt time.Time
	renewals   uint64

	own       leader.Leader
	successor leader.Leader
	// firstEpoch is set if no earlier leader is known when this node claims the row, so that no tokens of one can
	// exist.
	firstEpoch     bool
	began          time.Time
	firstRenewedAt time.Time
	renewedAt      time.Time
	nextRenewalAt  time.Time
	grantsFrom     time.Time
	// majorityUntil is the time until which the answers of a majority let this node lead without a valid lease.
	majorityUntil time.Time
	// answeredAt holds, by member, the sending time of the last message that the member has answered;
	// leftEarlierLeadersAt the time since which it has answered no leader of a lower epoch.
	answeredAt           map[string]time.Time
	leftEarlierLeadersAt map[string]time.Time
}

type attempt struct {
	value  leader.Leader
	sentAt time.Time
}

// New returns a module for a member of the given ID that listens at the given address.
func New(id string, address netip.AddrPort) *Lease {
	return &Lease{
		Read:       func(uint64) {},
		Write:      func(uint64, uint64, leader.Leader) {},
		Announce:   func(leader.Leader) {},
		OnLost:     func() {},
		OnHandOver: func(leader.Leader, uint64) {},
		Members:    func() []string { return []string{id} },
		id:         id, address: address, state: leadership.Initial(), leaderAnsweredAt: time.Now(),
	}
}

// State returns the state in the chart "leadership".
func (lea *Lease) State() string { return lea.state }

// Own returns this node's leadership, with epoch 0 if it does not lead, and when it began.
func (lea *Lease) Own() (own leader.Leader, began time.Time) { return lea.own, lea.began }

// Row returns the leader that the row named when it was last read.
func (lea *Lease) Row() leader.Leader { return lea.row }

// Leads reports whether this node leads at the time now, which must have been read from the clock just before the call.
func (lea *Lease) Leads(now time.Time) bool {
	if lea.own.Epoch == 0 || lea.state == "handingOver" || lea.highest > lea.own.Epoch {
		return false
	}
	return now.Before(lea.leasedUntil()) || now.Before(lea.majorityUntil)
}

// Fence returns the revision of the row, for transactions that must fail once another node leads, and false while this
// node does not lead or a write of the row is under way.
func (lea *Lease) Fence() (revision uint64, ok bool) {
	return lea.revision, lea.Leads(time.Now()) && (!lea.busy || !lea.writing)
}

// RenewedAt returns the sending time of the last renewal that took effect.
func (lea *Lease) RenewedAt() time.Time { return lea.renewedAt }

// GrantsFrom returns when the tokens of all earlier leaders have expired, and whether that is known yet.
func (lea *Lease) GrantsFrom() (time.Time, bool) { return lea.grantsFrom, !lea.grantsFrom.IsZero() }

// EpochSeen is called with each epoch that a member or message names.
func (lea *Lease) EpochSeen(epoch uint64) {
	lea.highest = max(lea.highest, epoch)
	if lea.own.Epoch != 0 && lea.highest > lea.own.Epoch && lea.state != "handingOver" {
		lea.fire("superseded")
	}
}

// LeaderAnswered is called when the leader of the given epoch has answered this node.
func (lea *Lease) LeaderAnswered(epoch uint64) {
	lea.EpochSeen(epoch)
	if epoch >= lea.highest {
		lea.leaderAnsweredAt = time.Now()
	}
}

// MemberAnswered is called when a member has answered a message of this leader. The echo is the time from the start of
// the leadership to the sending of that message, or 0 if the member has not received any; sinceLowerEpoch is the time
// for which the member has not answered leaders of lower epochs.
func (lea *Lease) MemberAnswered(member string, epoch uint64, echo, sinceLowerEpoch time.Duration) {
	lea.EpochSeen(epoch)
	if lea.own.Epoch == 0 || epoch != lea.own.Epoch {
		return
	}
	now := time.Now()
	if at := lea.began.Add(echo); echo > 0 && !at.After(now) && at.After(lea.answeredAt[member]) {
		lea.answeredAt[member] = at
	}
	if lea.leftEarlierLeadersAt[member].IsZero() {
		lea.leftEarlierLeadersAt[member] = now.Add(-sinceLowerEpoch)
	}
}

// HandOver starts to hand the leadership over to another member. It does nothing unless the state is "leading" and no
// operation is under way. OnHandOver is called if the write succeeds, and OnLost in any case.
func (lea *Lease) HandOver(successor string, address netip.AddrPort) {
	if lea.state != "leading" || lea.busy {
		return
	}
	lea.renewals++
	lea.successor = leader.Leader{Holder: successor, Epoch: lea.own.Epoch + 1, Address: address, Renewals: lea.renewals}
	lea.fire("handOver")
}

// ReceiveLeadership starts a leadership that the former leader has handed over, with the revision of the row.
func (lea *Lease) ReceiveLeadership(own leader.Leader, revision uint64) {
	if own.Holder != lea.id || own.Epoch < lea.highest || own.Epoch == lea.own.Epoch && !lea.grantsFrom.IsZero() {
		return
	}
	lea.EpochSeen(own.Epoch)
	if revision > lea.revision {
		lea.row, lea.revision, lea.revisionSince, lea.rowKnown = own, revision, time.Now(), true
	}
	lea.renewals = max(lea.renewals, own.Renewals)
	lea.cancelOperation()
	lea.fire("received")
}

// Tick starts a renewal or a read of the row if one is due, and fires the events that depend on the clock.
func (lea *Lease) Tick() {
	now := time.Now()
	if lea.busy && now.Sub(lea.opSentAt) >= storeTimeout {
		lea.timedOut()
	}
	if lea.own.Epoch != 0 {
		lea.updateState(now)
	}
	if lea.busy {
		return
	}
	switch {
	case lea.own.Epoch != 0 && lea.state != "handingOver":
		if !now.Before(lea.nextRenewalAt) {
			lea.renew(now)
		}
	case !now.Before(lea.nextReadAt) && (lea.state != "following" || lea.watchesRow(now)):
		lea.read()
	}
}

// watchesRow reports whether this member is one of those that read the row.
func (lea *Lease) watchesRow(now time.Time) bool {
	rank, member := 0, false
	for _, id := range lea.Members() {
		member = member || id == lea.id
		if id < lea.id {
			rank++
		}
	}
	if !member {
		return false
	}
	return rank < rowWatchers || now.Sub(lea.leaderAnsweredAt) > leaderSilence+time.Duration(rank)*rankDelay
}

func (lea *Lease) renew(now time.Time) {
	lea.renewals++
	lea.nextRenewalAt = now.Add(RenewalInterval)
	value := lea.own
	value.Renewals = lea.renewals
	lea.write(value)
}
