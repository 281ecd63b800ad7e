package framing_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/httplistener"
)

// Guards against an ambiguous head that escapes the inspection because it arrives together with an earlier request, or
// because its lines end in a bare line feed, which net/http accepts.
func TestAnAmbiguousHeadBehindAnotherRequestIsRefused(t *testing.T) {
	const ambiguous = "POST /ambiguous HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	for name, text := range map[string]string{
		"behind a head":         "GET /first HTTP/1.1\r\nHost: a\r\n\r\n" + ambiguous,
		"behind a body":         "POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody" + ambiguous,
		"behind a chunked body": "POST /first HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nEnd: yes\r\n\r\n" + ambiguous,
		"bare line feeds":       "GET /first HTTP/1.1\nHost: a\n\n" + strings.ReplaceAll(ambiguous, "\r\n", "\n"),
		"third":                 strings.Repeat("GET /first HTTP/1.1\r\nHost: a\r\n\r\n", 2) + ambiguous,
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
			answers, err := io.ReadAll(con)
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(string(answers), "HTTP/1.1 200 OK"), "the request before it is answered")
			require.Contains(t, string(answers), "400 Bad Request")
			require.NoError(t, lis.Close(t.Context()))
			require.NoError(t, <-served)
			require.Contains(t, paths, "/first")
			require.NotContains(t, paths, "/ambiguous")
		})
	}
}
