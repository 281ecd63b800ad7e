package processes_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/proofs/processfleet"
)

// Guards against a withdrawn key that still works on open connections. The key is withdrawn while a node is frozen, and
// the platform is killed right after the patch is accepted.
func TestWithdrawnKeyIsRefusedOnOpenConnections(t *testing.T) {
	bankA, bankB := unlimitedAccount("bankA", keyA), unlimitedAccount("bankB", keyB)
	fix := startFleet(t, bankA, bankB)
	clients := fix.openConnections(keyA)
	frozen := fix.follower("eastA")
	fix.Sites[frozen].Node.Signal(syscall.SIGSTOP)

	fix.patchUntilAccepted(0, 1, bankB)
	accepted := time.Now()
	fix.Platform.Kill()
	for index, cli := range clients {
		if index != frozen {
			requireWithdrawn(t, cli, accepted)
		}
	}
	// The call waits in the socket buffer of the frozen node, so it is the first call that the node reads after SIGCONT.
	first := make(chan reply, 1)
	go func() { first <- clients[frozen].call(keyA, "/confirms", "") }()
	fix.Sites[frozen].Node.Signal(syscall.SIGCONT)
	rep := <-first
	require.NoError(t, rep.err)
	require.NotEqual(t, http.StatusOK, rep.status, "the first call after the pause was answered")
	require.Equal(t, "notRun", rep.outcome)
	require.True(t, rep.reused)
	require.Contains(t, []string{"cutOff", "keyWithdrawn", "keyUnknown"}, rep.reason)
	requireWithdrawn(t, clients[frozen], time.Now())
	for index := range clients {
		other := newClient(t, fix.Sites[index].Addresses.Callers)
		require.Eventually(t, func() bool { return other.call(keyB, "/confirms", "").succeeded() }, inForceBound, processfleet.PollInterval,
			"the other account is not served at node %d", index)
	}
}

// openConnections opens a connection to each node and waits until a call with the key succeeds on it.
func (fix fixture) openConnections(key string) []*client {
	var clients []*client
	for _, sit := range fix.Sites {
		cli := newClient(fix.t, sit.Addresses.Callers)
		require.Eventually(fix.t, func() bool { return cli.call(key, "/confirms", "").succeeded() }, inForceBound, processfleet.PollInterval)
		clients = append(clients, cli)
	}
	return clients
}

// requireWithdrawn sends calls on the open connection until the key is refused, then 20 more, which must be refused too.
// The first refusal must come within withdrawalBound after the acceptance.
func requireWithdrawn(t *testing.T, cli *client, accepted time.Time) {
	t.Helper()
	rep := cli.call(keyA, "/confirms", "")
	for rep.reason != "keyWithdrawn" && rep.reason != "keyUnknown" {
		require.Less(t, time.Since(accepted), withdrawalBound, "%+v", rep)
		require.NoError(t, rep.err)
		time.Sleep(processfleet.PollInterval)
		rep = cli.call(keyA, "/confirms", "")
	}
	for range 20 {
		require.True(t, rep.reused, "the call was sent on a new connection")
		require.Equal(t, http.StatusUnauthorized, rep.status)
		require.Equal(t, "notRun", rep.outcome)
		rep = cli.call(keyA, "/confirms", "")
	}
}
