package membership_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/member"
	"flamingoreach/core/membership"
	"flamingoreach/core/membership/memberrow"
	"flamingoreach/core/membership/probe"
	"flamingoreach/core/membership/update"
)

// Guards against rows of members that have left which a restored table has again and nobody deletes, because a node that has
// just started and does not know them acts for the data centre, and against nodes that all read the table for that.
func TestRowsOfMembersThatLeftAreDeletedAgainAfterARestore(t *testing.T) {
	for firstStarted, cleansUp := range map[time.Duration]bool{time.Second: true, time.Minute: false} {
		synctest.Test(t, func(t *testing.T) {
			now := time.Now()
			mem := func(id string, port uint16, age time.Duration) member.Member {
				peer := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
				return member.Member{ID: id, Peer: peer, DataCentre: "x", Incarnation: 1, Started: now.Add(-age)}
			}
			first, left := mem("a", 1, firstStarted), mem("c", 3, time.Minute)
			lis := membership.New(mem("b", 2, time.Minute), nil)
			var deleted, written []string
			lis.DeleteRow = func(id string) { deleted = append(deleted, id) }
			lis.WriteRow = func(row memberrow.Row) { written = append(written, row.Member.ID) }
			rows := []memberrow.Row{{Member: first, Refreshed: now}, {Member: left, Refreshed: now}}
			lis.RowsRead(rows)
			lis.ProbeReceived(probe.Probe{Updates: []update.Update{{Member: left, Liveness: "left"}}})
			lis.Tick()
			lis.RowWritten()
			lis.RowsRead(rows)
			require.Empty(t, deleted, "another node acts for the data centre")

			require.Equal(t, cleansUp, lis.RepeatRow())
			lis.RowsRead(rows)
			lis.Tick()
			require.Equal(t, []string{"b", "b"}, written)
			lis.RowWritten()
			deleted = nil
			lis.RowsRead(rows)
			lis.RowsRead(rows)
			require.Equal(t, cleansUp, len(deleted) == 1, "%v", deleted)

			deleted = nil
			lis.Leave()
			require.False(t, lis.RepeatRow())
			require.Equal(t, []string{"b", "b"}, deleted, "the own row as well, which may be there again")
		})
	}
}
