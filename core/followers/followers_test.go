package followers_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/followers"
	"flamingoreach/core/member"
)

func followersAmong(members []member.Member) []string {
	var ids []string
	for _, mem := range members {
		if followers.New(mem.ID, mem.DataCentre).IncludeSelf(members) {
			ids = append(ids, mem.ID)
		}
	}
	return ids
}

func TestEachDataCentreHasItsFollowersWhateverItsSize(t *testing.T) {
	var members []member.Member
	for _, size := range []int{1, 2, 24, 300} {
		for number := range size {
			members = append(members, member.Member{ID: fmt.Sprintf("m%04d", number), DataCentre: fmt.Sprint("dc", size)})
		}
	}
	require.Len(t, followersAmong(members), 1+2+3+3)
}

func TestTheNextNodeFollowsOnceAFollowerIsGone(t *testing.T) {
	var members []member.Member
	for number := range 5 {
		members = append(members, member.Member{ID: fmt.Sprint("m", number), DataCentre: "a"})
	}
	require.Equal(t, []string{"m0", "m1", "m2"}, followersAmong(members))
	require.Equal(t, []string{"m1", "m2", "m3"}, followersAmong(members[1:]))
}

// Guards against a node that is cut off from the others, but not from the store, and relies on them for new versions.
func TestANodeThatReachesNoOtherFollows(t *testing.T) {
	var members []member.Member
	for number := range 8 {
		members = append(members, member.Member{ID: fmt.Sprint("m", number), DataCentre: "a"})
	}
	fol := followers.New("m7", "a")
	for range 3 {
		require.False(t, fol.IncludeSelf(members))
		fol.RecordAsk(errors.New("no answer"))
	}
	require.True(t, fol.IncludeSelf(members))
	fol.RecordAsk(nil)
	require.False(t, fol.IncludeSelf(members))
}

func TestANodeThatKnowsNoOtherFollows(t *testing.T) {
	require.True(t, followers.New("z", "a").IncludeSelf(nil))
}
