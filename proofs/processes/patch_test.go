package processes_test

import (
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/io/operator/operatorv1"
	"flamingoreach/io/standinplatform/faults"
	"flamingoreach/proofs/processfleet"
)

// maxLostAnswers is the largest number of answers that the platform loses while two patches race.
const maxLostAnswers = 3

// platformDelay is long enough that the requests for both patches are in flight at the same time.
const platformDelay = 100 * time.Millisecond

// Guards against two accepted patches on one base: two operators patch the same base at two nodes, while the platform
// loses the answers to some writes.
func TestRacingPatchesAreAcceptedOnce(t *testing.T) {
	fix := startFleet(t, unlimitedAccount("bankA", keyA))
	base := uint64(1)
	for lost := range maxLostAnswers + 1 {
		require.NoError(t, fix.SetFaults(timeoutContext(t, callTimeout), faults.Faults{LostAnswers: lost, Delay: platformDelay}))
		texts := []string{configurationText(unlimitedAccount("bankA", keyA)), configurationText(unlimitedAccount("bankA", keyB))}
		var results [2]operatorv1.Result
		var racers sync.WaitGroup
		for racer, node := range []int{1, 2} {
			racers.Go(func() { results[racer] = fix.resolve(node, base, texts[racer]) })
		}
		racers.Wait()
		require.NoError(t, fix.SetFaults(timeoutContext(t, callTimeout), faults.Faults{}))
		accepted := 0
		for _, result := range results {
			if result == operatorv1.Result_RESULT_ACCEPTED {
				accepted++
			}
		}
		require.LessOrEqual(t, accepted, 1, "%d answers lost: %v", lost, results)
		if accepted == 0 {
			require.NotContains(t, results, operatorv1.Result_RESULT_UNSPECIFIED)
			t.Logf("%d answers lost: both refused: %v", lost, results)
			continue
		}
		base++
		fix.awaitServing(base, fix.Sites...)
	}
	require.Greater(t, base, uint64(1), "no patch was accepted at all")
}

// resolve submits a patch repeatedly with the same ID until the result is known. If that takes longer than
// startTimeout, it returns RESULT_UNSPECIFIED.
func (fix fixture) resolve(node int, base uint64, text string) operatorv1.Result {
	id := uuid.NewString()
	ctx := timeoutContext(fix.t, startTimeout)
	for {
		res, err := fix.patch(ctx, node, base, id, text)
		if ctx.Err() != nil {
			return operatorv1.Result_RESULT_UNSPECIFIED
		}
		if err == nil && res.GetResult() != operatorv1.Result_RESULT_UNSPECIFIED {
			return res.GetResult()
		}
		time.Sleep(processfleet.PollInterval)
	}
}
