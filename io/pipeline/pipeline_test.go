package pipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/httplistener"
	"flamingoreach/io/pipeline"
	"flamingoreach/io/room"
)

const roomBytes = 1 << 20

// server is a listener with a pipeline. Its handler answers with the path and the query of a request, after the time that
// the path's first segment gives.
type server struct {
	pip     *pipeline.Pipeline
	address netip.AddrPort
	close   func(ctx context.Context) error

	mut sync.Mutex
	// events holds "begin", "end" or "cancelled" with the query of a request.
	events []string
}

// serve runs a server until the end of the test, with a handler that is called before the answer.
func serve(t *testing.T, before func(wri http.ResponseWriter, req *http.Request)) *server {
	t.Helper()
	ser := &server{pip: &pipeline.Pipeline{
		MayRunAhead: func(req *http.Request) bool { return req.Method == http.MethodGet },
		Room:        room.New(roomBytes),
	}}
	lis, err := httplistener.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"),
		http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) { ser.answer(wri, req, before) }),
		httplistener.Bounds{Connections: 64, HeaderBytes: 16 << 10, HeaderTime: 5 * time.Second, IdleTime: time.Minute, Pipeline: ser.pip})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- lis.Serve() }()
	ser.address, ser.close = lis.Address(), lis.Close
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		require.NoError(t, lis.Close(ctx))
		require.NoError(t, <-ended)
		require.Zero(t, ser.pip.Room.Used(), "all room is given back")
	})
	return ser
}

func (ser *server) answer(wri http.ResponseWriter, req *http.Request, before func(wri http.ResponseWriter, req *http.Request)) {
	ser.note("begin", req)
	_, _ = io.Copy(io.Discard, req.Body)
	wait, _ := time.ParseDuration(strings.TrimPrefix(req.URL.Path, "/"))
	select {
	case <-time.After(wait):
		ser.note("end", req)
	case <-req.Context().Done():
		ser.note("cancelled", req)
	}
	if before != nil {
		before(wri, req)
	}
	_, _ = io.WriteString(wri, req.URL.RawQuery)
}

func (ser *server) note(event string, req *http.Request) {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	ser.events = append(ser.events, event+" "+req.URL.RawQuery)
}

// seen returns the events so far.
func (ser *server) seen() []string {
	ser.mut.Lock()
	defer ser.mut.Unlock()
	return append([]string(nil), ser.events...)
}

// count returns the number of events of a kind.
func (ser *server) count(kind string) int {
	count := 0
	for _, event := range ser.seen() {
		if strings.HasPrefix(event, kind+" ") {
			count++
		}
	}
	return count
}

func connect(t *testing.T, ser *server, texts ...string) (net.Conn, *bufio.Reader) {
	t.Helper()
	con, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", ser.address.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = con.Close() })
	for index, text := range texts {
		if index > 0 {
			time.Sleep(20 * time.Millisecond)
		}
		_, err = io.WriteString(con, text)
		require.NoError(t, err)
	}
	return con, bufio.NewReader(con)
}

// get returns a request that is answered with a number after a time.
func get(wait time.Duration, number int) string {
	return fmt.Sprintf("GET /%s?%d HTTP/1.1\r\nHost: a\r\n\r\n", wait, number)
}

// answer is what the tests look at of an answer.
type answer struct {
	status           int
	close            bool
	retryAfter, text string
}

// receive reads an answer.
func receive(t *testing.T, reader *bufio.Reader) answer {
	t.Helper()
	res, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	text, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return answer{status: res.StatusCode, close: res.Close, retryAfter: res.Header.Get("Retry-After"), text: string(text)}
}

// receiveNumbers reads answers and requires that they have consecutive numbers.
func receiveNumbers(t *testing.T, reader *bufio.Reader, from, to int) {
	t.Helper()
	for number := from; number <= to; number++ {
		ans := receive(t, reader)
		require.Equal(t, http.StatusOK, ans.status)
		require.Equal(t, fmt.Sprint(number), ans.text)
	}
}

