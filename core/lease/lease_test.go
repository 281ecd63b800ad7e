package lease_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/grant"
	"flamingoreach/core/leader"
	"flamingoreach/core/lease"
)

var (
	address = netip.MustParseAddrPort("127.0.0.1:7000")
	members = []string{"a", "b", "c"}
)

// store holds the last operation that a lease has started; the test answers it.
type store struct {
	lease    *lease.Lease
	ticket   uint64
	expected uint64
	value    leader.Leader
	writes   int
}

func newStore() *store {
	sto := &store{lease: lease.New("a", address)}
	sto.lease.Members = func() []string { return members }
	sto.lease.Read = func(ticket uint64) { sto.ticket = ticket }
	sto.lease.Write = func(ticket, expected uint64, value leader.Leader) {
		sto.ticket, sto.expected, sto.value = ticket, expected, value
		sto.writes++
	}
	return sto
}

// challenge answers each read with the same row of another holder until the lease writes its own claim.
func (sto *store) challenge(t *testing.T) {
	other := leader.Leader{Holder: "z", Epoch: 4, Renewals: 9}
	for sto.writes == 0 {
		sto.lease.Tick()
		sto.lease.RowRead(sto.ticket, 7, other)
		time.Sleep(100 * time.Millisecond)
	}
	require.EqualValues(t, 7, sto.expected)
	require.EqualValues(t, 5, sto.value.Epoch)
}

func TestAChallengerWaitsForTheLeaseAndItsMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := newStore()
		begin := time.Now()
		sto.challenge(t)
		require.Greater(t, time.Since(begin), lease.Duration+lease.ClockMargin)
	})
}

func TestAClaimWhoseAnswerWasLostIsConfirmedByReadingAndRunsFromItsSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := newStore()
		sto.challenge(t)
		sent := time.Now().Add(-100 * time.Millisecond)
		claim := sto.value
		time.Sleep(time.Second)
		sto.lease.Unknown(sto.ticket)
		require.Equal(t, "challenging", sto.lease.State())
		sto.lease.RowRead(sto.ticket, 8, claim)
		require.Equal(t, "preparing", sto.lease.State())
		until := sent.Add(lease.Duration)
		require.True(t, sto.lease.Leads(until.Add(-time.Nanosecond)))
		require.False(t, sto.lease.Leads(until))
	})
}

func TestARenewalWithoutAnAnswerDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := newStore()
		sto.challenge(t)
		sent := time.Now().Add(-100 * time.Millisecond)
		sto.lease.Written(sto.ticket, 8)
		time.Sleep(lease.RenewalInterval)
		sto.lease.Tick()
		require.Equal(t, 2, sto.writes)
		sto.lease.Unknown(sto.ticket)
		sto.lease.RowRead(sto.ticket, 8, leader.Leader{Holder: "a", Epoch: 5, Address: address, Renewals: 1})
		require.False(t, sto.lease.Leads(sent.Add(lease.Duration)))
	})
}

func TestARenewalCountsFromItsSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := newStore()
		sto.challenge(t)
		sto.lease.Written(sto.ticket, 8)
		time.Sleep(lease.RenewalInterval)
		sto.lease.Tick()
		until := time.Now().Add(lease.Duration)
		time.Sleep(time.Second)
		sto.lease.Written(sto.ticket, 9)
		require.True(t, sto.lease.Leads(until.Add(-time.Nanosecond)))
		require.False(t, sto.lease.Leads(until))
	})
}

func TestANewLeaderGrantsOnlyAfterAllEarlierTokensHaveExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := newStore()
		sto.challenge(t)
		sto.lease.Written(sto.ticket, 8)
		sto.lease.Tick()
		_, known := sto.lease.GrantsFrom()
		require.False(t, known, "most members may still answer the former leader")
		sto.lease.MemberAnswered("b", 5, 0, time.Second)
		leftEarlier := time.Now().Add(-time.Second)
		sto.lease.Tick()
		from, known := sto.lease.GrantsFrom()
		require.True(t, known)
		require.False(t, from.Before(leftEarlier.Add(lease.AnswerWindow+grant.TokenValidity)))
	})
}

func TestALeaderWithoutRenewalNeedsAMajorityAndNoHigherEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sto := newStore()
		sto.challenge(t)
		sto.lease.Written(sto.ticket, 8)
		_, began := sto.lease.Own()
		for range 100 {
			sto.lease.MemberAnswered("b", 5, time.Since(began), time.Minute)
			sto.lease.Tick()
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, "carrying", sto.lease.State())
		require.True(t, sto.lease.Leads(time.Now()))
		last := time.Now()
		require.False(t, sto.lease.Leads(last.Add(lease.AnswerWindow)), "one of three is not a majority")
		sto.lease.MemberAnswered("c", 6, 0, 0)
		require.False(t, sto.lease.Leads(time.Now()))
		require.Equal(t, "following", sto.lease.State())
	})
}
