package boundedwriter_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/boundedwriter"
)

func TestLinesBeyondTheQueueAreDroppedAndCounted(t *testing.T) {
	var out bytes.Buffer
	wri := boundedwriter.New(&out, 2)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		count, err := wri.Write([]byte(line))
		require.NoError(t, err)
		require.Equal(t, len(line), count)
	}
	require.Equal(t, uint64(1), wri.Dropped())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, wri.Run(ctx))
	require.Equal(t, "a\nb\n", out.String(), "queued lines are written at the end")
}
