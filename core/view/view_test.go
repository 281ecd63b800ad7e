package view_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/evacuation"
	"flamingoreach/core/member"
	"flamingoreach/core/storeposition"
	"flamingoreach/core/view"
)

// Guards against an evacuation that a later view forgets, and against a service without backend servers that counts as
// evacuated.
func TestMembersOfEvacuatedDataCentresTakeNoNewWork(t *testing.T) {
	members := []member.Member{
		{ID: "1", Service: "s", DataCentre: "a", State: "serving"},
		{ID: "2", Service: "s", DataCentre: "b", State: "serving"},
		{ID: "3", Service: "t", DataCentre: "b", State: "draining"},
	}
	vie := view.New(nil, nil, members[0], members).WithEvacuation(evacuation.New(storeposition.Position{Revision: 1}, "b"))
	for _, next := range []*view.View{vie, vie.WithConfiguration(nil, nil), vie.WithMembers(members[0], members)} {
		require.Equal(t, members[:1], next.Serving("s"))
		require.Len(t, next.All("s"), 2)
		require.True(t, next.IsEvacuated("s", nil))
		require.False(t, next.IsEvacuated("t", nil), "its backend server drains")
	}
	require.Len(t, vie.WithEvacuation(evacuation.Evacuation{}).Serving("s"), 2)
}
