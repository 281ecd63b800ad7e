package keyowner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/call"
	"flamingoreach/core/keyowner"
	"flamingoreach/core/member"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
)

func members(ids ...int) []member.Member {
	var list []member.Member
	for _, id := range ids {
		list = append(list, member.Member{ID: fmt.Sprint("m", id), State: "serving"})
	}
	return list
}

func callWithKey(key string) call.Call {
	return call.Call{Account: "a", Route: "confirms", IdempotencyKey: key}
}

// keyAt returns a UUIDv7 with the given time, which is read from the synctest bubble's clock.
func keyAt(at time.Time, number byte) string {
	var id uuid.UUID
	milliseconds := at.UnixMilli()
	for index := range 6 {
		id[index] = byte(milliseconds >> (8 * (5 - index)))
	}
	id[6], id[8], id[15] = 0x70, 0x80, number
	return id.String()
}

func TestOnlyTheKeysOfALostMemberAreUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := members(0, 1, 2, 3)
		own := (&keyowner.Owners{}).WithMembers(all)
		time.Sleep(time.Minute)
		after := own.WithMembers(members(0, 1, 2))
		lost, kept := 0, 0
		for number := range byte(200) {
			cal := callWithKey(keyAt(time.Now(), number))
			before, _ := keyowner.Of(cal, all)
			now, _ := keyowner.Of(cal, members(0, 1, 2))
			require.Nil(t, own.Check(cal, before.ID))
			ref := after.Check(cal, now.ID)
			if before.ID == "m3" {
				lost++
				require.Equal(t, reason.HomeLost, ref.Reason)
				require.Equal(t, outcome.Unknown, ref.Outcome)
				continue
			}
			kept++
			require.Equal(t, before.ID, now.ID)
			require.Nil(t, ref)
		}
		require.Positive(t, lost)
		require.Greater(t, kept, lost)

		time.Sleep(time.Minute)
		for number := range byte(50) {
			fresh := callWithKey(keyAt(time.Now(), number))
			now, _ := keyowner.Of(fresh, members(0, 1, 2))
			require.Nil(t, after.Check(fresh, now.ID), "a key made after the loss runs")
		}
		refused := 0
		for number := range 50 {
			cal := callWithKey(fmt.Sprint("order-", number))
			now, _ := keyowner.Of(cal, members(0, 1, 2))
			if after.Check(cal, now.ID) != nil {
				refused++
			}
		}
		require.Positive(t, refused, "a key without a time may be older than the loss")
	})
}

func TestOnlyTheOwnerAcceptsAKey(t *testing.T) {
	own := (&keyowner.Owners{}).WithMembers(members(0, 1))
	cal := callWithKey("k")
	mem, _ := keyowner.Of(cal, members(0, 1))
	for _, other := range members(0, 1) {
		ref := own.Check(cal, other.ID)
		if other.ID == mem.ID {
			require.Nil(t, ref)
			continue
		}
		require.Equal(t, reason.NotHome, ref.Reason)
		require.Equal(t, outcome.NotRun, ref.Outcome)
	}
	require.Nil(t, own.Check(call.Call{}, "m0"), "calls without a key have no owner")

	draining := members(0, 1)
	for index := range draining {
		if draining[index].ID == mem.ID {
			draining[index].State = "draining"
		}
	}
	for _, other := range members(0, 1) {
		require.Nil(t, own.WithMembers(draining).Check(cal, other.ID), "other members act for an owner that drains")
	}
}
