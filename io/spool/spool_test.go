package spool_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/room"
	"flamingoreach/io/segments"
	"flamingoreach/io/spool"
)

var errLost = errors.New("the rest is lost")

func newBody(length int) []byte {
	body := make([]byte, length)
	for index := range body {
		body[index] = byte(index % 251)
	}
	return body
}

func TestABodyThatFindsRoomIsHeldWhole(t *testing.T) {
	roo := room.New(8 * segments.Bytes)
	for _, length := range []int{0, 1, segments.Bytes, 3*segments.Bytes + 5} {
		hol := roo.Open("answers")
		spo := spool.New(hol)
		body := newBody(length)
		whole, err := spo.Fill(iotest.HalfReader(bytes.NewReader(body)), roo.Max())
		require.NoError(t, err)
		require.True(t, whole)
		require.LessOrEqual(t, int64(length), hol.Held())
		spo.End(nil)
		var written bytes.Buffer
		require.NoError(t, spo.Write(t.Context(), &written))
		require.True(t, bytes.Equal(body, written.Bytes()))
		require.Zero(t, hol.Held(), "room is given back as the body is written")
		spo.Close()
		hol.Close()
	}
	require.Zero(t, roo.Used())
}

func TestABodyLongerThanTheRoomPassesAtThePaceOfItsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		roo := room.New(4 * segments.Bytes)
		hol := roo.Open("answers")
		spo := spool.New(hol)
		body := newBody(40*segments.Bytes + 7)
		from := bytes.NewReader(body)
		whole, err := spo.Fill(from, roo.Max())
		require.NoError(t, err)
		require.False(t, whole)
		passed := make(chan error, 1)
		go func() {
			err := spo.Pass(t.Context(), from)
			spo.End(err)
			passed <- err
		}()
		synctest.Wait()
		require.LessOrEqual(t, len(body)-from.Len(), 5*segments.Bytes, "the rest stays with the sender")
		pipeReader, pipeWriter := io.Pipe()
		written := make(chan error, 1)
		go func() { written <- errors.Join(spo.Write(t.Context(), pipeWriter), pipeWriter.Close()) }()
		read, err := io.ReadAll(pipeReader)
		require.NoError(t, err)
		require.True(t, bytes.Equal(body, read))
		require.NoError(t, <-passed)
		require.NoError(t, <-written)
		spo.Close()
		hol.Close()
		require.Zero(t, roo.Used())
	})
}

// Guards against a body that is cut and looks complete, and against a wait that outlasts the request.
func TestABodyWhoseRestIsMissingIsNotWrittenAsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		roo := room.New(2 * segments.Bytes)
		hol := roo.Open("answers")
		defer hol.Close()
		spo := spool.New(hol)
		defer spo.Close()
		_, err := spo.Fill(io.MultiReader(bytes.NewReader(newBody(segments.Bytes/2)), iotest.ErrReader(errLost)), roo.Max())
		require.ErrorIs(t, err, errLost)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, spo.Pass(ctx, bytes.NewReader(newBody(9*segments.Bytes))), context.DeadlineExceeded, "nobody reads")
		spo.End(errLost)
		require.ErrorIs(t, spo.Write(t.Context(), io.Discard), errLost)
	})
}
