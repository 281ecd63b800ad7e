package processes_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/proofs/processfleet"
)

const (
	crashRequests = 50
	// A crashing request is refused after its second crash.
	maxCrashes = 2
)

// Guards against a request that crashes one backend server after another: a caller sends a request that crashes each
// backend server that runs it, crashRequests times and at all nodes in turn.
func TestCrashingRequestCrashesAtMostTwoBackendServers(t *testing.T) {
	fix := startFleet(t, unlimitedAccount("bankA", keyA))
	for _, target := range []string{"/confirms?crash=1", "/quotes?crash=1"} {
		t.Run(target, func(t *testing.T) {
			for number := range crashRequests {
				cli := newClient(t, fix.Sites[number%len(fix.Sites)].Addresses.Callers)
				cli.call(keyA, target, "")
			}
			down := 0
			for _, sit := range fix.Sites {
				if !sit.Backend.Alive() {
					down++
					require.NoError(t, fix.StartBackend(timeoutContext(t, startTimeout), sit))
				}
			}
			t.Logf("%d backend servers down", down)
			require.Positive(t, down, "the request crashed no backend server")
			require.LessOrEqual(t, down, maxCrashes)
			fix.awaitServing(1, fix.Sites...)
			other := newClient(t, fix.Sites[0].Addresses.Callers)
			require.Eventually(t, func() bool { return other.call(keyA, "/confirms/other", "").succeeded() }, inForceBound, processfleet.PollInterval)
		})
	}
}
