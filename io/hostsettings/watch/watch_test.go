package watch_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/hostsettings/watch"
)

func TestChangesAreSeenWithAndWithoutASignal(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(file, []byte("a"), 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	signals, changes, ended := make(chan os.Signal), make(chan struct{}, 8), make(chan error, 1)
	go func() { ended <- watch.File(ctx, file, signals, func() { changes <- struct{}{} }) }()
	signals <- syscall.SIGHUP
	await(t, changes)
	require.NoError(t, os.WriteFile(file, []byte("longer"), 0o600))
	await(t, changes)
	cancel()
	require.NoError(t, <-ended)
}

func await(t *testing.T, changes <-chan struct{}) {
	t.Helper()
	select {
	case <-changes:
	case <-time.After(5 * time.Second):
		t.Fatal("the change was not seen")
	}
}
