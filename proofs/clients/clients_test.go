package clients_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

// readSlowly reads an answer in small parts, and fails if it is cut.
func readSlowly(ctx context.Context, body io.Reader) (total int64, err error) {
	for err == nil {
		var count int64
		count, err = io.CopyN(io.Discard, body, slowBytes)
		total += count
		wait(ctx, slowInterval)
	}
	if errors.Is(err, io.EOF) {
		return total, nil
	}
	return total, err
}

// askUntilAnswered sends a request again on new connections until it is answered with 200, and returns the answer with its
// body unread.
func askUntilAnswered(ctx context.Context, cli *client, path string) (*http.Response, error) {
	for ctx.Err() == nil {
		if _, err := io.WriteString(cli, head(http.MethodGet, path, 0)); err == nil {
			res, err := http.ReadResponse(cli.reader, nil)
			if err == nil && res.StatusCode == http.StatusOK {
				return res, nil
			}
			if err == nil {
				_ = res.Body.Close()
			}
		}
		wait(ctx, slowInterval)
		if err := cli.dialAgain(ctx); err != nil {
			return nil, err
		}
	}
	return nil, ctx.Err()
}

func TestLongAnswersAreReadSlowly(t *testing.T) {
	fle := startFleet(t, small)
	var cutButComplete atomic.Int64
	fle.crowd(160, func(ctx context.Context, cli *client) error {
		res, err := askUntilAnswered(ctx, cli, longAnswerPath)
		if err != nil {
			return err
		}
		defer func() { _ = res.Body.Close() }()
		total, err := readSlowly(ctx, res.Body)
		if err == nil && total < longAnswerBytes {
			cutButComplete.Add(1)
		}
		return err
	})
	fle.requireContained()
	require.Zero(t, cutButComplete.Load(), "answers that were cut and look complete")
}

func TestLongAnswersAreNotRead(t *testing.T) {
	fle := startFleet(t, small)
	fle.crowd(160, func(ctx context.Context, cli *client) error {
		res, err := askUntilAnswered(ctx, cli, longAnswerPath)
		if err != nil {
			return err
		}
		<-ctx.Done()
		return res.Body.Close()
	})
	fle.requireContained()
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

func TestRequestsAreSentAheadAndNothingIsRead(t *testing.T) {
	fle := startFleet(t, small)
	fle.crowd(400, func(_ context.Context, cli *client) error {
		for range 1000 {
			if _, err := io.WriteString(cli, head(http.MethodGet, "/quotes/?bytes=1000000", 0)); err != nil {
				return err
			}
		}
		return nil
	})
	fle.requireContained()
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

func TestHeadsDoNotEnd(t *testing.T) {
	for name, part := range map[string]string{
		"many fields":    strings.Repeat("X-Field: value\r\n", 60<<10/len("X-Field: value\r\n")),
		"one long field": "X-Field: " + strings.Repeat("v", 60<<10),
	} {
		t.Run(name, func(t *testing.T) {
			fle := startFleet(t, small)
			fle.crowd(1200, func(ctx context.Context, cli *client) error {
				for ctx.Err() == nil {
					_, _ = io.WriteString(cli, "GET / HTTP/1.1\r\nHost: a\r\n"+part)
					// The connection is closed after the time for the head.
					_, _ = cli.reader.ReadByte()
					if err := cli.dialAgain(ctx); err != nil {
						return err
					}
				}
				return nil
			})
			fle.requireContained()
		})
	}
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

func TestLargeUploadsInBothDirections(t *testing.T) {
	fle := startFleet(t, smallest)
	const length = 60 << 20
	fle.crowd(4, func(_ context.Context, cli *client) error {
		path := "/confirms/?bytes=10"
		if cli.host != fle.hosts[0] {
			path = "/quotes/?bytes=10"
		}
		if _, err := io.WriteString(cli, head(http.MethodPost, path, length)); err != nil {
			return err
		}
		_, err := io.CopyN(cli, &pattern{length: -1}, length)
		return err
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

// Guards against a bound on memory that refuses what the limits of the configuration allow, to a node that has nothing else
// to do.
func TestASingleUploadOfTheLargestSizePasses(t *testing.T) {
	for name, length := range map[string]int64{"with a length": largestBodyBytes, "chunked": -1} {
		for target, path := range map[string]string{"own host": "/quotes/?bytes=10", "other host": "/confirms/?bytes=10"} {
			t.Run(name+" to the "+target, func(t *testing.T) {
				fle := startFleet(t, smallest)
				cli, err := dial(t.Context(), fle.hosts[0])
				require.NoError(t, err)
				defer func() { _ = cli.Close() }()
				_, err = io.WriteString(cli, head(http.MethodPost, path, length))
				require.NoError(t, err)
				_, err = io.Copy(bodyWriter{cli, length < 0}, &pattern{length: largestBodyBytes})
				require.NoError(t, err)
				if length < 0 {
					_, err = io.WriteString(cli, "0\r\n\r\n")
					require.NoError(t, err)
				}
				answered, err := cli.receive()
				require.NoError(t, err)
				require.Equal(t, int64(10), answered)
				require.Equal(t, int64(largestBodyBytes), max(fle.hosts[0].backend.received.Load(), fle.hosts[1].backend.received.Load()))
				fle.requireContained()
			})
		}
	}
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

func TestASingleLongAnswerPasses(t *testing.T) {
	for _, length := range []int64{18 << 20, 24 << 20, 96 << 20} {
		t.Run(fmt.Sprintf("%d MiB", length>>20), func(t *testing.T) {
			fle := startFleet(t, smallest)
			for _, hos := range fle.hosts {
				cli, err := dial(t.Context(), hos)
				require.NoError(t, err)
				defer func() { _ = cli.Close() }()
				_, err = io.WriteString(cli, head(http.MethodGet, fmt.Sprintf("/quotes/?bytes=%d", length), 0))
				require.NoError(t, err)
				received, err := cli.receive()
				require.NoError(t, err)
				require.Equal(t, length, received)
			}
			fle.requireContained()
		})
	}
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
