package membership

import (
	"time"

	"flamingoreach/core/membership/memberrow"
	"flamingoreach/core/membership/news"
)

const (
	rowInterval = 120 * time.Second
	// rowRetryTime is long enough that a whole fleet's retries stay within what the platform takes.
	rowRetryTime = 60 * time.Second
	// rowLifetime is the age up to which a row's member is taken to be alive.
	rowLifetime = 3 * rowInterval
	// rowWasteTime is the age from which a row is deleted by whoever reads it.
	rowWasteTime = time.Hour
	jitterSteps  = 1000
)

// Joined takes in the rows that this node read from the table, at its start or later.
func (lis *List) Joined(rows []memberrow.Row) {
	now := lis.begin()
	var found []*entry
	for _, row := range rows {
		age := now.Sub(row.Refreshed)
		switch {
		case row.Member.ID == lis.self.member.ID:
		case lis.outlived(row):
			// The deletion at the member's death failed or was lost.
			lis.counts.RowsDeleted++
			lis.DeleteRow(row.Member.ID)
		case age < rowLifetime:
			_, known := lis.entries[row.Member.ID]
			lis.hear(news.News{Member: row.Member, Liveness: alive})
			if ent := lis.entries[row.Member.ID]; !known && ent != nil {
				found = append(found, ent)
			}
		case age >= rowWasteTime && row.Member.DataCentre == lis.self.member.DataCentre:
			lis.counts.RowsDeleted++
			lis.DeleteRow(row.Member.ID)
		}
	}
	lis.greet(found, now)
}

// outlived reports whether a row is that of a dead member and this node's to delete.
func (lis *List) outlived(row memberrow.Row) bool {
	ent, known := lis.entries[row.Member.ID]
	return known && !ent.isLive() && row.Member.Incarnation <= ent.member.Incarnation &&
		ent.member.DataCentre == lis.self.member.DataCentre && lis.isActing()
}

// RowFailed says that the last write of this node's row failed or is unknown.
func (lis *List) RowFailed() {
	now := lis.begin()
	lis.nextRow = now.Add(lis.jitter(rowRetryTime))
}

func (lis *List) refreshRow(now time.Time) {
	if now.Before(lis.nextRow) {
		return
	}
	lis.nextRow = now.Add(lis.jitter(rowInterval))
	lis.counts.RowsWritten++
	lis.WriteRow(memberrow.Row{Member: lis.self.member, Refreshed: now})
}

// jitter returns the span changed by up to a quarter either way.
func (lis *List) jitter(span time.Duration) time.Duration {
	return span*3/4 + span/2*time.Duration(lis.Random(jitterSteps))/jitterSteps
}
