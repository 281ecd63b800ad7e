package division

import (
	"maps"
	"slices"
	"time"

	"flamingoreach/core/allocation"
	"flamingoreach/core/demanddigest"
	"flamingoreach/core/demandentry"
	"flamingoreach/core/divisionrow"
	"flamingoreach/core/grant"
	"flamingoreach/core/leaderfence"
)

const (
	// digestInterval is the time between two digests of all accounts, urgentSpacing the least time between two digests
	// of one account that needs tokens.
	digestInterval = time.Second
	urgentSpacing  = 50 * time.Millisecond
	// transferSpacing is the average time between two transfers that this leader may start, transferBurst how many it
	// may start at once.
	transferSpacing = 100 * time.Millisecond
	transferBurst   = 20
	// rereadInterval is the time between two reads of a row for which no digest names a newer revision.
	rereadInterval = 30 * time.Second
	// storeTimeout is the time after which a read of the table counts as failed, and the outcome of a write as unknown.
	storeTimeout = 2 * time.Second
	// storeRetry is the time from a failed read to the next read.
	storeRetry = 500 * time.Millisecond
	// settleTimeout is the time after which a transfer is abandoned if nodes still hold more tokens than the lowered
	// allocation permits.
	settleTimeout = 5 * time.Second
	// digestValidity is the time for which the demand that another data centre's digest reports is used.
	digestValidity = 5 * time.Second
	// takeoverMargin is added to the hold before another data centre's allocations are taken over.
	takeoverMargin = 5 * time.Second
)

// Division transfers allocations of all accounts between one data centre and the others.
type Division struct {
	// Read starts a read of an account's row; RowRead or ReadFailed is then called with the same ticket.
	Read func(ticket uint64, account string)
	// Write starts a transaction on the condition that the row has the expected revision, 0 for none, and that
	// all fences hold; Written, Conflicted or Unknown is then called with the same ticket.
	Write func(ticket uint64, account string, expected uint64, value divisionrow.DivisionRow, fences []leaderfence.Fence)
	// ReadLeader starts a read of the row of another data centre's leader; LeaderRead is called if it succeeds.
	ReadLeader func(dataCentre string)
	// Send sends a digest to the leaders of the other data centres.
	Send func(dig demanddigest.DemandDigest)
	// Fence returns the revision of this data centre's leader row, and false while this node does not lead or a write
	// of the row is under way.
	Fence func() (revision uint64, ok bool)
	// RenewedAt returns the sending time of the last successful renewal of this data centre's leader row.
	RenewedAt func() time.Time
	// CutHold is the time without contact to the store's region after which this data centre stops granting tokens, so
	// that other data centres may take over its allocations; 0 means no limit. Contact is a digest that every data
	// centre in TakeoverDataCentres has confirmed, or a renewal of this data centre's leader row.
	CutHold time.Duration
	// TakeoverHold replaces CutHold, if it is longer, as the time after which a silent data centre's allocations are taken
	// over: while a patch that shortens CutHold is pending, that data centre may still use the longer time.
	TakeoverHold time.Duration
	// TakeoverDataCentres are the data centres that may take over allocations: those in the store's region.
	TakeoverDataCentres []string

	dataCentre  string
	epoch       uint64
	issuer      *grant.Issuer
	dataCentres []string
	began       time.Time
	entries     map[string]*entry
	peers       map[string]*peer
	ticket      uint64
	// lastSent is the field Sent of the last digest; it grows with each digest.
	lastSent   time.Duration
	digestSent time.Time
	isolated   bool
	// transferSlotAt lies in the past by transferSpacing for each transfer that may be started now.
	transferSlotAt time.Time
}

// New returns a module for the leader of a data centre, whose leadership has the given epoch and began at the given time.
func New(dataCentre string, epoch uint64, began time.Time, iss *grant.Issuer) *Division {
	return &Division{
		Read:       func(uint64, string) {},
		Write:      func(uint64, string, uint64, divisionrow.DivisionRow, []leaderfence.Fence) {},
		ReadLeader: func(string) {},
		Send:       func(demanddigest.DemandDigest) {},
		Fence:      func() (uint64, bool) { return 0, false },
		RenewedAt:  func() time.Time { return time.Time{} },
		dataCentre: dataCentre, epoch: epoch, issuer: iss, began: began,
		entries: map[string]*entry{}, peers: map[string]*peer{},
	}
}

