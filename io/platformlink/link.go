package platformlink

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
)

const (
	maxConnections    = 32
	idleTimeout       = 30 * time.Second
	headerSizeLimit   = 64 << 10
	counterNameFormat = "flamingoreach_%s_%s_total"
)

// ErrClosed is the error of requests that were not sent because the link was closed.
var ErrClosed = eris.New("platform link is closed")

// Link sends requests to one address of the platform, each with a timeout and without retries.
type Link struct {
	// HTTP is the client that the protocol libraries send through.
	HTTP *http.Client

	peer      netip.AddrPort
	timeout   time.Duration
	set       *metrics.Set
	reads     *metrics.Counter
	writes    *metrics.Counter
	failures  *metrics.Counter
	transport *http.Transport

	mutex   sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// New returns a link whose counters carry the service's name; it connects at the first request.
func New(peer netip.AddrPort, service string, timeout time.Duration) *Link {
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerSizeLimit,
		DisableCompression:     true,
	}
	set := metrics.NewSet()
	return &Link{
		HTTP:      &http.Client{Transport: bufferedTransport{transport}, CheckRedirect: rejectRedirect},
		peer:      peer,
		timeout:   timeout,
		set:       set,
		reads:     set.NewCounter(fmt.Sprintf(counterNameFormat, service, "reads")),
		writes:    set.NewCounter(fmt.Sprintf(counterNameFormat, service, "writes")),
		failures:  set.NewCounter(fmt.Sprintf(counterNameFormat, service, "failures")),
		transport: transport,
	}
}

// bufferedTransport sends requests from a copy of their bodies. The protocol libraries close the body of a request as
// soon as they have the header of the answer; if the request were still being written, the transport would give up the
// connection and with it the rest of the answer.
type bufferedTransport struct{ *http.Transport }

// RoundTrip sends a request and returns its answer; the bodies are small, so that they can be kept in memory.
func (buf bufferedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Body == nil || req.Body == http.NoBody {
		return buf.Transport.RoundTrip(req)
	}
	body, err := io.ReadAll(req.Body)
	_ = req.Body.Close()
	if err != nil {
		return nil, eris.Wrap(err, "read body of request")
	}
	copied := req.Clone(req.Context())
	copied.Body, copied.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	return buf.Transport.RoundTrip(copied)
}

// Read runs one request that reads, and counts it. An error names the step and the peer.
func (lin *Link) Read(ctx context.Context, step string, request func(context.Context) error) error {
	lin.reads.Inc()
	return lin.run(ctx, step, request)
}

// Write runs one request that writes, and counts it. An error names the step and the peer.
func (lin *Link) Write(ctx context.Context, step string, request func(context.Context) error) error {
	lin.writes.Inc()
	return lin.run(ctx, step, request)
}

// Metrics returns the counters of reads, writes and failed requests.
func (lin *Link) Metrics() *metrics.Set { return lin.set }

// Close refuses new requests, waits for those that run, and closes all connections.
func (lin *Link) Close() {
	lin.mutex.Lock()
	lin.closed = true
	lin.mutex.Unlock()
	lin.running.Wait()
	lin.transport.CloseIdleConnections()
}

func (lin *Link) run(ctx context.Context, step string, request func(context.Context) error) error {
	if !lin.begin() {
		return eris.Wrapf(ErrClosed, "%s at %s", step, lin.peer)
	}
	defer lin.running.Done()
	ctx, cancel := context.WithTimeout(ctx, lin.timeout)
	defer cancel()
	if err := request(ctx); err != nil {
		lin.failures.Inc()
		return eris.Wrapf(err, "%s at %s", step, lin.peer)
	}
	return nil
}

func (lin *Link) begin() bool {
	lin.mutex.Lock()
	defer lin.mutex.Unlock()
	if lin.closed {
		return false
	}
	lin.running.Add(1)
	return true
}

func rejectRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
