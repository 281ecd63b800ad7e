package platformlink_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/platformlink"
)

// closedBody is a request's body that its owner closes. A read after that fails.
type closedBody struct {
	io.Reader

	closed atomic.Bool
}

func (bod *closedBody) Read(into []byte) (int, error) {
	if bod.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	return bod.Reader.Read(into[:min(len(into), 1024)])
}

func (bod *closedBody) Close() error {
	bod.closed.Store(true)
	return nil
}

// Guards against an answer that is lost because a protocol library closes the body of its request as soon as it has the
// header of the answer, while the request is still being written.
func TestAnAnswerOutlivesTheBodyOfItsRequest(t *testing.T) {
	const length = 4 << 20
	server := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if err := http.NewResponseController(wri).EnableFullDuplex(); err != nil {
			t.Error(err)
		}
		wri.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(wri).Flush()
		time.Sleep(50 * time.Millisecond)
		if count, err := io.Copy(io.Discard, req.Body); err != nil || count != length {
			t.Error("the request was not written completely", count, err)
		}
		_, _ = io.WriteString(wri, "whole")
	}))
	t.Cleanup(server.Close)
	lin := platformlink.New(netip.MustParseAddrPort(server.Listener.Addr().String()), "test", 10*time.Second)
	t.Cleanup(lin.Close)
	body := &closedBody{Reader: bytes.NewReader(make([]byte, length))}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, body)
	require.NoError(t, err)
	req.ContentLength = length
	res, err := lin.HTTP.Do(req)
	require.NoError(t, err)
	require.NoError(t, body.Close())
	text, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(text))
	require.NoError(t, res.Body.Close())
}
