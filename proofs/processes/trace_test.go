package processes_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/traceline"
	"flamingoreach/io/tracefile"
	"flamingoreach/proofs"
	"flamingoreach/proofs/processfleet"
)

const (
	traceCommand   = "PROOFS_TRACES=FOLDER go test -run TestRecordedTracesReplay ./proofs/processes"
	platformOutage = 3 * time.Second
	tracedCalls    = 5
)

// Guards against traces that cannot be replayed: a fleet goes through killed backend servers, a withdrawn key, a frozen
// leader and an outage of the platform, and the traces that its nodes recorded must replay without a difference.
func TestRecordedTracesReplay(t *testing.T) {
	bankA, bankB := unlimitedAccount("bankA", keyA), unlimitedAccount("bankB", keyB)
	fix := startFleet(t, bankA, bankB)
	frozen, follower := fix.leader("westA"), fix.follower("westA")
	restarted := fix.follower("eastA")

	fix.Sites[restarted].Backend.Kill()
	require.NoError(t, fix.StartBackend(timeoutContext(t, startTimeout), fix.Sites[restarted]))
	fix.awaitServing(1, fix.Sites...)
	cli := newClient(t, fix.Sites[follower].Addresses.Callers)
	for range tracedCalls {
		cli.call(keyA, "/confirms", "")
	}
	fix.patchUntilAccepted(follower, 1, bankB)
	require.Eventually(t, func() bool { return cli.call(keyA, "/confirms", "").reason == "keyUnknown" }, withdrawalBound, processfleet.PollInterval)

	fix.Sites[restarted].Backend.Kill()
	fix.Sites[frozen].Node.Signal(syscall.SIGSTOP)
	require.Eventually(t, func() bool { return fix.leads(follower) }, inForceBound, processfleet.PollInterval)
	fix.Sites[frozen].Node.Signal(syscall.SIGCONT)
	fix.Platform.Kill()
	time.Sleep(platformOutage)
	require.NoError(t, fix.Drain(timeoutContext(t, startTimeout)))

	for _, sit := range fix.Sites {
		fix.requireReplays(sit)
	}
	fix.writeTrace("localServerKilled", restarted, "localServer.")
	fix.writeTrace("keyWithdrawn", follower, "configuration.")
	fix.writeTrace("leaderFrozen", frozen, "lease.")
	fix.writeTrace("leaderSucceeded", follower, "lease.")
	fix.writeTrace("gate", follower, "gate.")
}

func (fix fixture) requireReplays(sit *processfleet.Site) {
	fix.t.Helper()
	for _, name := range sit.Traces {
		text, err := os.ReadFile(name)
		require.NoError(fix.t, err)
		require.NotContains(fix.t, string(text), keyA)
		require.NotContains(fix.t, string(text), keyB)
		lines, err := tracefile.Read(bytes.NewReader(text))
		require.NoError(fix.t, err)
		require.NotEmpty(fix.t, lines)
		synctest.Test(fix.t, func(t *testing.T) { require.NoError(t, proofs.Replay(lines), sit.Name) })
	}
}

// writeTrace writes the trace lines of one module from a node's first trace to the folder that PROOFS_TRACES names, if it
// is set.
func (fix fixture) writeTrace(name string, node int, prefix string) {
	fix.t.Helper()
	folder := os.Getenv("PROOFS_TRACES")
	if folder == "" {
		return
	}
	text, err := os.ReadFile(fix.Sites[node].Traces[0])
	require.NoError(fix.t, err)
	lines, err := tracefile.Read(bytes.NewReader(text))
	require.NoError(fix.t, err)
	comment, err := json.Marshal(traceCommand)
	require.NoError(fix.t, err)
	selected := []traceline.Line{{Kind: traceline.Comment, Data: comment}}
	for _, lin := range lines {
		// The name of a tick is that of the module alone, without the dot at the end of the prefix.
		if strings.HasPrefix(lin.Name+".", prefix) || strings.HasPrefix(lin.Name, prefix) {
			selected = append(selected, lin)
		}
	}
	var out bytes.Buffer
	for _, lin := range selected {
		require.NoError(fix.t, json.NewEncoder(&out).Encode(lin))
	}
	require.NoError(fix.t, os.WriteFile(filepath.Join(folder, name+".trace"), out.Bytes(), 0o600))
}
