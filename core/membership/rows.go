package membership

import (
	"time"

	"flamingoreach/core/membership/memberrow"
	"flamingoreach/core/membership/update"
)

const (
	// rowInterval is the average time between two writes of this node's row.
	rowInterval = 120 * time.Second
	// rowRetryTime is the average time from a failed write of this node's row to the next one. It is long enough for
	// the retries of the whole fleet to stay within the request rate that the platform accepts.
	rowRetryTime = 60 * time.Second
	// While this node's row was never written, firstRowRetryTime is the average time from the first failed write to the next
	// one. It doubles with each failure up to longestFirstRowRetryTime. Other nodes that start find this one by its row only.
	firstRowRetryTime        = 500 * time.Millisecond
	longestFirstRowRetryTime = 4 * time.Second
	// rowLifetime is the age of a row up to which its member is taken to be alive.
	rowLifetime = 3 * rowInterval
	// rowRetention is the age from which a row is deleted by any node of its data centre that reads it.
	rowRetention = time.Hour
	// maxClockLead is how far ahead of this host's clock that of a row's writer may be. A row from further ahead would be
	// taken to be fresh for as long.
	maxClockLead = time.Minute
	// newcomerTime is the age up to which a member may have started after the table came back from an older copy. Such a
	// member does not clean up. Other nodes learn of the restore within 8 s, and act up to 2 s later.
	newcomerTime = 10 * time.Second
	// jitterSteps is the number of different values of a random time.
	jitterSteps = 1000
)

// RowsRead handles the rows that this node has read from the table, at its start or later.
func (lis *List) RowsRead(rows []memberrow.Row) {
	now := lis.begin()
	var found []*entry
	for _, row := range rows {
		age := now.Sub(row.Refreshed)
		switch {
		case row.Member.ID == lis.self.member.ID, age < -maxClockLead:
		case lis.shouldDeleteRow(row):
			// The row should have been deleted when the member died; that deletion failed or was lost.
			lis.counts.RowsDeleted++
			lis.DeleteRow(row.Member.ID)
		case age < rowLifetime:
			_, known := lis.entries[row.Member.ID]
			lis.applyUpdate(update.Update{Member: row.Member, Liveness: alive})
			if ent := lis.entries[row.Member.ID]; !known && ent != nil {
				found = append(found, ent)
			}
		case age >= rowRetention && row.Member.DataCentre == lis.self.member.DataCentre:
			lis.counts.RowsDeleted++
			lis.DeleteRow(row.Member.ID)
		}
	}
	if lis.rowWritten {
		lis.repeatsDeletions = false
	}
	lis.contactMembers(found, now)
}

// shouldDeleteRow reports whether a row belongs to a member that has died or left, and this node, as the acting leader
// of the member's data centre, must delete it. A row with a newer incarnation than the entry stays: the member may have
// written it since.
func (lis *List) shouldDeleteRow(row memberrow.Row) bool {
	ent, known := lis.entries[row.Member.ID]
	return known && !ent.isLive() && row.Member.Incarnation <= ent.member.Incarnation &&
		ent.member.DataCentre == lis.self.member.DataCentre && (lis.repeatsDeletions || lis.isActingLeader())
}

// RowFailed reports that the last write of this node's row failed or has an unknown result.
func (lis *List) RowFailed() {
	now := lis.begin()
	retry := rowRetryTime
	if !lis.rowWritten {
		lis.rowRetry = min(max(2*lis.rowRetry, firstRowRetryTime), longestFirstRowRetryTime)
		retry = lis.rowRetry
	}
	lis.nextRow = now.Add(lis.jitter(retry))
}

// RepeatRow has this node's row written again at the next Tick, because the table may have lost it. After Leave it deletes
// the row again, which may be there again. It reports whether this node must read the rows, because it acts for its data
// centre: at the next call of RowsRead after its row was written it deletes the rows of members that have died or left.
func (lis *List) RepeatRow() (mustRead bool) {
	now := lis.begin()
	if lis.leaving {
		lis.counts.RowsDeleted++
		lis.DeleteRow(lis.self.member.ID)
		return false
	}
	// Until it is written, the row is missing for nodes that start, as before the first write.
	lis.rowWritten, lis.rowRetry, lis.nextRow = false, 0, now
	lis.repeatsDeletions = lis.repeatsDeletions || lis.isActingLeader() || lis.isFirstButNewcomers(now)
	return lis.repeatsDeletions
}

// isFirstButNewcomers reports whether this node would act for its data centre without the members that have just started
// and do not know who has died or left.
func (lis *List) isFirstButNewcomers(now time.Time) bool {
	for _, ent := range lis.dataCentre(lis.self.member.DataCentre).live {
		if ent == lis.self {
			return true
		}
		if now.Sub(ent.member.Started) > newcomerTime {
			return false
		}
	}
	return false
}

// RowWritten reports that a write of this node's row has succeeded.
func (lis *List) RowWritten() { lis.rowWritten = true }

func (lis *List) refreshRow(now time.Time) {
	if now.Before(lis.nextRow) {
		return
	}
	lis.nextRow = now.Add(lis.jitter(rowInterval))
	lis.counts.RowsWritten++
	lis.WriteRow(memberrow.Row{Member: lis.self.member, Refreshed: now})
}

// jitter returns a random duration from 3/4 to 5/4 of the span.
func (lis *List) jitter(span time.Duration) time.Duration {
	return span*3/4 + span/2*time.Duration(lis.Random(jitterSteps))/jitterSteps
}
