package httplistener

import (
	"bufio"
	"context"
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
)

func listen(t *testing.T, bou Bounds, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	lis, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), handler, bou)
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- lis.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		require.NoError(t, lis.Close(ctx))
		require.NoError(t, <-ended)
	})
	return lis.Address()
}

func connect(t *testing.T, address netip.AddrPort, text string) net.Conn {
	t.Helper()
	con, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(address))
	require.NoError(t, err)
	t.Cleanup(func() { _ = con.Close() })
	_, err = io.WriteString(con, text)
	require.NoError(t, err)
	return con
}

func TestLongHeadIsRefusedAndTheConnectionClosed(t *testing.T) {
	address := listen(t, Bounds{HeaderBytes: 4 << 10, Connections: 4}, func(http.ResponseWriter, *http.Request) {
		t.Error("the handler was reached")
	})
	con := connect(t, address, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 16<<10)+"\r\n\r\n")
	text, err := io.ReadAll(con)
	require.Contains(t, string(text), "431")
	if err != nil {
		require.ErrorContains(t, err, "reset")
	}
}

func TestSlowHeadEndsTheConnection(t *testing.T) {
	address := listen(t, Bounds{HeaderBytes: 4 << 10, HeaderTime: 50 * time.Millisecond, Connections: 4}, func(http.ResponseWriter, *http.Request) {
		t.Error("the handler was reached")
	})
	con := connect(t, address, "GET / HTTP/1.1\r\nHost: a\r\nX: slow")
	text, err := io.ReadAll(con)
	require.NoError(t, err)
	require.NotContains(t, string(text), "200")
}

func TestConnectionsBeyondTheBoundWait(t *testing.T) {
	const bound, callers = 2, 8
	var running atomic.Int64
	entered, release := make(chan struct{}, callers), make(chan struct{})
	address := listen(t, Bounds{HeaderBytes: 4 << 10, Connections: bound}, func(wri http.ResponseWriter, _ *http.Request) {
		if running.Add(1) > bound {
			t.Error("more connections than the bound are served")
		}
		entered <- struct{}{}
		<-release
		running.Add(-1)
		_, _ = fmt.Fprint(wri, "done")
	})
	var connections []net.Conn
	for range callers {
		connections = append(connections, connect(t, address, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))
	}
	for range bound {
		<-entered
	}
	close(release)
	for _, con := range connections {
		text, err := io.ReadAll(con)
		require.NoError(t, err)
		require.Contains(t, string(text), "done")
	}
}

func TestAnIdleConnectionIsServedOnceMoreBeforeItEnds(t *testing.T) {
	lis, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(wri, "done")
	}), Bounds{Connections: 4})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- lis.Serve() }()
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	con := connect(t, lis.Address(), request)
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	require.NoError(t, err)
	require.False(t, res.Close)
	require.NoError(t, res.Body.Close())
	lis.EndKeepAlive()
	_, err = io.WriteString(con, request)
	require.NoError(t, err, "the idle connection is still open")
	text, err := io.ReadAll(con)
	require.NoError(t, err)
	require.Contains(t, string(text), "Connection: close")
	require.Contains(t, string(text), "done")
	require.NoError(t, lis.Close(t.Context()))
	require.NoError(t, <-ended)
}

func TestConnectionsOfTheBacklogAreServedAtTheClose(t *testing.T) {
	bound, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	soc := newSocket(bound.(*net.TCPListener))
	const waiting = 5
	for range waiting {
		connect(t, bound.Addr().(*net.TCPAddr).AddrPort(), "sent")
	}
	drained := make(chan struct{})
	go func() { soc.drain(t.Context()); close(drained) }()
	for range waiting {
		con, err := acceptAfterClose(soc)
		require.NoError(t, err)
		text := make([]byte, len("sent"))
		_, err = io.ReadFull(con, text)
		require.NoError(t, err, "a request that was sent can be read")
		require.NoError(t, con.Close())
	}
	_, err = acceptAfterClose(soc)
	require.ErrorIs(t, err, net.ErrClosed)
	<-drained
}

