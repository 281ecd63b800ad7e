package pick_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/member"
	"flamingoreach/core/pick"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

const routeName = "quotes"

// threeMembers returns near in the picker's own data centre, beside in its region and far in another region.
func threeMembers() []member.Member {
	return []member.Member{
		{ID: "near", Region: "r", DataCentre: "d"}, {ID: "beside", Region: "r", DataCentre: "e"}, {ID: "far", Region: "s", DataCentre: "f"},
	}
}

func choose(t *testing.T, pic *pick.Picker, tried ...string) string {
	t.Helper()
	mem, found := pic.ChooseByExpectedLatency(call.Call{Route: routeName}, threeMembers(), tried)
	require.True(t, found)
	return mem.ID
}

func answered(pic *pick.Picker, id string, latency time.Duration, load float64) {
	pic.RecordSent(id)
	pic.RecordAnswer(id, "", answer.Answer{Load: load}, latency)
	pic.RecordRouteLatency(id, routeName, latency)
}

func TestTheNearestMemberIsChosenIfNothingElseDiffers(t *testing.T) {
	pic := newPicker()
	require.Equal(t, "near", choose(t, pic), "nothing is known")
	require.Equal(t, "beside", choose(t, pic, "near"))
	require.Equal(t, "far", choose(t, pic, "near", "beside"))
	_, found := pic.ChooseByExpectedLatency(call.Call{}, threeMembers(), []string{"near", "beside", "far"})
	require.False(t, found)
}

func TestCallsAvoidASlowOrOverloadedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pic := newPicker()
		answered(pic, "near", 500*time.Millisecond, 0.5)
		answered(pic, "beside", 100*time.Millisecond, 0.5)
		require.Equal(t, "beside", choose(t, pic))
		answered(pic, "beside", 100*time.Millisecond, 2.5)
		require.Equal(t, "near", choose(t, pic), "an overloaded member is worse than a slow one")
		answered(pic, "near", 5*time.Second, 2.5)
		require.Equal(t, "far", choose(t, pic), "unknown members are expected to be as fast as the best")
		time.Sleep(6 * time.Second)
		require.Equal(t, "near", choose(t, pic), "old latencies no longer count")
	})
}

func TestCallsAvoidAMemberThatFailsSomeOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pic := newPicker()
		for index := range 40 {
			answered(pic, "near", 100*time.Millisecond, 0.2)
			answered(pic, "beside", 100*time.Millisecond, 0.2)
			if index%3 == 0 {
				pic.RecordSent("near")
				pic.RecordAnswer("near", "", answer.Answer{Refusal: refusal.Unknown(reason.AnswerTruncated, "test")}, time.Millisecond)
			}
		}
		require.Equal(t, "beside", choose(t, pic))
		time.Sleep(20 * time.Second)
		require.Equal(t, "near", choose(t, pic), "the average of failures has decayed, and the member is tried again")
	})
}

func TestRefusalsByAGateAreNotCountedAsFailures(t *testing.T) {
	pic := newPicker()
	for range 40 {
		answered(pic, "near", 100*time.Millisecond, 0.2)
		answered(pic, "beside", 100*time.Millisecond, 0.2)
		pic.RecordSent("near")
		pic.RecordAnswer("near", "", answer.Answer{Refusal: refusal.NotRun(reason.SlotsInUse, "test"), Load: 0.2}, time.Millisecond)
	}
	require.Equal(t, "near", choose(t, pic))
}

func TestNoCallGoesToAnotherRegionIfSpillIsNotAllowed(t *testing.T) {
	pic := newPicker()
	pic.MaySpill = func() bool { return false }
	answered(pic, "near", time.Second, 2)
	answered(pic, "beside", time.Second, 2)
	require.NotEqual(t, "far", choose(t, pic))
}

func TestMembersThatRefuseAllCallsAreChosenAsLastResort(t *testing.T) {
	pic := newPicker()
	for _, mem := range threeMembers() {
		pic.RecordSent(mem.ID)
		pic.RecordAnswer(mem.ID, "", answer.Answer{Refusal: refusal.NotRun(reason.Draining, "test")}, time.Millisecond)
	}
	require.Equal(t, "near", choose(t, pic))
}

func TestACallQueuesOnlyAtTheLastMemberOfTheRegion(t *testing.T) {
	pic := newPicker()
	members := threeMembers()
	require.True(t, pic.RefuseWhenFull(members[0], members, []string{"near"}), "another member of the region is untried")
	require.False(t, pic.RefuseWhenFull(members[1], members, []string{"near", "beside"}))
	require.True(t, pic.RefuseWhenFull(members[2], members, []string{"near", "beside", "far"}))
	require.False(t, pic.RefuseWhenFull(members[2], members[2:], []string{"far"}), "the region has no member")
}

func BenchmarkChooseByExpectedLatency(b *testing.B) {
	pic := newPicker()
	var members []member.Member
	for number := range 24 {
		members = append(members, member.Member{ID: fmt.Sprint(number), Region: "r", DataCentre: fmt.Sprint("d", number%4)})
		answered(pic, members[number].ID, 100*time.Millisecond, 0.5)
	}
	b.ReportAllocs()
	for b.Loop() {
		pic.ChooseByExpectedLatency(call.Call{Route: routeName}, members, nil)
	}
}

func TestCallsAvoidAMemberThatIsSilentWithCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pic := newPicker()
		for range 5 {
			answered(pic, "near", 100*time.Millisecond, 0.2)
			answered(pic, "beside", 100*time.Millisecond, 0.2)
		}
		time.Sleep(3 * time.Second)
		pic.RecordSent("near")
		time.Sleep(90 * time.Millisecond)
		require.Equal(t, "near", choose(t, pic), "a call takes as long as the calls before it")
		time.Sleep(160 * time.Millisecond)
		require.Equal(t, "beside", choose(t, pic), "the idle time before the call does not count as silence, the time since does")
		pic.RecordSent("near")
		pic.RecordAnswer("near", "", answer.Answer{Load: 0.2}, 150*time.Millisecond)
		require.Equal(t, "near", choose(t, pic), "the member answers again")
	})
}

func TestACallOfASlowRouteDoesNotCountAsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pic := newPicker()
		answered(pic, "near", 100*time.Millisecond, 0.2)
		answered(pic, "beside", 100*time.Millisecond, 0.2)
		pic.RecordRouteLatency("near", "slow", 2*time.Second)
		pic.RecordSent("near")
		time.Sleep(time.Second)
		require.Equal(t, "near", choose(t, pic), "the call in flight may be one of the slow route")
	})
}
