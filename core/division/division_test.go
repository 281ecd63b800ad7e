package division_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/allocation"
	"flamingoreach/core/demanddigest"
	"flamingoreach/core/demandentry"
	"flamingoreach/core/division"
	"flamingoreach/core/divisionrow"
	"flamingoreach/core/grant"
	"flamingoreach/core/leaderfence"
)

// leader is the leader of data centre "x"; the test answers its reads and writes.
type leader struct {
	division *division.Division
	issuer   *grant.Issuer
	ticket   uint64
	reads    int
	expected uint64
	written  []divisionrow.DivisionRow
	fences   []leaderfence.Fence
	// sinceRenewal is the time since the last renewal of the leader's lease.
	sinceRenewal time.Duration
}

func newLeader() *leader {
	lea := &leader{issuer: grant.New(1, time.Now())}
	lea.issuer.Leads = func(time.Time) bool { return true }
	lea.issuer.Open(time.Now())
	lea.division = division.New("x", 1, time.Now(), lea.issuer)
	lea.division.Fence = func() (uint64, bool) { return 3, true }
	lea.division.RenewedAt = func() time.Time { return time.Now().Add(-lea.sinceRenewal) }
	lea.division.Read = func(ticket uint64, _ string) { lea.ticket, lea.reads = ticket, lea.reads+1 }
	lea.division.Write = func(ticket uint64, _ string, expected uint64, value divisionrow.DivisionRow, fences []leaderfence.Fence) {
		lea.ticket, lea.expected, lea.fences = ticket, expected, fences
		lea.written = append(lea.written, value.Clone())
	}
	lea.division.SetDataCentres([]string{"x", "y"})
	lea.division.SetAccount("one", allocation.Allocation{Rate: 100, Burst: 100})
	lea.division.Tick()
	lea.division.RowRead(lea.ticket, "one", 1, divisionrow.Split(100, 100, []string{"x", "y"}))
	return lea
}

// reportDemandOfY delivers a digest by which data centre "y" has demand and is short of tokens, while "x" has no demand.
func (lea *leader) reportDemandOfY() {
	time.Sleep(time.Second)
	lea.division.ReceiveDigest(demanddigest.DemandDigest{
		DataCentre: "y", Epoch: 1, Sent: time.Second,
		Entries: []demandentry.DemandEntry{{Account: "one", Demand: 90, Short: true, Revision: 1}},
	})
}

func TestTheDonorLowersItsAllocationBeforeItWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lea := newLeader()
		lea.reportDemandOfY()
		require.Len(t, lea.written, 1)
		own, other := lea.written[0].Allocations["x"], lea.written[0].Allocations["y"]
		require.Less(t, own.Burst, 50.0)
		require.InDelta(t, 100, own.Burst+other.Burst, 1e-9)
		require.InDelta(t, 100, own.Rate+other.Rate, 1e-9)
		require.Positive(t, other.TokensReceived)
		require.LessOrEqual(t, float64(other.TokensReceived), other.Burst-50)
		require.LessOrEqual(t, lea.issuer.TotalTokens("one"), own.Burst)
		require.EqualValues(t, 1, lea.expected)
		require.Equal(t, []leaderfence.Fence{{DataCentre: "x", Revision: 3}}, lea.fences)
	})
}

func TestAnUnknownWriteKeepsTheAllocationLowUntilItsOutcomeIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lea := newLeader()
		lea.reportDemandOfY()
		lea.division.Unknown(lea.ticket, "one")
		lea.division.Tick()
		require.Equal(t, 2, lea.reads)
		lea.division.RowRead(lea.ticket, "one", 1, divisionrow.Split(100, 100, []string{"x", "y"}))
		time.Sleep(time.Second)
		require.LessOrEqual(t, lea.issuer.TotalTokens("one"), lea.written[0].Allocations["x"].Burst)
		lea.division.Tick()
		require.Len(t, lea.written, 2, "the row is unchanged, so the write may still take effect")
		require.Equal(t, lea.written[0], lea.written[1])
		time.Sleep(time.Second)
		require.LessOrEqual(t, lea.issuer.TotalTokens("one"), lea.written[0].Allocations["x"].Burst)
		lea.division.Conflicted(lea.ticket, "one")
		lea.division.Tick()
		lea.division.RowRead(lea.ticket, "one", 2, lea.written[0])
		require.Equal(t, lea.written[0].Allocations["x"], lea.division.Allocation("one"))
		require.LessOrEqual(t, lea.issuer.TotalTokens("one"), lea.written[0].Allocations["x"].Burst)
	})
}

func TestALowerRateAppliesAtOnceAndAHigherOneOnlyOnceTheRowIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lea := newLeader()
		time.Sleep(2 * time.Second)
		lea.division.SetAccount("one", allocation.Allocation{Rate: 10, Burst: 10})
		require.InDelta(t, 5, lea.issuer.TotalTokens("one"), 1e-6)
		lea.division.SetAccount("one", allocation.Allocation{Rate: 1000, Burst: 1000})
		time.Sleep(2 * time.Second)
		require.InDelta(t, 50, lea.issuer.TotalTokens("one"), 1e-6)
		lea.division.Tick()
		lea.division.Written(lea.ticket, "one", 2)
		time.Sleep(2 * time.Second)
		require.InDelta(t, 500, lea.issuer.TotalTokens("one"), 1e-6)
	})
}

func TestAFirstRowIsCreatedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lea := newLeader()
		lea.division.SetAccount("two", allocation.Allocation{Rate: 30, Burst: 30})
		lea.division.Tick()
		lea.division.RowRead(lea.ticket, "two", 0, divisionrow.DivisionRow{})
		lea.division.Tick()
		require.Zero(t, lea.expected)
		require.Equal(t, divisionrow.Split(30, 30, []string{"x", "y"}), lea.written[0])
		lea.division.Conflicted(lea.ticket, "two")
		require.Zero(t, lea.issuer.TotalTokens("two"))
	})
}

func TestNothingIsTransferredWhileTheTableMayBeUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lea := newLeader()
		lea.sinceRenewal = 3 * time.Second
		lea.reportDemandOfY()
		require.Empty(t, lea.written)
		require.InDelta(t, 50, lea.issuer.TotalTokens("one"), 1e-6, "the allocation of data centre x is unchanged")
		lea.sinceRenewal = 0
		lea.division.Tick()
		require.Len(t, lea.written, 1)
	})
}

func TestADataCentreWithoutDemandKeepsTokensForAFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lea := newLeader()
		for revision := uint64(2); revision < 20; revision++ {
			written := len(lea.written)
			lea.reportDemandOfY()
			if len(lea.written) == written {
				break
			}
			lea.division.Written(lea.ticket, "one", revision)
		}
		require.InDelta(t, 9, lea.division.Allocation("one").Burst, 1)
	})
}
