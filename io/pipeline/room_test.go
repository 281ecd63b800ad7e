package pipeline_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/httplistener"
	"flamingoreach/io/pipeline"
	"flamingoreach/io/room"
)

// Guards against answers that wait for their turn without a bound on their memory, and against one that is lost for it or
// whose request runs again.
func TestAnAnswerWithoutRoomWaitsForItsTurn(t *testing.T) {
	long := strings.Repeat("x", 2*roomBytes)
	ser := serve(t, func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery == "2" {
			_, _ = io.WriteString(wri, long)
		}
	})
	_, reader := connect(t, ser, get(100*time.Millisecond, 1)+get(0, 2)+get(0, 3)+get(0, 4))
	receiveNumbers(t, reader, 1, 1)
	require.Equal(t, long+"2", receive(t, reader).text)
	receiveNumbers(t, reader, 3, 4)
	require.Equal(t, int64(1), ser.pip.Waited())
	require.Equal(t, 4, ser.count("begin"), "each request runs once")
}

// Guards against an answer that looks complete although its handler gave up the wait for its turn.
func TestAnAnswerThatIsGivenUpEndsItsConnection(t *testing.T) {
	ser := serve(t, func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery == "2" {
			_ = http.NewResponseController(wri).SetWriteDeadline(time.Unix(1, 0))
			_, _ = io.WriteString(wri, strings.Repeat("x", 2*roomBytes))
		}
	})
	_, reader := connect(t, ser, get(100*time.Millisecond, 1)+get(0, 2)+get(0, 3))
	receiveNumbers(t, reader, 1, 1)
	requireEnd(t, reader)
}

// Guards against requests that start although the room for their answers is taken.
func TestWithoutRoomRequestsWaitForTheirTurn(t *testing.T) {
	ser := serve(t, nil)
	require.True(t, ser.pip.Room.Take(roomBytes))
	_, reader := connect(t, ser, get(10*time.Millisecond, 1)+get(0, 2)+get(0, 3))
	receiveNumbers(t, reader, 1, 3)
	require.Zero(t, ser.pip.Started())
	ser.pip.Room.GiveBack(roomBytes)
}

// Guards against a panic that ends the process because net/http does not recover it.
func TestAPanicEndsItsConnectionOnly(t *testing.T) {
	ser := serve(t, func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery == "2" {
			panic(http.ErrAbortHandler)
		}
	})
	_, reader := connect(t, ser, get(10*time.Millisecond, 1)+get(0, 2)+get(0, 3))
	receiveNumbers(t, reader, 1, 1)
	requireEnd(t, reader)
	_, reader = connect(t, ser, get(0, 4))
	receiveNumbers(t, reader, 4, 4)
}

// Guards against a deadline that begins only at the turn of a request that was read long before.
func TestTheTimeOfReadingIsKept(t *testing.T) {
	var waited atomic.Int64
	ser := serve(t, func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery == "2" {
			waited.Store(int64(time.Since(pipeline.ReadAt(req.Context()))))
		}
	})
	_, reader := connect(t, ser, get(200*time.Millisecond, 1)+"DELETE /?2 HTTP/1.1\r\nHost: a\r\n\r\n")
	receiveNumbers(t, reader, 1, 2)
	require.GreaterOrEqual(t, time.Duration(waited.Load()), 150*time.Millisecond)
}

// Guards against a deadline that begins only when one of the eight that run at a time has ended.
func TestTheTimeOfReadingIsKeptBehindTheLimit(t *testing.T) {
	const requests = 12
	var mut sync.Mutex
	waited := map[string]time.Duration{}
	ser := serve(t, func(_ http.ResponseWriter, req *http.Request) {
		mut.Lock()
		defer mut.Unlock()
		waited[req.URL.RawQuery] = time.Since(pipeline.ReadAt(req.Context()))
	})
	text := get(200*time.Millisecond, 1)
	for number := 2; number <= requests; number++ {
		text += get(0, number)
	}
	_, reader := connect(t, ser, text)
	receiveNumbers(t, reader, 1, requests)
	require.Equal(t, int64(requests-1), ser.pip.Started())
	for number := 9; number <= requests; number++ {
		require.GreaterOrEqual(t, waited[fmt.Sprint(number)], 150*time.Millisecond, number)
	}
}

