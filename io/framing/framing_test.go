package framing_test

import (
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
)

// Guards against a data race, which -race reports: net/http changes the state of an HTTP/2 connection on another
// goroutine than the one that reads, and a change to idle restarts the inspection of headers. On HTTP/2 connections it
// must not, because frames would be taken for the header of an HTTP/1.1 request.
func TestConcurrentRequestsOnOneHTTP2ConnectionAreAccepted(t *testing.T) {
	lis, err := httplistener.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"),
		http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) { _, _ = io.Copy(wri, req.Body) }),
		httplistener.Bounds{Connections: 4, HeaderBytes: 4096, HeaderTime: time.Second, IdleTime: time.Second})
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- lis.Serve() }()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	var senders sync.WaitGroup
	for range 8 {
		senders.Go(func() {
			for range 50 {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+lis.Address().String(), strings.NewReader("body"))
				if err != nil {
					t.Error(err)
					return
				}
				res, err := transport.RoundTrip(req)
				if err != nil {
					t.Error(err)
					return
				}
				_ = res.Body.Close()
				if res.StatusCode != http.StatusOK {
					t.Error(res.Status)
				}
			}
		})
	}
	senders.Wait()
	transport.CloseIdleConnections()
	require.NoError(t, lis.Close(t.Context()))
	require.NoError(t, <-served)
}

func TestARequestWithAmbiguousLengthIsRefusedAndItsConnectionCloses(t *testing.T) {
	for name, text := range map[string]string{
		"both":           "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
		"lengths":        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n",
		"second request": "GET /first HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var paths []string
			lis, err := httplistener.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"),
				http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { paths = append(paths, req.URL.Path) }),
				httplistener.Bounds{Connections: 4, HeaderBytes: 4096, HeaderTime: time.Second, IdleTime: time.Second})
			require.NoError(t, err)
			served := make(chan error, 1)
			go func() { served <- lis.Serve() }()
			con, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", lis.Address().String())
			require.NoError(t, err)
			_, err = io.WriteString(con, text)
			require.NoError(t, err)
			if name == "second request" {
				time.Sleep(100 * time.Millisecond)
				_, err = io.WriteString(con, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
				require.NoError(t, err)
			}
			answers, err := io.ReadAll(con)
			require.NoError(t, err)
			require.Contains(t, string(answers), "400 Bad Request")
			require.NoError(t, lis.Close(t.Context()))
			require.NoError(t, <-served)
			require.NotContains(t, paths, "/smuggled")
			require.NotContains(t, paths, "/")
		})
	}
}
