package division

import (
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/allocation"
	"flamingoreach/core/divisionrow"
	"flamingoreach/core/leaderfence"
	"flamingoreach/core/machine"
)

var rowMachine = machine.MustNew(charts.MustLoad("division"),
	[]string{"read", "missing", "give", "change", "settled", "abandoned", "written", "conflicted", "unknown", "fenced"},
	map[string]func(*entry) bool{
		"mayCreate":          (*entry).mayCreate,
		"mayStillTakeEffect": (*entry).mayStillTakeEffect,
		"knowsWrittenRow":    (*entry).knowsWrittenRow,
	},
	map[string]func(*entry){
		"applyRead": (*entry).applyRead, "createRow": (*entry).createRow, "discardRow": (*entry).discardRow,
		"lowerAllocation": (*entry).lowerAllocation, "planWrite": (*entry).planWrite, "undoLowering": (*entry).undoLowering,
		"applyWritten": (*entry).applyWritten, "zeroAllocation": (*entry).zeroAllocation,
		"abandonTakeover": (*entry).abandonTakeover, "readBack": (*entry).readBack, "resolveAttempt": (*entry).resolveAttempt,
	})

// entry is the state of one account's row at this leader.
type entry struct {
	div     *Division
	account string
	state   string
	// enforced is the account's rate and burst by the configuration in force at this node.
	enforced allocation.Allocation
	row      divisionrow.DivisionRow
	revision uint64
	known    bool
	// rowRead and readRevision are the row and revision that the event "read" or "written" carries.
	rowRead      divisionrow.DivisionRow
	readRevision uint64

	attempt attempt
	busy    bool
	// writeDue is set from the planning of a write until it is sent.
	writeDue bool
	ticket   uint64
	sentAt   time.Time
	// nextReadAt is when the next read is due; zero if none is.
	nextReadAt time.Time
	// short is set if calls waited for missing tokens since the account was last reported in a digest, at reportedAt.
	short      bool
	reportedAt time.Time
	exhausted  bool
	// averageDemand is the demand of each data centre over averageWindow, as of averagedAt; rebalancedAt is when the row
	// last changed or a rebalance was last tried.
	averageDemand map[string]float64
	averagedAt    time.Time
	rebalancedAt  time.Time
}

// attempt is one change of the row.
type attempt struct {
	value    divisionrow.DivisionRow
	expected uint64
	// recipient and tokens are set if the change transfers some of this data centre's allocation; no more tokens are
	// transferred than the bucket has.
	recipient     string
	tokens        uint64
	started       time.Time
	takeoverFence *leaderfence.Fence
	// unresolved is set while the write may still take effect.
	unresolved bool
}

func (ent *entry) fire(event string) { ent.state = rowMachine.Fire(ent, ent.state, event) }

// ownAllocation returns this data centre's allocation of a row, scaled down if the enforced rate or burst is lower than
// that of the row.
func (ent *entry) ownAllocation(row divisionrow.DivisionRow) allocation.Allocation {
	alc := row.Allocations[ent.div.dataCentre]
	if row.Rate > ent.enforced.Rate {
		alc.Rate *= ent.enforced.Rate / row.Rate
	}
	if row.Burst > ent.enforced.Burst {
		alc.Burst *= ent.enforced.Burst / row.Burst
	}
	return alc
}

func (ent *entry) applyRead() { ent.applyRow(ent.rowRead, ent.readRevision) }

// applyRow replaces the known row, unless it is older, and credits the tokens that other data centres have transferred
// since.
func (ent *entry) applyRow(row divisionrow.DivisionRow, revision uint64) {
	if ent.known && revision < ent.revision {
		return
	}
	credit := uint64(0)
	if before := ent.row.Allocations[ent.div.dataCentre].TokensReceived; ent.known {
		credit = row.Allocations[ent.div.dataCentre].TokensReceived - before
	}
	ent.row, ent.revision, ent.known, ent.rebalancedAt = row, revision, true, time.Now()
	ent.div.issuer.SetAllocation(ent.account, ent.ownAllocation(row))
	if credit > 0 {
		ent.div.issuer.Credit(ent.account, credit)
	}
}

func (ent *entry) mayCreate() bool { return ent.enforced.Rate > 0 && len(ent.div.dataCentres) > 0 }

