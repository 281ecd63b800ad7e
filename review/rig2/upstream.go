package rig2

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	headerTimeout     = time.Minute
)

// Upstream is a backend server that answers each request with its work's bytes.
type Upstream struct {
	Service string
	Address netip.AddrPort
	// Control is the address at which its node receives heartbeats.
	Control netip.AddrPort
	Slots   int
	Record  *Record
	// Work runs a request whose body was read and returns the body of the answer. If it returns nil, the request crashes the
	// process, which is back after DownTime with another ID.
	Work     func(req *http.Request, body []byte) []byte
	DownTime time.Duration

	// born is the start of the present process in Unix milliseconds.
	born     atomic.Int64
	sequence atomic.Int64
	draining atomic.Bool
	crashed  chan struct{}
	mut      sync.Mutex
	runs     map[string]int
	stop     context.CancelFunc
	ended    sync.WaitGroup
}

// ID returns the ID of the process.
func (ups *Upstream) ID() string { return fmt.Sprintf("i-%s-%d", ups.Address, ups.born.Load()) }

// Start listens and announces itself until Close.
func (ups *Upstream) Start(ctx context.Context) error {
	ups.runs, ups.crashed = map[string]int{}, make(chan struct{}, 1)
	listener, err := ups.listen(ctx)
	if err != nil {
		return err
	}
	ctx, ups.stop = context.WithCancel(ctx)
	ups.ended.Go(func() {
		for err == nil && ctx.Err() == nil {
			ups.serve(ctx, listener)
			wait(ctx, ups.DownTime)
			if ctx.Err() == nil {
				listener, err = ups.listen(ctx)
			}
		}
	})
	return nil
}

func (ups *Upstream) listen(ctx context.Context) (net.Listener, error) {
	ups.born.Store(time.Now().UnixMilli())
	ups.sequence.Store(0)
	return (&net.ListenConfig{}).Listen(ctx, "tcp", ups.Address.String())
}

// serve runs one process until it crashes or the context ends.
func (ups *Upstream) serve(ctx context.Context, listener net.Listener) {
	server := &http.Server{Handler: ups, ReadHeaderTimeout: headerTimeout}
	ctx, cancel := context.WithCancel(ctx)
	var ended sync.WaitGroup
	ended.Go(func() { _ = server.Serve(listener) })
	ended.Go(func() {
		for ctx.Err() == nil {
			ups.heartbeat(ctx)
			wait(ctx, heartbeatInterval)
		}
	})
	select {
	case <-ctx.Done():
	case <-ups.crashed:
		ups.Record.Write("upstream crashed", "upstream", ups.Address)
	}
	cancel()
	_ = server.Close()
	ended.Wait()
}

// crash ends the process of a request.
func (ups *Upstream) crash(ctx context.Context) {
	select {
	case ups.crashed <- struct{}{}:
	default:
	}
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}

// Close ends the process.
func (ups *Upstream) Close() {
	if ups.stop == nil {
		return
	}
	ups.stop()
	ups.ended.Wait()
}

// Drain reports the state draining from now on.
func (ups *Upstream) Drain() { ups.draining.Store(true) }

// Runs returns how often the request with an ID has run.
func (ups *Upstream) Runs(id string) int {
	ups.mut.Lock()
	defer ups.mut.Unlock()
	return ups.runs[id]
}

// ServeHTTP runs one request, or answers a health probe.
func (ups *Upstream) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/health" {
		wri.Header().Set("Instance-Id", ups.ID())
		if ups.draining.Load() {
			wri.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := req.Header.Get("Attempt-Id")
	wri.Header().Set("Attempt-Id", id)
	if expected := req.Header.Get("Expect-Instance"); id == "" || expected != "" && expected != ups.ID() {
		wri.Header().Set("Not-Executed", "1")
		wri.Header().Set("Instance-Id", ups.ID())
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ups.mut.Lock()
	ups.runs[id]++
	ups.mut.Unlock()
	ups.Record.Write("run", "upstream", ups.Address, "id", id, "path", req.URL.Path)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	answer := ups.Work(req, body)
	if answer == nil {
		ups.crash(req.Context())
	}
	wri.Header().Set("Response-Signature", "signed."+id)
	wri.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, err = wri.Write(answer)
	ups.Record.Write("ran", "upstream", ups.Address, "id", id, "bytes", len(answer), "left", req.Context().Err() != nil || err != nil)
}

func (ups *Upstream) heartbeat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	state := "ready"
	if ups.draining.Load() {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":%d,"state":%q,"coldRemainingMs":0,"seq":%d,"born":%d}`,
		ups.Service, ups.Address, ups.Slots, state, ups.sequence.Add(1), ups.born.Load())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+ups.Control.String()+"/v1/rpc?call=instances.heartbeat&of="+ups.ID(), strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	_ = res.Body.Close()
}

func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// Arrivals adds the number of times that each request has run to the counts by ID.
func (ups *Upstream) Arrivals(counts map[string]int) {
	ups.mut.Lock()
	defer ups.mut.Unlock()
	for id, count := range ups.runs {
		counts[id] += count
	}
}
