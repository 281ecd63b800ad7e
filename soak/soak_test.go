package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/soak"
)

// Numbers for the addresses of these tests, different from those that runs by hand use.
const (
	ciNumber         = 99
	regressionNumber = 98
)

func TestShortRunHasNoViolations(t *testing.T) {
	runPlan(t, soak.Plan{Seed: 1, Number: ciNumber, Hosts: 4, Span: 5 * time.Second})
}

// Each of these seeds has violated a guarantee in the past; docs/SOAK.md describes the causes.
func TestFormerlyFailingSeedsHaveNoViolations(t *testing.T) {
	for _, seed := range []uint64{2100, 201} {
		runPlan(t, soak.Plan{Seed: seed, Number: regressionNumber, Hosts: 6, Span: 10 * time.Second})
	}
}

func runPlan(t *testing.T, pla soak.Plan) {
	t.Helper()
	pla.Folder = t.TempDir()
	pla.Program = filepath.Join(pla.Folder, "flamingoreach-host")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", pla.Program, "../cmd/flamingoreach-host")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	res, err := soak.Run(t.Context(), pla)
	require.NoError(t, err)
	require.Empty(t, res.Violations, "faults: %v", res.Faults)
	require.Positive(t, res.Requests)
}
