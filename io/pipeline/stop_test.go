package pipeline_test

import (
	"bufio"
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
