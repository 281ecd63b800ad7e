package command_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/proofs/process"
)

// Guards against a SIGHUP that ends the process because it arrives before the process has registered for the signal. The
// settings file is a pipe, so that the process waits while it reads its settings.
func TestASignalToReloadDoesNotEndAStartingProcess(t *testing.T) {
	folder := t.TempDir()
	program, settings := filepath.Join(folder, "node"), filepath.Join(folder, "settings.toml")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "flamingoreach/cmd/flamingoreach-host").CombinedOutput()
	require.NoError(t, err, string(output))
	require.NoError(t, syscall.Mkfifo(settings, 0o600))
	node, err := process.Start(t.Context(), filepath.Join(folder, "log"), program, "node", "--settings", settings)
	require.NoError(t, err)
	defer node.Kill()
	// Opening the pipe for writing returns once the process has opened it for reading.
	pipe, err := openForWriting(settings)
	require.NoError(t, err)
	node.Signal(syscall.SIGHUP)
	select {
	case <-node.Ended():
		t.Fatal("the signal ended the process")
	case <-time.After(200 * time.Millisecond):
	}
	require.NoError(t, pipe.Close())
}

func openForWriting(file string) (*os.File, error) { return os.OpenFile(file, os.O_WRONLY, 0) }
