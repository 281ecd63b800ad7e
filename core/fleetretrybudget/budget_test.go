package fleetretrybudget_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/fleetretrybudget"
)

func TestRetriesOfAllHostsStayWithinRatioAndSlack(t *testing.T) {
	const hosts, calls, ratio, slack = 16, 500, 0.2, 48.0
	spent := 0
	for range hosts {
		bud := fleetretrybudget.New(ratio, slack)
		bud.SetHosts(hosts)
		for range calls {
			bud.Earn("quotes")
			for bud.Spend("quotes") {
				spent++
			}
		}
	}
	require.LessOrEqual(t, float64(spent), ratio*hosts*calls+slack)
	require.GreaterOrEqual(t, float64(spent), ratio*hosts*calls/5, "the hosts can use at least a fifth of the ratio")
}

func TestEachServiceHasItsOwnBudget(t *testing.T) {
	bud := fleetretrybudget.New(0.2, 4)
	for bud.Spend("quotes") {
	}
	require.True(t, bud.Spend("confirms"))
}

func TestSettingTheHostsDoesNotRefillTheSlack(t *testing.T) {
	bud := fleetretrybudget.New(0.2, 4)
	for bud.Spend("quotes") {
	}
	bud.SetHosts(1)
	require.False(t, bud.Spend("quotes"))
}
