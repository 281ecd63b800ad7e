package pick_test

import (
	"fmt"
	"math/rand/v2"
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

const (
	coldRate = 7.8
	callers  = 40
)

// serviceMembers returns members of one data centre, of which the first ones are cold.
func serviceMembers(count, cold int) []member.Member {
	var members []member.Member
	for index := range count {
		mem := member.Member{ID: fmt.Sprint("m", index), Region: "r", DataCentre: "d", Slots: 100}
		if index < cold {
			mem.ColdRate = coldRate
		}
		members = append(members, mem)
	}
	return members
}

func coldPickers() []*pick.Picker {
	pickers := make([]*pick.Picker, 0, callers)
	for range callers {
		pic := pick.New(locality.Locality{Region: "r", DataCentre: "d"})
		pic.Random = rand.IntN
		pic.SetCallers(callers)
		pickers = append(pickers, pic)
	}
	return pickers
}

// callAll makes each picker choose a member for ten calls a second and returns how many calls each member got in each second.
func callAll(pickers []*pick.Picker, members []member.Member, seconds int) []map[string]int {
	var counts []map[string]int
	for range seconds {
		count := map[string]int{}
		for range 10 {
			for _, pic := range pickers {
				mem, _ := pic.ChooseByExpectedLatency(call.Call{Route: routeName}, members, nil)
				answered(pic, mem.ID, 10*time.Millisecond, 0)
				count[mem.ID]++
			}
			time.Sleep(100 * time.Millisecond)
		}
		counts = append(counts, count)
	}
	return counts
}

// Guards against ingress nodes that send a cold member the same part as the others, or one call each when it becomes cold:
// its gate would refuse most of them.
func TestAllNodesTogetherSendAColdMemberWhatItCanHandle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pickers, members := coldPickers(), serviceMembers(8, 0)
		before := callAll(pickers, members, 1)[0]
		require.Greater(t, before["m0"], 30, "a warm member gets an eighth of 400 calls")
		total := 0
		for _, count := range callAll(pickers, serviceMembers(8, 1), 5) {
			require.LessOrEqual(t, float64(count["m0"]), 2*coldRate)
			total += count["m0"]
		}
		require.InDelta(t, 5*coldRate, total, 1.5*coldRate)
		require.Greater(t, callAll(pickers, members, 1)[0]["m0"], 30, "the member is warm again")
	})
}

// Guards against calls without a member where all members are cold, and against a cold member that is preferred to a warm one
// which is farther away or slower.
func TestColdMembersAreChosenWhenThereAreNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pic := newPicker()
		pic.SetCallers(callers)
		members := serviceMembers(2, 2)
		for range 10 {
			mem, found := pic.ChooseByExpectedLatency(call.Call{Route: routeName}, members, nil)
			require.True(t, found)
			pic.RecordSent(mem.ID)
		}
		members = append(members, member.Member{ID: "far", Region: "s", DataCentre: "f"})
		mem, _ := pic.ChooseByExpectedLatency(call.Call{Route: routeName}, members, nil)
		require.Equal(t, "far", mem.ID)
		mem, found := pic.ChooseByExpectedLatency(call.Call{Route: routeName}, members, []string{"far", "m0"})
		require.True(t, found)
		require.Equal(t, "m1", mem.ID)
	})
}

// Guards against calls that a full warm member refuses although they could wait there, because a cold member is untried: only a
// few of them could wait at that one, and the others would fail.
func TestACallQueuesAtTheLastWarmMember(t *testing.T) {
	pic, members := newPicker(), serviceMembers(3, 1)
	require.True(t, pic.RefuseWhenFull(members[1], members, []string{"m1"}), "another warm member is untried")
	require.False(t, pic.RefuseWhenFull(members[2], members, []string{"m1", "m2"}), "only a cold member is untried")
	require.True(t, pic.RefuseWhenFull(members[0], members, []string{"m0", "m1"}), "a cold member does not queue before a warm one")
	members = serviceMembers(2, 2)
	require.True(t, pic.RefuseWhenFull(members[0], members, []string{"m0"}), "another cold member is untried")
	require.False(t, pic.RefuseWhenFull(members[1], members, []string{"m0", "m1"}))
}

// Guards against a node that goes on sending calls to a member which refuses them as cold, before it knows so as a member.
func TestARefusalAsColdCountsForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pic, members := newPicker(), serviceMembers(2, 0)
		pic.RecordSent("m0")
		pic.RecordAnswer("m0", "", answer.Answer{Refusal: refusal.NotRun(reason.BackendServerCold, "test")}, time.Millisecond)
		for range 10 {
			mem, _ := pic.ChooseByExpectedLatency(call.Call{Route: routeName}, members, nil)
			require.Equal(t, "m1", mem.ID)
		}
		time.Sleep(250 * time.Millisecond)
		mem, _ := pic.ChooseByExpectedLatency(call.Call{Route: routeName}, members, []string{"m1"})
		require.Equal(t, "m0", mem.ID)
	})
}
