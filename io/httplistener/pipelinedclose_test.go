package httplistener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const pipelinedRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against a planned stop that tells a client that a request has not run which the server has read together with
// the one before it, and then runs.
func TestARequestReadWithAnotherIsNotToldThatItDidNotRun(t *testing.T) {
	lis, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		_, _ = wri.Write([]byte("done"))
	}), Bounds{Connections: 4, IdleTime: time.Minute})
	require.NoError(t, err)
	notify := lis.server.ConnState
	lis.server.ConnState = func(con net.Conn, state http.ConnState) {
		notify(con, state)
		if state == http.StateIdle {
			// A round of Close at the moment between the two requests.
			lis.socket.connections.closeAnsweredNow()
		}
	}
	served := make(chan error, 1)
	go func() { served <- lis.Serve() }()
	con := connect(t, lis.Address(), strings.Repeat(pipelinedRequest, 2))
	reader := bufio.NewReader(con)
	for range 2 {
		res, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		require.Equal(t, http.StatusOK, res.StatusCode)
	}
	require.NoError(t, con.Close())
	require.NoError(t, lis.Close(t.Context()))
	require.NoError(t, <-served)
}

// Guards against a planned stop that sends its farewell into the answer to a request that arrives while it finds the
// connection idle.
func TestARequestThatIsBeingAnsweredIsNotToldThatItDidNotRun(t *testing.T) {
	begun, farewellDue := make(chan struct{}), make(chan struct{})
	lis, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/long" {
			return
		}
		_, _ = wri.Write([]byte("begun "))
		_ = http.NewResponseController(wri).Flush()
		close(begun)
		<-farewellDue
		_, _ = wri.Write([]byte("done"))
	}), Bounds{Connections: 4, IdleTime: time.Minute})
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- lis.Serve() }()
	con := connect(t, lis.Address(), pipelinedRequest)
	reader := bufio.NewReader(con)
	res, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	// net/http marks a connection as idle shortly after its answer was sent.
	time.Sleep(100 * time.Millisecond)
	lis.socket.connections.onIdle = func() {
		_, err := io.WriteString(con, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		<-begun
	}
	lis.socket.connections.closeAnsweredNow()
	lis.socket.connections.onIdle = nil
	close(farewellDue)
	res, err = http.ReadResponse(reader, nil)
	require.NoError(t, err)
	text, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, "begun done", string(text))
	require.NoError(t, con.Close())
	require.NoError(t, lis.Close(t.Context()))
	require.NoError(t, <-served)
}
