package demanddigest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/demanddigest"
)

func TestADataCentreGetsOnlyItsOwnConfirmation(t *testing.T) {
	dig := demanddigest.DemandDigest{DataCentre: "a", Epoch: 2, LastReceived: map[string]time.Duration{"b": 1, "c": 2}}
	require.Equal(t, map[string]time.Duration{"b": 1}, dig.For("b").LastReceived)
	require.Empty(t, dig.For("d").LastReceived)
	require.Len(t, dig.LastReceived, 2, "the original digest is unchanged")
	require.EqualValues(t, 2, dig.For("b").Epoch)
}