func requireEnd(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against pipelined requests that run one after another.
func TestRequestsRunAtTheSameTime(t *testing.T) {
	var head strings.Builder
	for number := 1; number <= 4; number++ {
		head.WriteString(get(0, number))
	}
	all := head.String()
	for name, parts := range map[string][]string{
		"one read":      {all},
		"a read each":   {get(0, 1), get(0, 2), get(0, 3), get(0, 4)},
		"divided heads": {all[:10], all[10:50], all[50 : len(all)-1], all[len(all)-1:]},
		"single bytes":  strings.Split(get(0, 1)+get(0, 2)+get(0, 3)+get(0, 4), ""),
	} {
		t.Run(name, func(t *testing.T) {
			var together sync.WaitGroup
			together.Add(4)
			ran := make(chan struct{})
			go func() { together.Wait(); close(ran) }()
			ser := serve(t, func(wri http.ResponseWriter, _ *http.Request) {
				together.Done()
				select {
				case <-ran:
				case <-time.After(10 * time.Second):
					wri.WriteHeader(http.StatusGatewayTimeout)
				}
			})
			_, reader := connect(t, ser, parts...)
			receiveNumbers(t, reader, 1, 4)
			require.Equal(t, int64(3), ser.pip.Started())
			require.Zero(t, ser.pip.Cancelled())
		})
	}
}

// Guards against a slow, refused or failing request that affects its neighbours or gets another's answer.
func TestARequestDoesNotAffectItsNeighbours(t *testing.T) {
	ser := serve(t, func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery == "2" {
			wri.Header().Set("Retry-After", "1")
			wri.WriteHeader(http.StatusTooManyRequests)
		}
	})
	_, reader := connect(t, ser, get(200*time.Millisecond, 1)+get(0, 2)+get(time.Millisecond, 3)+get(0, 4))
	receiveNumbers(t, reader, 1, 1)
	ans := receive(t, reader)
	require.Equal(t, http.StatusTooManyRequests, ans.status)
	require.Equal(t, "1", ans.retryAfter)
	require.Equal(t, "2", ans.text)
	receiveNumbers(t, reader, 3, 4)
	require.Equal(t, "end 1", ser.seen()[7])
}

// Guards against requests that run before one that may not run ahead, or ahead of a body.
func TestOtherRequestsAndThoseBehindThemWaitForTheirTurn(t *testing.T) {
	for name, middle := range map[string]string{
		"no body":      "DELETE /20ms?3 HTTP/1.1\r\nHost: a\r\n\r\n",
		"body":         "POST /20ms?3 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
		"chunked body": "POST /20ms?3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"body of GET":  "GET /20ms?3 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nGET ",
		"long body":    "POST /20ms?3 HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("0123456789", 10_000),
		"long head":    "GET /20ms?3 HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 8000) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ser := serve(t, nil)
			_, reader := connect(t, ser, get(50*time.Millisecond, 1)+get(50*time.Millisecond, 2)+middle+get(50*time.Millisecond, 4)+get(0, 5))
			receiveNumbers(t, reader, 1, 5)
			events := ser.seen()
			require.ElementsMatch(t, []string{"begin 1", "begin 2", "end 1", "end 2"}, events[:4])
			require.Len(t, events, 10)
			if name == "long head" {
				// At its turn, this one may run beside those behind it.
				return
			}
			require.Equal(t, []string{"begin 3", "end 3"}, events[4:6])
		})
	}
}

// Guards against requests that run on for a caller that has left, also one that has sent more than is read.
func TestACallerThatLeavesCancelsAll(t *testing.T) {
	for name, requests := range map[string]int{"one": 1, "few": 4, "many": 1000} {
		t.Run(name, func(t *testing.T) {
			ser := serve(t, nil)
			con, _ := connect(t, ser, strings.Repeat(get(time.Minute, 1), requests))
			running := min(requests, 8)
			require.Eventually(t, func() bool { return ser.count("begin") == running }, 5*time.Second, time.Millisecond)
			require.NoError(t, con.Close())
			left := time.Now()
			require.Eventually(t, func() bool { return ser.count("cancelled") >= running }, 5*time.Second, time.Millisecond)
			require.Less(t, time.Since(left), 500*time.Millisecond)
			require.Equal(t, int64(running-1), ser.pip.Cancelled())
		})
	}
}

