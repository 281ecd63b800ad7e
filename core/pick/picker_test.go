package pick_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/locality"
	"flamingoreach/core/member"
	"flamingoreach/core/pick"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

func members(count int) []member.Member {
	var list []member.Member
	for index := range count {
		list = append(list, member.Member{ID: fmt.Sprint("m", index), Region: "r", DataCentre: "d", Slots: 10})
	}
	return list
}

func newPicker() *pick.Picker {
	pic := pick.New(locality.Locality{Region: "r", DataCentre: "d"})
	pic.Random = func(int) int { return 0 }
	return pic
}

func fail(pic *pick.Picker, id string, list []member.Member, times int) {
	for range times {
		pic.RecordSent(id)
		pic.RecordLost(id, list)
	}
}

func TestEjectionIsLimitedToAFractionOfAService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pic := newPicker()
		list := members(4)
		for _, mem := range list {
			fail(pic, mem.ID, list, 10)
		}
		require.Equal(t, uint64(1), pic.Ejections())
		_, found := pic.Choose(call.Call{}, list, []string{"m1", "m2", "m3"})
		require.False(t, found, "the ejected member is not chosen")
		time.Sleep(3 * time.Second)
		mem, found := pic.Choose(call.Call{}, list, []string{"m1", "m2", "m3"})
		require.True(t, found, "the ejection ends")
		require.Equal(t, "m0", mem.ID)
	})
}

func TestOtherRegionIsChosenOnlyIfNearbyMembersAreTriedAndSpillIsAllowed(t *testing.T) {
	pic := newPicker()
	list := append(members(1), member.Member{ID: "far", Region: "other", DataCentre: "x", Slots: 10})
	mem, _ := pic.Choose(call.Call{}, list, nil)
	require.Equal(t, "m0", mem.ID)
	mem, _ = pic.Choose(call.Call{}, list, []string{"m0"})
	require.Equal(t, "far", mem.ID)
	pic.MaySpill = func() bool { return false }
	_, found := pic.Choose(call.Call{}, list, []string{"m0"})
	require.False(t, found)
}

func TestCallsGoToAnotherRegionIfQueuesAreLongAndSpillIsAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pic := newPicker()
		list := append(members(1), member.Member{ID: "far", Region: "other", DataCentre: "x", Slots: 10})
		pic.RecordSent("m0")
		pic.RecordAnswer("m0", "", answer.Answer{Load: 2}, time.Millisecond)
		mem, _ := pic.Choose(call.Call{}, list, nil)
		require.Equal(t, "far", mem.ID)
		pic.MaySpill = func() bool { return false }
		mem, _ = pic.Choose(call.Call{}, list, nil)
		require.Equal(t, "m0", mem.ID)
		pic.MaySpill = func() bool { return true }
		pic.RecordSent("far")
		pic.RecordAnswer("far", "", answer.Answer{Load: 0.9}, time.Millisecond)
		mem, _ = pic.Choose(call.Call{}, list, nil)
		require.Equal(t, "m0", mem.ID, "the other region has a high load too")
	})
}

func TestMembersThatShedAPriorityAreNotChosenUntilTheReportIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pic := newPicker()
		list := members(1)
		pic.RecordSent("m0")
		pic.RecordAnswer("m0", "", answer.Answer{AdmissionLevel: 5}, time.Millisecond)
		_, found := pic.Choose(call.Call{Priority: 4}, list, nil)
		require.False(t, found)
		_, found = pic.Choose(call.Call{Priority: 5}, list, nil)
		require.True(t, found)
		_, found = pic.Choose(call.Call{Account: "other", Priority: 4}, list, nil)
		require.True(t, found, "a level holds only for the client account that it was reported for")
		time.Sleep(time.Second)
		_, found = pic.Choose(call.Call{Priority: 4}, list, nil)
		require.True(t, found, "an old report no longer counts")
	})
}

func TestAMemberThatRefusesAllCallsIsNotChosenForAShortTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pic := newPicker()
		list := append(members(1), member.Member{ID: "next", Region: "r", DataCentre: "e", Slots: 10})
		pic.RecordSent("m0")
		pic.RecordAnswer("m0", "", answer.Answer{Refusal: refusal.NotRun(reason.BackendServerDown, "test")}, time.Millisecond)
		mem, _ := pic.Choose(call.Call{}, list, nil)
		require.Equal(t, "next", mem.ID)
		time.Sleep(time.Second)
		mem, _ = pic.Choose(call.Call{}, list, nil)
		require.Equal(t, "m0", mem.ID)
	})
}

func TestIdempotencyKeyHasOneOwner(t *testing.T) {
	pic := newPicker()
	list := members(4)
	cal := call.Call{Account: "a", IdempotencyKey: "k"}
	owner, _ := pic.Choose(cal, list, nil)
	again, _ := pic.Choose(cal, append(list[2:], list[:2]...), nil)
	require.Equal(t, owner.ID, again.ID)
	next, _ := pic.Choose(cal, list, []string{owner.ID})
	nextAgain, _ := pic.Choose(cal, append(list[2:], list[:2]...), []string{owner.ID})
	require.NotEqual(t, owner.ID, next.ID)
	require.Equal(t, next.ID, nextAgain.ID, "all nodes agree on the next owner")
}

func BenchmarkChoose(b *testing.B) {
	pic := pick.New(locality.Locality{Region: "r", DataCentre: "d"})
	list := members(8)
	b.ReportAllocs()
	for b.Loop() {
		pic.Choose(call.Call{}, list, nil)
	}
}
