package hostnode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a departure that is acknowledged late because the attempt to make copies waits for other tasks.
func TestADepartureIsAcknowledgedAlthoughItsCopiesWaitForOtherTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		require.NoError(t, awaitDeparture(t.Context(), make(chan struct{})))
		require.LessOrEqual(t, time.Since(began), 500*time.Millisecond)
	})
}
