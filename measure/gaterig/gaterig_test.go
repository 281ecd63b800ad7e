package gaterig_test

import (
	"encoding/json"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/measure/gaterig"
)

// seed returns the value of GATERIG_SEED, or 7 if it is not set.
func seed(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("GATERIG_SEED")
	if text == "" {
		return 7
	}
	value, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	return value
}

func loadScenario(t *testing.T, name string) gaterig.Scenario {
	t.Helper()
	sce, err := gaterig.LoadScenario(os.DirFS("testdata"), name+".toml")
	require.NoError(t, err)
	return sce
}

// run uses one processor, so that goroutines that wake at the same instant always run in the same order.
func run(t *testing.T, sce gaterig.Scenario, cas gaterig.Case, con gaterig.Control) gaterig.Report {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var rep gaterig.Report
	synctest.Test(t, func(t *testing.T) { rep = gaterig.New(sce, cas, con, seed(t)).Run(t.Context()) })
	rep.Scenario, rep.Case, rep.Control, rep.Seed = sce.Name, cas.Name, con.Name, seed(t)
	return rep
}

// shortened returns the scenario with its phases reduced to a few seconds.
func shortened(sce gaterig.Scenario) gaterig.Scenario {
	sce.Before.Duration, sce.During.Duration, sce.After.Duration = time.Second, 3*time.Second, 4*time.Second
	return sce
}

// TestFigures logs the reports of the scenarios listed in GATERIG, such as "polderkruis,secretaria". GATERIG_CASES
// and GATERIG_CONTROLS, if set, list the cases and controls to measure. Without GATERIG it measures one short case.
func TestFigures(t *testing.T) {
	names := os.Getenv("GATERIG")
	if names == "" {
		sce := shortened(loadScenario(t, "polderkruis"))
		rep := run(t, sce, sce.Cases[0], gaterig.Controls()[2])
		require.Greater(t, rep.Goodput, 0.8)
		return
	}
	for name := range strings.SplitSeq(names, ",") {
		sce := loadScenario(t, name)
		for _, cas := range sce.Cases {
			for _, con := range gaterig.Controls() {
				if !selected("GATERIG_CASES", cas.Name) || !selected("GATERIG_CONTROLS", con.Name) {
					continue
				}
				text, err := json.Marshal(run(t, sce, cas, con))
				require.NoError(t, err)
				t.Log(string(text))
			}
		}
	}
}

// selected reports whether an environment variable lists a name or is not set.
func selected(variable, name string) bool {
	list := os.Getenv(variable)
	return list == "" || slices.Contains(strings.Split(list, ","), name)
}

// Guards against a rig whose report depends on the order in which goroutines run within one instant: figures of two
// variants of the gate could then not be compared.
func TestTheSameSeedGivesTheSameBytes(t *testing.T) {
	sce := shortened(loadScenario(t, "polderkruis"))
	for _, cas := range sce.Cases {
		first, err := json.Marshal(run(t, sce, cas, gaterig.Controls()[2]))
		require.NoError(t, err)
		second, err := json.Marshal(run(t, sce, cas, gaterig.Controls()[2]))
		require.NoError(t, err)
		require.Equal(t, string(first), string(second))
	}
}
