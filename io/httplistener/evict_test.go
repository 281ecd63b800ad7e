package httplistener_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/httplistener"
)

// listen serves requests until the end of the test, each with an answer of the given number of bytes.
func listen(t *testing.T, answerBytes int, bou httplistener.Bounds) netip.AddrPort {
	t.Helper()
	bou.HeaderBytes, bou.HeaderTime, bou.IdleTime = 16<<10, time.Minute, time.Minute
	lis, err := httplistener.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"),
		http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) { _, _ = wri.Write(make([]byte, answerBytes)) }), bou)
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- lis.Serve() }()
	t.Cleanup(func() {
		_ = lis.Close(t.Context())
		require.NoError(t, <-served)
	})
	return lis.Address()
}

// ask sends a request on a new connection and returns a reader of the answer.
func ask(t *testing.T, address netip.AddrPort) *bufio.Reader {
	t.Helper()
	con, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = con.Close() })
	require.NoError(t, con.(*net.TCPConn).SetReadBuffer(16<<10))
	require.NoError(t, con.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(con, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	return bufio.NewReader(con)
}

func receiveAnswer(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	res, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return len(body)
}

// Guards against a listener that takes no new connections because of idle ones.
func TestIdleConnectionsEndForNewOnes(t *testing.T) {
	var evicted atomic.Int64
	address := listen(t, 10, httplistener.Bounds{Connections: 3, OnEvict: func(why string, connections int) {
		if why != "idle" || connections != 3 {
			t.Error(why, connections)
		}
		evicted.Add(1)
	}})
	var readers []*bufio.Reader
	for range 6 {
		reader := ask(t, address)
		require.Equal(t, 10, receiveAnswer(t, reader))
		readers = append(readers, reader)
	}
	require.Positive(t, evicted.Load())
	res, err := http.ReadResponse(readers[0], nil)
	require.NoError(t, err, "the client of the connection that was idle longest is told")
	require.NoError(t, res.Body.Close())
	require.Equal(t, http.StatusRequestTimeout, res.StatusCode)
	_, err = readers[0].ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

func TestAConnectionIsIdleForNoLongerThanTheLimitThatMayChange(t *testing.T) {
	address := listen(t, 10, httplistener.Bounds{Connections: 3, IdleLimit: func() time.Duration { return 100 * time.Millisecond }})
	reader := ask(t, address)
	require.Equal(t, 10, receiveAnswer(t, reader))
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against clients that keep a listener from taking new connections because they do not read their answers, and
// against one that loses its answer because it pauses.
func TestAPatientListenerWaitsForReadersUntilThePlaceIsNeeded(t *testing.T) {
	const long = 32 << 20
	address := listen(t, long, httplistener.Bounds{Connections: 1, Patient: true})
	reader := ask(t, address)
	_, err := reader.Peek(1)
	require.NoError(t, err)
	time.Sleep(3 * time.Second)
	require.Equal(t, long, receiveAnswer(t, reader), "a client that pauses gets the rest")
	reader = ask(t, address)
	_, err = reader.Peek(1)
	require.NoError(t, err)
	next := ask(t, address)
	require.Equal(t, long, receiveAnswer(t, next), "a client that reads nothing gives way")
}
