package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/soak"
)

// ciNumber keeps the addresses of this test apart from those of runs by hand.
const ciNumber = 99

func TestAShortRunBreaksNoPromise(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "flamingoreach-host")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", program, "../cmd/flamingoreach-host")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	res, err := soak.Run(t.Context(), soak.Plan{
		Program: program, Folder: folder, Seed: 1, Number: ciNumber, Hosts: 4, Span: 5 * time.Second,
	})
	require.NoError(t, err)
	require.Empty(t, res.Violations, "faults: %v", res.Faults)
	require.Positive(t, res.Asked)
}
