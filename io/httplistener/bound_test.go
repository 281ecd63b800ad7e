package httplistener_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/httplistener"
)

// TestCloseEndsWithItsContextWhileConnectionsWaitForASlot guards against a Close that outlasts its context: one
// connection occupies the listener's only slot, and two more wait in the backlog. Close passes these to the socket's
// Accept, which the connection limit does not call before the slot is free.
func TestCloseEndsWithItsContextWhileConnectionsWaitForASlot(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	entered := make(chan struct{}, 1)
	lis, err := httplistener.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"),
		http.HandlerFunc(func(http.ResponseWriter, *http.Request) { entered <- struct{}{}; <-held }),
		httplistener.Bounds{Connections: 1, HeaderBytes: 4096, HeaderTime: time.Minute, IdleTime: time.Minute})
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- lis.Serve() }()
	for range 3 {
		con, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", lis.Address().String())
		require.NoError(t, err)
		defer func() { _ = con.Close() }()
		_, err = con.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
		require.NoError(t, err)
	}
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	closed := make(chan error, 1)
	go func() { closed <- lis.Close(ctx) }()
	select {
	case err := <-closed:
		require.ErrorIs(t, err, context.DeadlineExceeded)
	case <-time.After(3 * time.Second):
		t.Fatal("the close did not end with its context")
	}
}
