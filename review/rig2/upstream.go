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
	// Work runs a request whose body was read and returns the body of the answer. If it returns nil, the connection is
	// closed without an answer.
	Work func(req *http.Request, body []byte) []byte

	born     time.Time
	sequence atomic.Int64
	draining atomic.Bool
	mut      sync.Mutex
	runs     map[string]int
	server   *http.Server
	stop     context.CancelFunc
	ended    sync.WaitGroup
}

// ID returns the ID of the process.
func (ups *Upstream) ID() string { return fmt.Sprintf("i-%s-%d", ups.Address, ups.born.UnixMilli()) }

// Start listens and announces itself until Close.
func (ups *Upstream) Start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", ups.Address.String())
	if err != nil {
		return err
	}
	ups.born, ups.runs = time.Now(), map[string]int{}
	ups.server = &http.Server{Handler: ups, ReadHeaderTimeout: headerTimeout}
	ctx, ups.stop = context.WithCancel(ctx)
	ups.ended.Go(func() { _ = ups.server.Serve(listener) })
	ups.ended.Go(func() {
		for ctx.Err() == nil {
			ups.heartbeat(ctx)
			wait(ctx, heartbeatInterval)
		}
	})
	return nil
}

// Close ends the process.
func (ups *Upstream) Close() {
	if ups.stop == nil {
		return
	}
	ups.stop()
	_ = ups.server.Close()
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
		panic(http.ErrAbortHandler)
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
		ups.Service, ups.Address, ups.Slots, state, ups.sequence.Add(1), ups.born.UnixMilli())
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