func (ent *entry) createRow() {
	ent.attempt = attempt{value: divisionrow.Split(ent.enforced.Rate, ent.enforced.Burst, ent.div.dataCentres)}
}

func (ent *entry) zeroAllocation() {
	ent.known = false
	ent.div.issuer.SetAllocation(ent.account, allocation.Allocation{})
}

func (ent *entry) discardRow() {
	ent.zeroAllocation()
	ent.attempt = attempt{}
	ent.nextReadAt = time.Now()
}

// lowerAllocation lowers this data centre's allocation at the bucket, and withdraws the tokens to transfer, before the
// row is written.
func (ent *entry) lowerAllocation() {
	alc := ent.ownAllocation(ent.attempt.value)
	iss := ent.div.issuer
	room := ent.ownAllocation(ent.row).Burst - alc.Burst
	wanted := max(float64(ent.attempt.tokens), iss.TotalTokens(ent.account)-alc.Burst)
	ent.attempt.tokens = iss.Withdraw(ent.account, uint64(max(0, min(wanted, room))))
	recipient := ent.attempt.value.Allocations[ent.attempt.recipient]
	recipient.TokensReceived += ent.attempt.tokens
	ent.attempt.value.Allocations[ent.attempt.recipient] = recipient
	iss.SetAllocation(ent.account, alc)
}

func (ent *entry) undoLowering() {
	ent.div.issuer.SetAllocation(ent.account, ent.ownAllocation(ent.row))
	ent.withdrawAttempt()
	ent.attempt = attempt{}
}

// planWrite marks the write as due; Division sends it as soon as Fence returns a revision.
func (ent *entry) planWrite() {
	ent.attempt.unresolved = true
	ent.writeDue = true
}

func (ent *entry) write(revision uint64) {
	ent.writeDue = false
	ent.startOperation()
	fences := []leaderfence.Fence{{DataCentre: ent.div.dataCentre, Revision: revision}}
	if ent.attempt.takeoverFence != nil {
		fences = append(fences, *ent.attempt.takeoverFence)
	}
	ent.div.Write(ent.ticket, ent.account, ent.attempt.expected, ent.attempt.value, fences)
}

// knowsWrittenRow reports whether the row that was overwritten was still known, or did not exist, so that the written
// row can be used without a read.
func (ent *entry) knowsWrittenRow() bool { return ent.known || ent.attempt.expected == 0 }

// abandonTakeover drops a takeover whose write conflicted, so that it is not sent again.
func (ent *entry) abandonTakeover() {
	if ent.attempt.takeoverFence != nil {
		ent.attempt.unresolved = false
	}
}

func (ent *entry) applyWritten() {
	ent.attempt.tokens = 0
	ent.applyRow(ent.attempt.value, ent.readRevision)
	ent.attempt = attempt{}
	row := ent.row.Clone()
	ent.div.sendEntry(ent, time.Now(), &row)
}

// withdrawAttempt credits the bucket with the tokens of a transfer that certainly did not take effect.
func (ent *entry) withdrawAttempt() {
	if ent.attempt.tokens > 0 {
		ent.div.issuer.Credit(ent.account, ent.attempt.tokens)
	}
	ent.attempt.tokens, ent.attempt.unresolved = 0, false
}

func (ent *entry) readBack() { ent.nextReadAt = time.Now() }

// mayStillTakeEffect reports whether the row still has the revision that an unresolved write expects.
// The same write is then sent again: whichever reaches the table first changes the revision, so that the other one fails.
func (ent *entry) mayStillTakeEffect() bool {
	return ent.attempt.unresolved && ent.readRevision == ent.attempt.expected
}

// resolveAttempt credits the bucket with the tokens of the transfer if the row shows that it did not take effect.
func (ent *entry) resolveAttempt() {
	if ent.attempt.unresolved && ent.rowRead.Allocations[ent.attempt.recipient].TokensReceived < ent.attempt.value.Allocations[ent.attempt.recipient].TokensReceived {
		ent.withdrawAttempt()
	}
	ent.attempt = attempt{}
}

func (ent *entry) startOperation() {
	ent.div.ticket++
	ent.ticket, ent.busy, ent.sentAt = ent.div.ticket, true, time.Now()
}