// Guards against requests that are passed on behind an answer that ends the connection, and against a reset that takes
// that answer from the caller.
func TestAnAnswerThatEndsTheConnectionCancelsThoseBehind(t *testing.T) {
	ser := serve(t, func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.RawQuery == "2" {
			wri.Header().Set("Connection", "close")
		}
	})
	con, reader := connect(t, ser, get(50*time.Millisecond, 1)+get(100*time.Millisecond, 2)+get(time.Minute, 3)+strings.Repeat(get(time.Minute, 4), 100))
	time.Sleep(200 * time.Millisecond)
	receiveNumbers(t, reader, 1, 1)
	ans := receive(t, reader)
	require.True(t, ans.close)
	require.Equal(t, "2", ans.text)
	requireEnd(t, reader)
	require.NoError(t, con.Close())
	require.Eventually(t, func() bool { return ser.count("cancelled") == ser.count("begin")-2 }, time.Second, time.Millisecond)
	require.Equal(t, int64(ser.count("cancelled")), ser.pip.Cancelled())
}

// Guards against memory and concurrency that grow with the requests that a caller sends ahead.
func TestAThousandRequestsAtOnce(t *testing.T) {
	const requests, size = 1000, 20 << 10
	var mut sync.Mutex
	running, most := 0, 0
	var used int64
	var ser *server
	ser = serve(t, func(wri http.ResponseWriter, _ *http.Request) {
		mut.Lock()
		running++
		most, used = max(most, running), max(used, ser.pip.Room.Used())
		mut.Unlock()
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(wri, strings.Repeat("x", size))
		mut.Lock()
		running--
		mut.Unlock()
	})
	con, reader := connect(t, ser)
	sent := make(chan error, 1)
	go func() {
		var text strings.Builder
		for number := range requests {
			text.WriteString(get(0, number))
		}
		_, err := io.WriteString(con, text.String())
		sent <- err
	}()
	for number := range requests {
		ans := receive(t, reader)
		require.Equal(t, http.StatusOK, ans.status)
		require.Equal(t, fmt.Sprint(number), ans.text[size:])
	}
	require.NoError(t, <-sent)
	require.Equal(t, 8, most)
	require.LessOrEqual(t, used, int64(8*64<<10), "eight requests of one connection")
	require.Greater(t, ser.pip.Started(), int64(requests/2))
}

// Guards against requests that are passed on behind a head that ends the connection.
func TestAFaultyHeadEndsThePipelining(t *testing.T) {
	for name, test := range map[string]struct {
		head   string
		status int
	}{
		"malformed":  {"GET\r\nHost: a\r\n\r\n", http.StatusBadRequest},
		"empty line": {"\r\nGET /1m?3 HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
		"no host":    {"GET /1m?3 HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"bad name":   {"GET /1m?3 HTTP/1.1\r\nHost: a\r\nA(: b\r\n\r\n", http.StatusBadRequest},
		"ambiguous":  {"GET /1m?3 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n", http.StatusBadRequest},
		"too large":  {"GET /1m?3 HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			ser := serve(t, nil)
			_, reader := connect(t, ser, get(50*time.Millisecond, 1)+get(50*time.Millisecond, 2)+test.head+get(0, 4)+strings.Repeat(get(0, 5), 100))
			receiveNumbers(t, reader, 1, 2)
			ans := receive(t, reader)
			require.Equal(t, test.status, ans.status)
			require.True(t, ans.close)
			requireEnd(t, reader)
			require.Len(t, ser.seen(), 4)
		})
	}
}
