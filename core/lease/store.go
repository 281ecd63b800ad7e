package lease

import (
	"time"

	"flamingoreach/core/leader"
)

func (lea *Lease) startOperation(writing bool) {
	lea.ticket++
	lea.busy, lea.writing, lea.opSentAt = true, writing, time.Now()
}

func (lea *Lease) cancelOperation() {
	lea.ticket++
	lea.busy = false
}

func (lea *Lease) read() {
	lea.startOperation(false)
	lea.nextReadAt = lea.opSentAt.Add(RenewalInterval)
	lea.Read(lea.ticket)
}

func (lea *Lease) write(value leader.Leader) {
	lea.startOperation(true)
	lea.attempt = attempt{value: value, sentAt: lea.opSentAt}
	lea.Write(lea.ticket, lea.revision, value)
}

// endOperation ends the operation under way if the answer belongs to it, and reports whether it does.
func (lea *Lease) endOperation(ticket uint64) bool {
	if !lea.busy || ticket != lea.ticket {
		return false
	}
	lea.busy = false
	return true
}

func (lea *Lease) timedOut() {
	if lea.writing {
		lea.Unknown(lea.ticket)
		return
	}
	lea.ReadFailed(lea.ticket)
}

// Written is called with the row's new revision when a write took effect.
func (lea *Lease) Written(ticket, revision uint64) {
	if !lea.endOperation(ticket) {
		return
	}
	lea.observe(revision, lea.attempt.value)
	lea.countRenewal()
	lea.fire("written")
}

// Conflicted is called when a write certainly did not take effect, because the row had another revision.
func (lea *Lease) Conflicted(ticket uint64) {
	if lea.endOperation(ticket) {
		lea.nextReadAt = time.Now()
		lea.fire("conflicted")
	}
}

// Unknown is called when a write may have taken effect.
func (lea *Lease) Unknown(ticket uint64) {
	if lea.endOperation(ticket) {
		lea.fire("unknown")
	}
}

// ReadFailed is called when a read got no answer.
func (lea *Lease) ReadFailed(ticket uint64) {
	if lea.endOperation(ticket) {
		lea.nextReadAt = time.Now().Add(storeRetry)
	}
}

// RowRead is called with the row and its revision, which is 0 if there is no row.
func (lea *Lease) RowRead(ticket, revision uint64, value leader.Leader) {
	if !lea.endOperation(ticket) {
		return
	}
	lea.observe(revision, value)
	switch {
	case lea.state == "handingOver" && value == lea.successor:
		lea.fire("written")
	case revision != 0 && value == lea.attempt.value && value.Holder == lea.id && value.Epoch >= lea.highest:
		lea.countRenewal()
		lea.fire("rowMine")
	case lea.own.Epoch != 0 && value.Holder == lea.id && value.Epoch == lea.own.Epoch:
		lea.nextRenewalAt = time.Now()
		lea.fire("rowMine")
	default:
		lea.fire("rowOther")
		lea.challengeExpiredRow()
	}
}

func (lea *Lease) observe(revision uint64, value leader.Leader) {
	if !lea.rowKnown || revision != lea.revision {
		lea.row, lea.revision, lea.revisionSince, lea.rowKnown = value, revision, time.Now(), true
	}
	lea.highest = max(lea.highest, value.Epoch)
}

// countRenewal extends this node's leadership after its last write has taken effect, if that was a renewal; the lease
// counts from the sending of that write.
func (lea *Lease) countRenewal() {
	value := lea.attempt.value
	if lea.own.Epoch != 0 && value.Holder == lea.id && value.Epoch == lea.own.Epoch {
		lea.renewedAt = lea.attempt.sentAt
		if lea.firstRenewedAt.IsZero() {
			lea.firstRenewedAt = lea.renewedAt
		}
	}
}

// challengeExpiredRow claims the leadership if this node is following another leader, or none, and the row is missing
// or has not changed for longer than Duration and ClockMargin together.
func (lea *Lease) challengeExpiredRow() {
	if lea.state != "following" || !lea.rowKnown {
		return
	}
	if lea.revision == 0 || time.Since(lea.revisionSince) > Duration+ClockMargin {
		lea.fire("rowExpired")
	}
}
