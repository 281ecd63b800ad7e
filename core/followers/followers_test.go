package followers_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/followers"
	"flamingoreach/core/followers/confirmation"
	"flamingoreach/core/member"
)

const askInterval = 400 * time.Millisecond

func newFollowers(id, dataCentre string) *followers.Followers {
	return followers.New(id, dataCentre, func() time.Duration { return askInterval })
}

func membersOf(dataCentre string, size int) []member.Member {
	var members []member.Member
	for number := range size {
		members = append(members, member.Member{ID: fmt.Sprintf("m%04d", number), DataCentre: dataCentre})
	}
	return members
}

func followersAmong(members []member.Member) []string {
	var ids []string
	for _, mem := range members {
		if newFollowers(mem.ID, mem.DataCentre).IncludeSelf(members) {
			ids = append(ids, mem.ID)
		}
	}
	return ids
}

func TestEachDataCentreHasItsFollowersWhateverItsSize(t *testing.T) {
	var members []member.Member
	for _, size := range []int{1, 2, 24, 300} {
		members = append(members, membersOf(fmt.Sprint("dc", size), size)...)
	}
	require.Len(t, followersAmong(members), 1+2+3+3)
}

func TestTheNextNodeFollowsOnceAFollowerIsGone(t *testing.T) {
	members := membersOf("a", 5)
	require.Equal(t, []string{"m0000", "m0001", "m0002"}, followersAmong(members))
	require.Equal(t, []string{"m0001", "m0002", "m0003"}, followersAmong(members[1:]))
}

// Guards against a node that is cut off from the others, but not from the store, and relies on them for new versions.
func TestANodeThatReachesNoOtherFollows(t *testing.T) {
	members := membersOf("a", 8)
	fol := newFollowers("m0007", "a")
	for range 3 {
		require.False(t, fol.IncludeSelf(members))
		fol.RecordAsk(errors.New("no answer"))
	}
	require.True(t, fol.IncludeSelf(members))
	fol.RecordAsk(nil)
	require.False(t, fol.IncludeSelf(members))
}

func TestANodeThatKnowsNoOtherFollows(t *testing.T) {
	require.True(t, newFollowers("z", "a").IncludeSelf(nil))
}

// Guards against nodes that rely on followers which have lost the store and still answer.
func TestTheNextNodesInOrderStandInOnceConfirmationsStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := membersOf("a", 9)
		nodes := map[string]*followers.Followers{}
		for _, mem := range members {
			nodes[mem.ID] = newFollowers(mem.ID, "a")
		}
		following := func() []string {
			var ids []string
			for _, mem := range members {
				if nodes[mem.ID].IncludeSelf(members) {
					ids = append(ids, mem.ID)
				}
			}
			return ids
		}
		confirm := func(by string) {
			for _, fol := range nodes {
				fol.RecordConfirmation(time.Now(), confirmation.Confirmation{Follower: by})
			}
		}
		regular := []string{"m0000", "m0001", "m0002"}
		for range 20 {
			confirm("m0001")
			time.Sleep(askInterval)
			require.Equal(t, regular, following())
		}
		time.Sleep(3 * askInterval)
		require.Equal(t, append(slices.Clone(regular), "m0003", "m0004", "m0005"), following(), "the first ones, within the bound on configurations")
		time.Sleep(askInterval)
		require.Len(t, following(), 6)
		time.Sleep(askInterval)
		require.Len(t, following(), 9, "the next ones, if the first are turned away too")

		for range 5 {
			confirm("m0003")
			time.Sleep(askInterval)
		}
		require.Equal(t, append(slices.Clone(regular), "m0003"), following(), "the first that the store serves is enough")
		for range 5 {
			confirm("m0000")
			time.Sleep(askInterval)
		}
		require.Equal(t, regular, following(), "a regular follower is back")
	})
}

func TestTheLatestConfirmationIsPassedOnWithItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fol := newFollowers("m5", "a")
		require.Empty(t, fol.Confirmation(time.Time{}).Follower, "none is known")
		time.Sleep(time.Minute)
		fol.RecordConfirmation(time.Now(), confirmation.Confirmation{Follower: "m1", Age: 2 * time.Second})
		fol.RecordConfirmation(time.Now(), confirmation.Confirmation{Follower: "m2", Age: 3 * time.Second})
		fol.RecordConfirmation(time.Now(), confirmation.Confirmation{Follower: "m5"})
		time.Sleep(time.Second)
		require.Equal(t, confirmation.Confirmation{Follower: "m1", Age: 3 * time.Second}, fol.Confirmation(time.Time{}))
		require.Equal(t, confirmation.Confirmation{Follower: "m5", Age: time.Second}, fol.Confirmation(time.Now().Add(-time.Second)))
	})
}
