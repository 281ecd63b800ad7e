package processes_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/proofs/processfleet"
)

// observationTime is how long the test sends calls to a node that has neither peers nor the platform.
const observationTime = 2 * time.Second

// Guards against a restarted node that cannot serve while the platform is down, because it does not get the
// configuration from its peers, and against a node without peers that serves without a configuration.
func TestNodeRestartedWithoutPlatformLearnsFromPeers(t *testing.T) {
	bankA := unlimitedAccount("bankA", keyA)
	// With one of four nodes dead, the leader is still in contact with most nodes of its data centre, so that it continues
	// to lead without the platform.
	fix := startFleetAt(t, sites("westA", "westA", "westA", "westA"), bankA)
	// The data centre's allocation of the account's rate is in the table only after the account's first calls are served.
	fix.openConnections(keyA)
	fix.Platform.Kill()
	restarted := fix.follower("westA")
	sit := fix.Sites[restarted]
	sit.Node.Kill()

	// This node knows no peer, and no peer knows its address, so that it cannot learn the configuration.
	alone := &processfleet.Site{Name: "alone", Region: sit.Region, DataCentre: sit.DataCentre, Service: sit.Service}
	require.NoError(t, fix.StartNodeWithoutSeeds(timeoutContext(t, startTimeout), alone))
	t.Cleanup(alone.Node.Kill)
	cli := newClient(t, alone.Addresses.Callers)
	for began := time.Now(); time.Since(began) < observationTime; time.Sleep(processfleet.PollInterval) {
		rep := cli.call(keyA, "/confirms", "")
		require.NoError(t, rep.err)
		require.Equal(t, "notRun", rep.outcome)
		require.Equal(t, "noConfiguration", rep.reason)
	}

	require.NoError(t, fix.StartNode(timeoutContext(t, startTimeout), sit))
	fix.awaitServing(1, fix.Sites...)
	cli = newClient(t, sit.Addresses.Callers)
	var last reply
	require.Eventually(t, func() bool {
		last = cli.call(keyA, "/confirms", "")
		return last.succeeded()
	}, inForceBound, processfleet.PollInterval)
	t.Logf("%+v", last)
}
