package clients_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	receiveBufferBytes = 32 << 10
	longAnswerBytes    = 4 << 20
	longAnswerPath     = "/quotes/?bytes=4194304"
	// crowdTime is how long a crowd goes on before the ordinary requests, beside which it stays connected.
	crowdTime = 8 * time.Second
	// A slow client sends or reads a part of slowBytes in each slowInterval.
	slowBytes    = 16 << 10
	slowInterval = 100 * time.Millisecond
)

// small are limits that a small crowd exceeds if nothing bounds what is held for it; smallest are those of the smallest
// machine.
var (
	small    = limits{memoryMB: 96, descriptors: 4100}
	smallest = limits{memoryMB: 184, descriptors: 4100}
)

// crowd runs a client's part on as many connections as it says, half of them at each host, while the test goes on; the
// connections are closed at the end of the test.
func (fle *fleet) crowd(clients int, play func(ctx context.Context, cli *client) error) {
	ctx, cancel := context.WithCancel(fle.Context())
	var playing sync.WaitGroup
	for number := range clients {
		hos := fle.hosts[number%len(fle.hosts)]
		playing.Go(func() {
			cli, err := dial(ctx, hos)
			if err != nil {
				return
			}
			defer func() { _ = cli.Close() }()
			defer context.AfterFunc(ctx, func() { _ = cli.Close() })()
			_ = play(ctx, cli)
			<-ctx.Done()
		})
	}
	fle.Cleanup(func() {
		cancel()
		playing.Wait()
	})
	time.Sleep(crowdTime)
}

func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func TestAnswersWithoutEnd(t *testing.T) {
	fle := startFleet(t, small)
	fle.crowd(24, func(_ context.Context, cli *client) error {
		_, err := io.WriteString(cli, head(http.MethodGet, "/quotes/?bytes=-1", 0))
		return err
	})
	fle.requireContained()
	require.Eventually(t, func() bool { return fle.hosts[0].backend.running.Load() == 0 }, answerTimeout, pollInterval,
		"a client that does not read holds no slot of the backend server for ever")
}

func TestBodiesStopMidway(t *testing.T) {
	fle := startFleet(t, small)
	fle.crowd(40, func(_ context.Context, cli *client) error {
		if _, err := io.WriteString(cli, head(http.MethodPost, "/quotes/?bytes=10", 8<<20)); err != nil {
			return err
		}
		_, err := io.CopyN(cli, &pattern{length: -1}, 4<<20)
		return err
	})
	fle.requireContained()
}

func TestBodiesAreSentSlowly(t *testing.T) {
	fle := startFleet(t, small)
	fle.crowd(200, func(ctx context.Context, cli *client) error {
		_, err := io.WriteString(cli, head(http.MethodPost, "/quotes/?bytes=10", -1))
		for body := (&pattern{length: -1}); err == nil && ctx.Err() == nil; {
			_, err = io.CopyN(bodyWriter{cli, true}, body, slowBytes)
			wait(ctx, slowInterval)
		}
		return err
	})
	fle.requireContained()
}

func TestConnectionsStayIdle(t *testing.T) {
	fle := startFleet(t, limits{memoryMB: small.memoryMB, descriptors: 600})
	fle.crowd(1400, func(_ context.Context, cli *client) error {
		if _, err := io.WriteString(cli, head(http.MethodGet, "/quotes/?bytes=10", 0)); err != nil {
			return err
		}
		received, err := cli.receive()
		if err == nil && received != 10 {
			return errWrongBytes
		}
		return err
	})
	fle.requireContained()
}

func TestConnectionsSendAByteASecond(t *testing.T) {
	fle := startFleet(t, limits{memoryMB: small.memoryMB, descriptors: 600})
	fle.crowd(1400, func(ctx context.Context, cli *client) error {
		for _, letter := range head(http.MethodGet, "/quotes/?bytes=10", 0) {
			if _, err := io.WriteString(cli, string(letter)); err != nil || ctx.Err() != nil {
				return err
			}
			wait(ctx, time.Second)
		}
		return nil
	})
	fle.requireContained()
}

func TestConnectionsOpenAndClose(t *testing.T) {
	fle := startFleet(t, small)
	fle.crowd(50, func(ctx context.Context, cli *client) error {
		for ctx.Err() == nil {
			if again, err := dial(ctx, cli.host); err == nil {
				_, _ = io.WriteString(again, "GET / HTTP/1.1\r\n")
				_ = again.Close()
			}
		}
		return nil
	})
	fle.requireContained()
}

func TestLargeUploadsAreSentSlowly(t *testing.T) {
	fle := startFleet(t, smallest)
	const length = 60 << 20
	fle.crowd(40, func(ctx context.Context, cli *client) error {
		_, err := io.WriteString(cli, head(http.MethodPost, "/confirms/?bytes=10", length))
		for sent := int64(0); err == nil && ctx.Err() == nil && sent < length; sent += slowBytes {
			_, err = io.CopyN(cli, &pattern{offset: sent, length: -1}, slowBytes)
			wait(ctx, slowInterval)
		}
		return err
	})
	fle.requireContained()
}

// bodyWriter writes a body, in chunks if chunked is set.
type bodyWriter struct {
	io.Writer
	chunked bool
}

func (wri bodyWriter) Write(part []byte) (int, error) {
	if wri.chunked {
		if _, err := fmt.Fprintf(wri.Writer, "%x\r\n%s\r\n", len(part), part); err != nil {
			return 0, err
		}
		return len(part), nil
	}
	return wri.Writer.Write(part)
}

// Guards against a timeout for unacknowledged data that counts the time in which the client's receive window is closed.
func TestAClientThatPausesGetsTheRest(t *testing.T) {
	fle := startFleet(t, smallest)
	for _, hos := range fle.hosts {
		cli, err := dial(t.Context(), hos)
		require.NoError(t, err)
		defer func() { _ = cli.Close() }()
		_, err = io.WriteString(cli, head(http.MethodGet, longAnswerPath, 0))
		require.NoError(t, err)
		_, err = cli.reader.Peek(1)
		require.NoError(t, err)
		time.Sleep(3 * time.Second)
		received, err := cli.receive()
		require.NoError(t, err)
		require.Equal(t, int64(longAnswerBytes), received)
	}
	fle.requireContained()
}
