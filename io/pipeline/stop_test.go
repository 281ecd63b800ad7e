package pipeline_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	stopRounds  = 8
	stopClients = 24
	stopBatch   = 5
	// shortPause and longPause are the longest pauses between two batches, of every other client each. The closing of the
	// socket takes longer than the short one, so that only connections with the long one are idle when farewells are sent.
	shortPause = 5 * time.Millisecond
	longPause  = 60 * time.Millisecond
	// clientNumbers divides the numbers of requests among the clients.
	clientNumbers = 1 << 20
)

var errNotRun = errors.New("the request has not run")

// batch sends several requests at once and reads the answers. It returns how many were answered, whether the connection
// goes on, and an error if it ended before an answer said so, or errNotRun if the answer behind them is 408.
func batch(con net.Conn, reader *bufio.Reader, from int) (answered int, goesOn bool, err error) {
	var text strings.Builder
	for number := range stopBatch {
		text.WriteString(get(time.Millisecond, from+number))
	}
	if _, err := io.WriteString(con, text.String()); err != nil {
		return 0, false, err
	}
	for number := range stopBatch {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return number, false, err
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		switch {
		case err != nil:
			return number, false, err
		case res.StatusCode == http.StatusRequestTimeout:
			return number, false, errNotRun
		case res.StatusCode != http.StatusOK || string(body) != fmt.Sprint(from+number):
			return number, false, fmt.Errorf("request %d: status %d, %q", from+number, res.StatusCode, body)
		case res.Close:
			return number + 1, false, nil
		}
	}
	return stopBatch, true, nil
}

// Guards against a planned stop that resets connections with pipelined requests, or loses one that was not told so: each
// is answered, or behind an answer that ends the connection or says that it has not run.
func TestAStopUnderPipelinedLoadLosesNoRequest(t *testing.T) {
	var told atomic.Int64
	for round := range stopRounds {
		ser := serve(t, nil)
		var answered atomic.Int64
		var notRun sync.Map
		var clients sync.WaitGroup
		for client := range stopClients {
			ran := rand.New(rand.NewPCG(uint64(round), uint64(client)))
			con, reader := connect(t, ser)
			pause := shortPause
			if client%2 == 1 {
				pause = longPause
			}
			clients.Go(func() {
				for from := client * clientNumbers; ; from += stopBatch {
					count, goesOn, err := batch(con, reader, from)
					answered.Add(int64(count))
					switch {
					case errors.Is(err, errNotRun):
						notRun.Store(from+count, true)
						told.Add(1)
					case err != nil:
						t.Errorf("round %d, client %d, request %d: %v", round, client, from+count, err)
					}
					if !goesOn {
						_ = con.Close()
						return
					}
					time.Sleep(time.Duration(ran.Int64N(int64(pause))))
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, ser.close(t.Context()))
		clients.Wait()
		require.Positive(t, answered.Load())
		require.GreaterOrEqual(t, int64(ser.count("end")), answered.Load())
		require.Zero(t, ser.pip.Room.Used())
		for _, event := range ser.seen() {
			kind, text, _ := strings.Cut(event, " ")
			number, err := strconv.Atoi(text)
			require.NoError(t, err)
			_, told := notRun.Load(number)
			require.False(t, told, "%s of request %d, which was told that it has not run", kind, number)
		}
	}
	t.Logf("%d requests were told that they have not run", told.Load())
}

const (
	// rowSeed is the seed of the rows of requests that are sent before a stop.
	rowSeed = 8
	// maxRunning bounds the requests of one connection that run at the same time.
	maxRunning = 8
	// longestAnswer is the longest time that a handler of these rows takes.
	longestAnswer = 1500 * time.Millisecond
)

// Guards against a planned stop that drops the answers of requests that run, or runs one behind them.
func TestAStopAnswersAllRequestsThatRun(t *testing.T) {
	ser := serve(t, nil)
	var text strings.Builder
	for number := 1; number <= maxRunning; number++ {
		text.WriteString(get(200*time.Millisecond, number))
	}
	con, reader := connect(t, ser, text.String()+strings.Repeat(get(time.Minute, maxRunning+1), 100))
	require.Eventually(t, func() bool { return ser.count("begin") == maxRunning }, 5*time.Second, time.Millisecond)
	closed := make(chan error, 1)
	go func() { closed <- ser.close(t.Context()) }()
	for number := 1; number <= maxRunning; number++ {
		ans := receive(t, reader)
		require.Equal(t, fmt.Sprint(number), ans.text)
		require.Equal(t, number == maxRunning, ans.close, "only the last answer ends the connection")
	}
	requireEnd(t, reader)
	require.NoError(t, con.Close())
	require.NoError(t, <-closed)
	require.Equal(t, maxRunning, ser.count("begin"))
	require.Zero(t, ser.count("cancelled"))
	require.Zero(t, ser.pip.Cancelled())
}

// Guards against a stop that waits for requests that run ahead beyond its own end.
func TestAStopEndsAlthoughRequestsRunAhead(t *testing.T) {
	ser := serve(t, nil)
	_, reader := connect(t, ser, strings.Repeat(get(time.Minute, 1), 4))
	require.Eventually(t, func() bool { return ser.count("begin") == 4 }, 5*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	began := time.Now()
	require.ErrorIs(t, ser.close(ctx), context.DeadlineExceeded)
	require.Less(t, time.Since(began), time.Second)
	requireEnd(t, reader)
	require.Eventually(t, func() bool { return ser.count("cancelled") == 4 }, time.Second, time.Millisecond)
}

// Guards against a stop that loses a request that runs, whatever the number of requests of the row, their times, their
// bodies and the moment of the stop.
func TestAStopLosesNoRequestOfARow(t *testing.T) {
	for _, after := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second} {
		for requests := 2; requests <= 2*maxRunning; requests++ {
			t.Run(fmt.Sprintf("%d requests, %s", requests, after), func(t *testing.T) {
				t.Parallel()
				ran := rand.New(rand.NewPCG(rowSeed, uint64(requests)<<32|uint64(after)))
				var text strings.Builder
				for number := 1; number <= requests; number++ {
					wait := time.Duration(ran.Int64N(int64(longestAnswer) >> ran.IntN(8))).Round(time.Millisecond)
					if number > 1 && ran.IntN(requests) == 0 {
						fmt.Fprintf(&text, "POST /%s?%d HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", wait, number)
						continue
					}
					text.WriteString(get(wait, number))
				}
				ser := serve(t, nil)
				con, reader := connect(t, ser, text.String())
				time.Sleep(after)
				closed := make(chan error, 1)
				go func() { closed <- ser.close(t.Context()) }()
				answered := receiveRow(t, reader, requests)
				require.NoError(t, con.Close())
				require.NoError(t, <-closed)
				require.Equal(t, answered, ser.count("begin"), "each request that began is answered")
				require.Equal(t, answered, ser.count("end"))
			})
		}
	}
}

// receiveRow reads the answers to a row of requests until one ends the connection, or until the farewell behind the last
// one, and returns their number.
func receiveRow(t *testing.T, reader *bufio.Reader, requests int) int {
	t.Helper()
	for number := 1; ; number++ {
		ans := receive(t, reader)
		if ans.status == http.StatusRequestTimeout {
			require.Equal(t, requests+1, number, "a request that was read is not told that it has not run")
			return requests
		}
		require.Equal(t, http.StatusOK, ans.status)
		require.Equal(t, fmt.Sprint(number), ans.text)
		if ans.close {
			requireEnd(t, reader)
			return number
		}
	}
}
