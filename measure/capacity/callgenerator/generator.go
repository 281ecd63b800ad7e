package callgenerator

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

const connectionsPerNode = 4

// Generator sends one call of each account per second to each node for which it was started. A call counts as answered
// in full if its whole answer arrives with status 200.
type Generator struct {
	keys     []string
	client   *http.Client
	stops    []context.CancelFunc
	ended    chan struct{}
	answered atomic.Uint64
	failed   atomic.Uint64
}

// New returns a generator for the accounts with the given API keys; it sends no calls before Start.
func New(keys []string) *Generator {
	return &Generator{
		keys: keys, ended: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connectionsPerNode}},
	}
}

// Start sends calls to the node at the address until Close is called or the context ends. It sends them one after the
// other, so the rate falls if an answer takes longer than the time between two calls.
func (gen *Generator) Start(ctx context.Context, address netip.AddrPort) {
	run, stop := context.WithCancel(ctx)
	gen.stops = append(gen.stops, stop)
	go func() {
		gen.pace(run, address)
		gen.ended <- struct{}{}
	}()
}

// Run makes a number of calls sequentially and returns how many got no complete answer.
func (gen *Generator) Run(ctx context.Context, address netip.AddrPort, count int) (failed int) {
	for next := range count {
		if !gen.call(ctx, address, gen.keys[next%len(gen.keys)]) {
			failed++
		}
	}
	return failed
}

// Close stops all calls, waits for their end and returns how many of those that Start made got a complete answer and
// how many did not.
func (gen *Generator) Close() (answered, failed uint64) {
	for _, stop := range gen.stops {
		stop()
	}
	for range gen.stops {
		<-gen.ended
	}
	gen.client.CloseIdleConnections()
	return gen.answered.Load(), gen.failed.Load()
}

func (gen *Generator) pace(ctx context.Context, address netip.AddrPort) {
	ticker := time.NewTicker(time.Second / time.Duration(len(gen.keys)))
	defer ticker.Stop()
	for next := 0; ; next++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if gen.call(ctx, address, gen.keys[next%len(gen.keys)]) {
			gen.answered.Add(1)
		} else if ctx.Err() == nil {
			gen.failed.Add(1)
		}
	}
}

func (gen *Generator) call(ctx context.Context, address netip.AddrPort, key string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/call", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := gen.client.Do(req)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.Body.Close() == nil && err == nil && res.StatusCode == http.StatusOK
}