// SetDataCentres sets the data centres between which new accounts are divided.
func (div *Division) SetDataCentres(dataCentres []string) {
	div.dataCentres = slices.Sorted(slices.Values(dataCentres))
}

// SetAccount sets the account's rate and burst by the configuration in force at this node; lower ones apply at once.
func (div *Division) SetAccount(account string, enforced allocation.Allocation) {
	ent := div.entries[account]
	if ent == nil {
		ent = &entry{div: div, account: account, state: rowMachine.Initial(), nextReadAt: time.Now()}
		div.entries[account] = ent
	}
	if ent.enforced.Rate == enforced.Rate && ent.enforced.Burst == enforced.Burst {
		return
	}
	ent.enforced = enforced
	if !ent.known {
		return
	}
	if row := ent.boundingRow(); row != nil {
		div.issuer.SetAllocation(account, ent.ownAllocation(*row))
	}
}

// boundingRow returns the row that bounds this data centre's allocation now: during a transfer, the one to be written.
func (ent *entry) boundingRow() *divisionrow.DivisionRow {
	if ent.attempt.recipient != "" {
		return &ent.attempt.value
	}
	return &ent.row
}

// RemoveAccount removes an account that the configuration no longer contains.
func (div *Division) RemoveAccount(account string) {
	if div.entries[account] != nil {
		delete(div.entries, account)
		div.issuer.RemoveAllocation(account)
	}
}

// Allocation returns this data centre's allocation of the account, from the row as it was last read or written.
func (div *Division) Allocation(account string) allocation.Allocation {
	if ent := div.entries[account]; ent != nil && ent.known {
		return ent.row.Allocations[div.dataCentre]
	}
	return allocation.Allocation{}
}

// Isolated reports whether other data centres may have taken over the allocations of this one, because it has had no
// contact for longer than CutHold. It then stays true until the first Tick after the contact is back. The time now must
// have been read from the clock just before the call.
func (div *Division) Isolated(now time.Time) bool {
	if div.CutHold > 0 && now.Sub(div.lastContact()) > div.CutHold {
		div.isolated = true
	}
	return div.isolated
}

// Tick sends digests, reads rows, and starts or continues changes of rows.
func (div *Division) Tick() {
	now := time.Now()
	div.endIsolation(now)
	for _, account := range slices.Sorted(maps.Keys(div.entries)) {
		div.advance(div.entries[account], now)
	}
	div.takeOverFromLost(now)
	if now.Sub(div.digestSent) >= digestInterval {
		div.sendDigest(now)
	}
}

// endIsolation discards all rows once the contact is back, since other data centres may have changed them; they are
// read again.
func (div *Division) endIsolation(now time.Time) {
	if !div.Isolated(now) || now.Sub(div.lastContact()) > div.CutHold {
		return
	}
	div.isolated = false
	for _, ent := range div.entries {
		ent.fire("fenced")
	}
}

// advance continues the change of an account's row or plans a new one, and starts the write or read that is due.
func (div *Division) advance(ent *entry, now time.Time) {
	if ent.busy && now.Sub(ent.sentAt) >= storeTimeout {
		div.timedOut(ent)
	}
	if div.issuer.PollShortage(ent.account) {
		ent.short = true
	}
	div.reportIfLow(ent, now)
	switch ent.state {
	case "settling":
		ent.settle(now)
	case "steady":
		div.plan(ent, now)
		if ent.state == "settling" {
			ent.settle(now)
		}
	}
	if ent.busy {
		return
	}
	if ent.writeDue {
		if revision, ok := div.Fence(); ok {
			ent.write(revision)
		}
		return
	}
	if !ent.nextReadAt.IsZero() && !now.Before(ent.nextReadAt) && ent.state != "settling" {
		ent.nextReadAt = now.Add(rereadInterval)
		ent.startOperation()
		div.Read(ent.ticket, ent.account)
	}
}

func (ent *entry) settle(now time.Time) {
	if ent.div.issuer.WithinBurst(ent.account) {
		ent.fire("settled")
	} else if now.Sub(ent.attempt.started) > settleTimeout {
		ent.fire("abandoned")
	}
}

