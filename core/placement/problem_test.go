package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
	"flamingoreach/core/placement"
	"flamingoreach/core/route"
)

// Guards against a restriction that takes effect without a trace of the requests that it leaves without a region.
func TestRestrictionsThatLeaveNoRegionAreReportedOnceForEachName(t *testing.T) {
	cfg := &configuration.Configuration{
		Routes: []route.Route{
			{Name: "free"},
			{Name: "fine", Regions: []string{"r", "s"}},
			{Name: "typo", Regions: []string{"r", "x", "y"}},
			{Name: "lost", Regions: []string{"x"}},
			{Name: "open", Regions: []string{"r"}, Open: true},
		},
		Accounts: []clientaccount.ClientAccount{
			{Name: "a", Regions: []string{"s"}},
			{Name: "b", Regions: []string{"s"}},
			{Name: "c", Regions: []string{"r"}},
			{Name: "d", Regions: []string{"z", "r"}},
			{Name: "e"},
		},
	}
	require.Equal(t, []placement.Problem{
		{Route: "typo", Regions: []string{"x", "y"}, RegionsLeft: 1},
		{Route: "lost", Regions: []string{"x"}},
		{Account: "d", Accounts: 1, Regions: []string{"z"}, RegionsLeft: 1},
		{Route: "typo", Account: "a", Accounts: 2, Regions: []string{"s"}},
		{Route: "lost", Account: "a", Accounts: 4, Regions: []string{"s"}},
	}, placement.Problems(cfg, []string{"r", "s"}))
	require.Empty(t, placement.Problems(&configuration.Configuration{Routes: cfg.Routes[:2], Accounts: cfg.Accounts[4:]}, []string{"r", "s"}))
	require.Empty(t, placement.Problems(&configuration.Configuration{Routes: cfg.Routes}, nil))
}
