package httplistener

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	closeRounds  = 20
	closeClients = 48
	// maxThinkTime is the longest pause of a client between two requests on its connection.
	maxThinkTime = 30 * time.Millisecond
)

// closeRound holds what the clients of one listener saw.
type closeRound struct {
	answered, notRun, lost atomic.Int64

	mut sync.Mutex
	// losses describes the lost requests.
	losses []string
}

// lose records a lost request.
func (rou *closeRound) lose(request int, err error) {
	rou.lost.Add(1)
	rou.mut.Lock()
	defer rou.mut.Unlock()
	rou.losses = append(rou.losses, fmt.Sprintf("request %d of its connection: %v", request, err))
}

// run sends requests over kept connections until the listener refuses connections.
func (rou *closeRound) run(address netip.AddrPort, ran *rand.Rand) {
	for {
		con, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(address))
		if err != nil {
			return
		}
		reader := bufio.NewReader(con)
		for request := 1; rou.exchange(con, reader, request); request++ {
			time.Sleep(time.Duration(ran.Int64N(int64(maxThinkTime))))
		}
		_ = con.Close()
	}
}

// exchange sends one request and reports whether the connection can be used again.
func (rou *closeRound) exchange(con *net.TCPConn, reader *bufio.Reader, request int) bool {
	if _, err := io.WriteString(con, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
		rou.lose(request, err)
		return false
	}
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		rou.lose(request, err)
		return false
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		rou.lose(request, err)
	}
	_ = res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		rou.answered.Add(1)
	case http.StatusRequestTimeout:
		rou.notRun.Add(1)
	default:
		rou.lose(request, fmt.Errorf("status %d", res.StatusCode))
	}
	return !res.Close
}

// Guards against requests that a planned stop cuts: each one is answered or told that it did not run.
func TestACloseUnderLoadLosesNoRequest(t *testing.T) {
	ran := rand.New(rand.NewPCG(1, 0))
	for round := range closeRounds {
		var runs atomic.Int64
		lis, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			_, _ = wri.Write([]byte("done"))
		}), Bounds{Connections: 2 * closeClients, IdleTime: time.Minute})
		require.NoError(t, err)
		served := make(chan error, 1)
		go func() { served <- lis.Serve() }()
		var rou closeRound
		var clients sync.WaitGroup
		for range closeClients {
			client := rand.New(rand.NewPCG(ran.Uint64(), 0))
			clients.Go(func() { rou.run(lis.Address(), client) })
		}
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, lis.Close(t.Context()))
		require.NoError(t, <-served)
		clients.Wait()
		t.Logf("round %d: %d answered, %d not run, %d lost", round, rou.answered.Load(), rou.notRun.Load(), rou.lost.Load())
		require.Positive(t, rou.answered.Load())
		require.Empty(t, rou.losses)
		require.Equal(t, rou.answered.Load(), runs.Load(), "no request ran that was told otherwise")
	}
}

// Guards against a slow sender whose request a planned stop cuts.
func TestARequestThatIsStillBeingSentAtTheCloseIsAnswered(t *testing.T) {
	lis, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(wri, req.Body)
	}), Bounds{Connections: 4, IdleTime: time.Minute})
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- lis.Serve() }()
	const head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n"
	var slow []net.Conn
	for _, sent := range []string{head[:10], head, head + "half"} {
		slow = append(slow, connect(t, lis.Address(), sent))
	}
	time.Sleep(50 * time.Millisecond)
	closed := make(chan error, 1)
	go func() { closed <- lis.Close(t.Context()) }()
	time.Sleep(2 * lingerTime)
	for index, rest := range []string{head[10:] + "halfrest", "halfrest", "rest"} {
		_, err := io.WriteString(slow[index], rest)
		require.NoError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(slow[index]), nil)
		require.NoError(t, err)
		text, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		require.Equal(t, "halfrest", string(text))
	}
	require.NoError(t, <-closed)
	require.NoError(t, <-served)
}