func (div *Division) timedOut(ent *entry) {
	if ent.state == "writing" {
		div.Unknown(ent.ticket, ent.account)
	} else {
		div.ReadFailed(ent.ticket, ent.account)
	}
}

// endOperation ends the operation that an answer belongs to and returns its entry, or nil if it is not under way.
func (div *Division) endOperation(ticket uint64, account string) *entry {
	ent := div.entries[account]
	if ent == nil || !ent.busy || ent.ticket != ticket {
		return nil
	}
	ent.busy = false
	return ent
}

// RowRead is called with an account's row and its revision, which is 0 if there is no row.
func (div *Division) RowRead(ticket uint64, account string, revision uint64, row divisionrow.DivisionRow) {
	ent := div.endOperation(ticket, account)
	if ent == nil {
		return
	}
	ent.rowRead, ent.readRevision = row, revision
	if revision == 0 {
		ent.nextReadAt = time.Now().Add(storeRetry)
		ent.fire("missing")
		return
	}
	ent.fire("read")
}

// ReadFailed is called when a read got no answer.
func (div *Division) ReadFailed(ticket uint64, account string) {
	if ent := div.endOperation(ticket, account); ent != nil {
		ent.nextReadAt = time.Now().Add(storeRetry)
	}
}

// Written is called with the row's new revision when a transaction took effect.
func (div *Division) Written(ticket uint64, account string, revision uint64) {
	if ent := div.endOperation(ticket, account); ent != nil {
		ent.readRevision = revision
		ent.fire("written")
	}
}

// Conflicted is called when a transaction certainly did not take effect.
func (div *Division) Conflicted(ticket uint64, account string) {
	if ent := div.endOperation(ticket, account); ent != nil {
		ent.fire("conflicted")
	}
}

// Unknown is called when a transaction may have taken effect.
func (div *Division) Unknown(ticket uint64, account string) {
	if ent := div.endOperation(ticket, account); ent != nil {
		ent.fire("unknown")
	}
}

// reportIfLow sends a digest of an account whose bucket runs low, so that other data centres can transfer tokens before
// calls have to wait.
func (div *Division) reportIfLow(ent *entry, now time.Time) {
	own := ent.row.Allocations[div.dataCentre]
	demand, available := div.issuer.Demand(ent.account), div.issuer.Available(ent.account)
	low := demand > 0 && available < lowBucket*own.Burst || demand > own.Rate && available < fallingBucket*own.Burst
	if (low || ent.short) && !ent.exhausted && now.Sub(ent.reportedAt) >= urgentSpacing {
		div.sendEntry(ent, now, nil)
	}
}

// ReportShortage is called when calls wait for tokens of the account that the bucket does not have.
func (div *Division) ReportShortage(account string) {
	if ent := div.entries[account]; ent != nil {
		ent.short = true
		div.reportIfLow(ent, time.Now())
	}
}

// sendEntry sends a digest of one account, with the row if this leader has just changed it.
func (div *Division) sendEntry(ent *entry, now time.Time, row *divisionrow.DivisionRow) {
	dig := div.digest(now)
	den := div.describe(ent, now)
	den.Row = row
	dig.Entries = []demandentry.DemandEntry{den}
	div.Send(dig)
}

func (div *Division) sendDigest(now time.Time) {
	div.digestSent = now
	dig := div.digest(now)
	for _, account := range slices.Sorted(maps.Keys(div.entries)) {
		dig.Entries = append(dig.Entries, div.describe(div.entries[account], now))
	}
	div.Send(dig)
}

func (div *Division) digest(now time.Time) demanddigest.DemandDigest {
	dig := demanddigest.DemandDigest{DataCentre: div.dataCentre, Epoch: div.epoch, LastReceived: map[string]time.Duration{}}
	div.lastSent = max(div.lastSent+1, now.Sub(div.began))
	dig.Sent = div.lastSent
	for name, pee := range div.peers {
		dig.LastReceived[name] = pee.lastSent
	}
	return dig
}

func (div *Division) describe(ent *entry, now time.Time) demandentry.DemandEntry {
	den := demandentry.DemandEntry{
		Account: ent.account, Demand: div.issuer.Demand(ent.account), Available: div.issuer.Available(ent.account),
		Short: ent.short, Revision: ent.revision,
	}
	ent.short, ent.reportedAt = false, now
	return den
}
