package ingressrig_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/measure/ingressrig"
)

// executionsBound is the largest number of executions for a tree of two levels with two extra attempts.
const executionsBound = 2 * (1 + 2)

// run uses one processor, so that goroutines that wake at the same instant always run in the same order.
func run(t *testing.T, sce ingressrig.Scenario, cas ingressrig.Case, con ingressrig.Control, seed uint64) (rep ingressrig.Report) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) { rep = ingressrig.New(sce, cas, con, seed).Run(t.Context()) })
	return rep
}

func loadScenario(t *testing.T, name string) ingressrig.Scenario {
	t.Helper()
	sce, err := ingressrig.LoadScenario(os.DirFS("testdata"), name+".toml")
	require.NoError(t, err)
	return sce
}

// TestFigures writes a JSON file for each case and control into the folder INGRESSRIG, for the scenario
// INGRESSRIG_SCENARIO and the seed INGRESSRIG_SEED. INGRESSRIG_CASES and INGRESSRIG_CONTROLS, if set, list the cases
// and controls to measure.
func TestFigures(t *testing.T) {
	folder := os.Getenv("INGRESSRIG")
	if folder == "" {
		t.Skip("INGRESSRIG names no folder")
	}
	seed, err := strconv.ParseUint(os.Getenv("INGRESSRIG_SEED"), 10, 64)
	require.NoError(t, err)
	sce := loadScenario(t, os.Getenv("INGRESSRIG_SCENARIO"))
	for _, cas := range sce.Cases {
		for _, con := range ingressrig.Controls() {
			if !selected("INGRESSRIG_CASES", cas.Name) || !selected("INGRESSRIG_CONTROLS", con.Name) {
				continue
			}
			text, err := json.Marshal(run(t, sce, cas, con, seed))
			require.NoError(t, err)
			file := filepath.Join(folder, strings.Join([]string{sce.Name, cas.Name, con.Name}, "-")+".json")
			require.NoError(t, os.WriteFile(file, text, 0o600))
		}
	}
}

// selected reports whether an environment variable lists a name or is not set.
func selected(variable, name string) bool {
	list := os.Getenv(variable)
	return list == "" || slices.Contains(strings.Split(list, ","), name)
}

// Guards against retries that multiply over the two levels of a request's tree, which a shared allowance prevents: the
// control static, which has none, must exceed the bound. It also guards against reports that depend on the order in
// which goroutines run.
func TestShortCasesStayWithinTheExecutionBoundAndAreDeterministic(t *testing.T) {
	sce := loadScenario(t, "polderkruis")
	sce.Scale = 0.05
	sce.Before.Duration, sce.During.Duration, sce.After.Duration = time.Second, 2*time.Second, 3*time.Second
	for _, cas := range sce.Cases {
		policy := ingressrig.Controls()[3]
		first := run(t, sce, cas, policy, 7)
		require.Equal(t, first, run(t, sce, cas, policy, 7), cas.Name)
		require.LessOrEqual(t, first.MostExecutions, int64(executionsBound), cas.Name)
		require.LessOrEqual(t, first.MostDeliveries, int64(executionsBound), cas.Name)
		require.Positive(t, first.Goodput, cas.Name)
	}
	cas := sce.Cases[9]
	require.Equal(t, "surge3DeepSlow10", cas.Name)
	sce.CallerTimeout.Duration, sce.During.Duration = 8*time.Second, 10*time.Second
	static := run(t, sce, cas, ingressrig.Controls()[1], 7)
	require.Greater(t, static.MostDeliveries, int64(executionsBound), "without the tree's allowance retries multiply")
}
