package segments_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/segments"
)

func TestABodyIsReadAsItWasAdded(t *testing.T) {
	for _, length := range []int{0, 1, segments.Bytes - 1, segments.Bytes, segments.Bytes + 1, 5*segments.Bytes + 17} {
		body := make([]byte, length)
		for index := range body {
			body[index] = byte(index % 251)
		}
		var lis segments.List
		added, err := lis.ReadFrom(iotest.HalfReader(bytes.NewReader(body)))
		require.NoError(t, err)
		require.Equal(t, int64(length), added)
		require.Equal(t, int64(length), lis.Len())
		for range 2 {
			read, err := io.ReadAll(lis.NewReader())
			require.NoError(t, err)
			require.True(t, bytes.Equal(body, read))
		}
		require.True(t, bytes.Equal(body, lis.Copy()))
		var popped []byte
		for lis.Len() > 0 {
			part, release := lis.PopFirst()
			popped = append(popped, part...)
			release()
		}
		require.True(t, bytes.Equal(body, popped))
		lis.Free()
		require.Zero(t, lis.Len())
	}
}