// exchange measures requests on one connection that are not pipelined.
func exchange(tb testing.TB, pip *pipeline.Pipeline, run func(ask func())) {
	lis, err := httplistener.Listen(tb.Context(), netip.MustParseAddrPort("127.0.0.1:0"),
		http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		httplistener.Bounds{Connections: 64, HeaderBytes: 16 << 10, HeaderTime: 5 * time.Second, IdleTime: time.Minute, Pipeline: pip})
	require.NoError(tb, err)
	served := make(chan error, 1)
	go func() { served <- lis.Serve() }()
	con, err := (&net.Dialer{}).DialContext(tb.Context(), "tcp", lis.Address().String())
	require.NoError(tb, err)
	reader, request := bufio.NewReader(con), []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	run(func() {
		if _, err := con.Write(request); err != nil {
			tb.Fatal(err)
		}
		for {
			line, err := reader.ReadSlice('\n')
			if err != nil {
				tb.Fatal(err)
			}
			if len(line) == len("\r\n") {
				return
			}
		}
	})
	require.NoError(tb, con.Close())
	require.NoError(tb, lis.Close(tb.Context()))
	require.NoError(tb, <-served)
}

func newPipeline() *pipeline.Pipeline {
	return &pipeline.Pipeline{MayRunAhead: func(*http.Request) bool { return true }, Room: room.New(roomBytes)}
}

// Guards against connections without pipelined requests that pay for those of others: with the pipeline, a request costs
// no allocation and a connection no goroutine more. The allocations of a request vary by a small part, because net/http
// takes some objects from pools.
func TestConnectionsWithoutPipeliningCostAsBefore(t *testing.T) {
	const requests = 2000
	measure := func(pip *pipeline.Pipeline) (allocations float64, goroutines int) {
		exchange(t, pip, func(ask func()) {
			var before, after runtime.MemStats
			ask()
			runtime.ReadMemStats(&before)
			for range requests {
				ask()
				// net/http ends the turn shortly after it has sent the answer.
				time.Sleep(100 * time.Microsecond)
			}
			runtime.ReadMemStats(&after)
			allocations = float64(after.Mallocs-before.Mallocs) / requests
			goroutines = runtime.NumGoroutine()
		})
		return allocations, goroutines
	}
	plainAllocations, plainGoroutines := measure(nil)
	allocations, goroutines := measure(newPipeline())
	t.Logf("%.2f and %.2f allocations a request, %d and %d goroutines", plainAllocations, allocations, plainGoroutines, goroutines)
	require.Less(t, allocations-plainAllocations, 0.5)
	require.LessOrEqual(t, goroutines, plainGoroutines)
}

func BenchmarkRequestWithoutPipelining(b *testing.B) {
	for name, pip := range map[string]*pipeline.Pipeline{"without": nil, "with": newPipeline()} {
		b.Run(name, func(b *testing.B) {
			exchange(b, pip, func(ask func()) {
				b.ReportAllocs()
				for b.Loop() {
					ask()
				}
			})
		})
	}
}

// Guards against a planned stop that drops an answer whose handler waits for its turn, because there was no room for it.
func TestAStopSendsTheAnswersThatHaveNoRoom(t *testing.T) {
	long := strings.Repeat("x", 2*roomBytes)
	ser := serve(t, func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery != "1" {
			_, _ = io.WriteString(wri, long)
		}
	})
	_, reader := connect(t, ser, get(200*time.Millisecond, 1)+get(0, 2)+get(0, 3)+get(0, 4))
	require.Eventually(t, func() bool { return ser.count("end") == 3 }, 5*time.Second, time.Millisecond)
	closed := make(chan error, 1)
	go func() { closed <- ser.close(t.Context()) }()
	receiveNumbers(t, reader, 1, 1)
	for number := 2; number <= 4; number++ {
		ans := receive(t, reader)
		require.Equal(t, long+fmt.Sprint(number), ans.text)
		require.Equal(t, number == 4, ans.close)
	}
	requireEnd(t, reader)
	require.NoError(t, <-closed)
	require.Zero(t, ser.pip.Cancelled())
}
