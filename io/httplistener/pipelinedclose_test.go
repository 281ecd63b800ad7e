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
