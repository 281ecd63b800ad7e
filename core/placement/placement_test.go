package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/member"
	"flamingoreach/core/placement"
)

var members = []member.Member{{ID: "1", Region: "r"}, {ID: "2", Region: "s"}, {ID: "3", Region: "r"}, {ID: "4"}}

// Guards against an empty intersection that is taken for no restriction.
func TestBothRestrictionsApply(t *testing.T) {
	for _, test := range []struct {
		route, account, regions []string
		bound                   bool
	}{
		{nil, nil, nil, false},
		{[]string{}, []string{}, nil, false},
		{[]string{"r"}, nil, []string{"r"}, true},
		{[]string{}, []string{"s"}, []string{"s"}, true},
		{[]string{"r", "s"}, []string{"s", "t"}, []string{"s"}, true},
		{[]string{"r"}, []string{"s"}, []string{}, true},
	} {
		regions, bound := placement.Intersect(test.route, test.account)
		require.Equal(t, test.regions, regions)
		require.Equal(t, test.bound, bound)
	}
	require.False(t, placement.Allows([]string{}, "r"))
	require.False(t, placement.Allows([]string{}, ""))
	require.True(t, placement.Allows(nil, "r"))
}

func TestOnlyMembersInAllowedRegionsRemain(t *testing.T) {
	require.Equal(t, []member.Member{members[0], members[2]}, placement.Filter([]string{"r", "t"}, members))
	require.Empty(t, placement.Filter([]string{}, members))
	require.Equal(t, members, placement.Filter(nil, members))
	require.True(t, placement.HasMember([]string{"t", "s"}, members))
	require.False(t, placement.HasMember([]string{"t"}, members))
	require.False(t, placement.HasMember([]string{}, members))
	require.False(t, placement.HasMember(nil, nil))
}

// Guards against a cost for requests without a restriction.
func TestRequestsWithoutARestrictionAllocateNothing(t *testing.T) {
	var remaining int
	require.Zero(t, testing.AllocsPerRun(100, func() {
		regions, _ := placement.Intersect(nil, nil)
		remaining += len(placement.Filter(regions, members))
	}))
	require.Positive(t, remaining)
}