// acceptAfterClose waits until the socket is being closed and then accepts, as the server does.
func acceptAfterClose(soc *socket) (net.Conn, error) {
	for !soc.closing.Load() {
		runtime.Gosched()
	}
	return soc.Accept()
}

func TestNoConnectionIsEstablishedBetweenEmptyingTheBacklogAndTheClose(t *testing.T) {
	bound, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	soc := newSocket(bound.(*net.TCPListener))
	soc.onBacklogAccepted = func() {
		con, err := (&net.Dialer{Timeout: 100 * time.Millisecond}).DialContext(t.Context(), "tcp", bound.Addr().String())
		if err == nil {
			t.Error("a connection that will be reset was established")
			_ = con.Close()
		}
	}
	soc.drain(t.Context())
	_, err = acceptAfterClose(soc)
	require.ErrorIs(t, err, net.ErrClosed)
}

// The listener is closed when requests have arrived that the server has not read yet; the shutdown of net/http would
// drop them.
func TestUnreadRequestsOnIdleAndNewConnectionsAreAnsweredAtTheClose(t *testing.T) {
	const connections = 64
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	handler := http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) { _, _ = wri.Write([]byte("done")) })
	bou := Bounds{HeaderBytes: 4096, HeaderTime: time.Second, IdleTime: time.Minute, Connections: 2 * connections}
	lis, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), handler, bou)
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- lis.Serve() }()
	var cons []net.Conn
	var readers []*bufio.Reader
	ask := func(con net.Conn) {
		_, err := con.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
		require.NoError(t, err)
	}
	for index := range connections {
		con, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", lis.Address().String())
		require.NoError(t, err)
		cons, readers = append(cons, con), append(readers, bufio.NewReader(con))
		ask(con)
		requireAnswer(t, readers[index])
	}
	// net/http marks a connection as idle shortly after its answer was sent.
	time.Sleep(100 * time.Millisecond)
	for _, con := range cons {
		ask(con)
	}
	for range connections / 2 {
		con, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", lis.Address().String())
		require.NoError(t, err)
		cons, readers = append(cons, con), append(readers, bufio.NewReader(con))
		ask(con)
	}
	closed := make(chan error, 1)
	go func() { closed <- lis.Close(t.Context()) }()
	for index, con := range cons {
		requireAnswer(t, readers[index])
		require.NoError(t, con.Close())
	}
	require.NoError(t, <-closed)
	require.NoError(t, <-ended)
}

// Guards against a reset of a kept connection on which a request crosses the close.
func TestARequestThatCrossesTheCloseIsToldThatItDidNotRun(t *testing.T) {
	// With one processor, the server does not read the request before the connection is closed.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var runs atomic.Int64
	handler := http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = wri.Write([]byte("done"))
	})
	lis, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), handler, Bounds{Connections: 4, IdleTime: time.Minute, Farewell: http.Header{"Outcome": {"notRun"}}})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- lis.Serve() }()
	const request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	con := connect(t, lis.Address(), request)
	reader := bufio.NewReader(con)
	requireAnswer(t, reader)
	lis.socket.connections.onIdle = sync.OnceFunc(func() {
		if _, err := io.WriteString(con, request); err != nil {
			t.Error(err)
		}
	})
	time.Sleep(50 * time.Millisecond)
	closed := make(chan error, 1)
	go func() { closed <- lis.Close(t.Context()) }()
	res, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Contains(t, []int{http.StatusOK, http.StatusRequestTimeout}, res.StatusCode)
	require.True(t, res.Close)
	require.Equal(t, res.StatusCode == http.StatusRequestTimeout, res.Header.Get("Outcome") == "notRun")
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, res.StatusCode == http.StatusOK, runs.Load() == 2, "a refused request must not run")
	require.NoError(t, con.Close())
	require.NoError(t, <-closed)
	require.NoError(t, <-ended)
}

func requireAnswer(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	res, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
}
