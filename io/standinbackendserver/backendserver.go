package standinbackendserver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"flamingoreach/core/announcement"
	"flamingoreach/core/control"
	"flamingoreach/io/echo"
	"flamingoreach/io/httplistener"
	"flamingoreach/io/standinbackendserver/behaviour"
	"flamingoreach/io/standinbackendserver/record"
)

const (
	announceInterval   = time.Second
	controlQueueLength = 64
	// goroutineCount is the number of goroutines that Start starts and Close waits for.
	goroutineCount = 3
	// crashStatus is the exit code of the process after a simulated crash.
	crashStatus = 1
	seedStream  = 1
)

var bounds = httplistener.Bounds{
	HeaderBytes: 64 << 10, HeaderTime: 10 * time.Second, IdleTime: 2 * time.Minute, Connections: 4096,
}

// BackendServer is the stand-in for a backend server; its exported fields must be set before Start.
type BackendServer struct {
	// NodeAddress is the address of the loopback listener of the node on the same host; with the zero value, the
	// stand-in sends no announcements, and all deeper calls fail.
	NodeAddress netip.AddrPort
	// Crash is called for a request with the query crash=1; by default, it ends the process.
	Crash func()
	// OnExecution, if set, is called for each request that got a slot, before its service time starts.
	OnExecution func(ech echo.Echo)

	service   string
	behaviour atomic.Pointer[behaviour.Behaviour]
	recorder  *recorder
	client    *http.Client

	thread    *control.Thread
	lifecycle lifecycle
	// currentReport is the newest report; delayedReport is the one that the endpoints return, ReportLag older.
	currentReport atomic.Pointer[statusReport]
	delayedReport atomic.Pointer[statusReport]
	announcements chan announcement.Announcement
	// drainAnnounced is closed after the attempt to announce the drain to the node, whether or not it succeeded.
	drainAnnounced chan struct{}

	slots  chan struct{}
	queued atomic.Int64
	random *rand.Rand
	mutex  sync.Mutex // guards random

	listener  *httplistener.Listener
	address   netip.AddrPort
	started   time.Time
	stop      context.CancelFunc
	ended     chan error
	closeOnce sync.Once
	closeErr  error
}

// New returns a stand-in, not yet started, that serves a service; it fails if the behaviour is out of bounds.
func New(service string, beh behaviour.Behaviour) (*BackendServer, error) {
	if err := beh.Check(); err != nil {
		return nil, err
	}
	bas := &BackendServer{
		Crash:    func() { os.Exit(crashStatus) },
		service:  service,
		recorder: newRecorder(),
		client: &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: beh.Slots, DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		thread:         control.New(controlQueueLength),
		announcements:  make(chan announcement.Announcement, 1),
		drainAnnounced: make(chan struct{}),
		slots:          make(chan struct{}, beh.Slots),
		random:         rand.New(rand.NewPCG(beh.Seed, seedStream)),
		ended:          make(chan error, goroutineCount),
	}
	bas.behaviour.Store(&beh)
	bas.lifecycle = lifecycle{state: lifecycleChart.Initial(), server: bas}
	return bas, nil
}

// Start listens on an address and serves until Close; port 0 selects a free port. It fails if it cannot listen.
func (bas *BackendServer) Start(ctx context.Context, address netip.AddrPort) error {
	lis, err := httplistener.Listen(ctx, address, bas.Handler(), bounds)
	if err != nil {
		return err
	}
	bas.listener = lis
	bas.address = lis.Address()
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	bas.stop = cancel
	bas.startLifecycle()
	go func() { bas.ended <- bas.thread.Run(running) }()
	go func() {
		bas.sendAnnouncements(running)
		bas.ended <- nil
	}()
	go func() { bas.ended <- lis.Serve() }()
	return nil
}

// startLifecycle starts the time of the cold start and publishes the first report.
func (bas *BackendServer) startLifecycle() {
	bas.started = time.Now()
	bas.lifecycle.publishReport()
	bas.thread.AddTicker(bas.lifecycle.tick)
}

// Address returns the bound address.
func (bas *BackendServer) Address() netip.AddrPort { return bas.address }

// Behaviour returns the settings in force.
func (bas *BackendServer) Behaviour() behaviour.Behaviour { return *bas.behaviour.Load() }

// SetBehaviour replaces the settings except the number of slots; a new seed has no effect. It fails if a setting is out
// of bounds.
func (bas *BackendServer) SetBehaviour(beh behaviour.Behaviour) error {
	if err := beh.Check(); err != nil {
		return err
	}
	beh.Slots = cap(bas.slots)
	bas.behaviour.Store(&beh)
	return nil
}

// Record returns a copy of what was received and executed so far.
func (bas *BackendServer) Record() record.Record {
	return bas.recorder.snapshot(bas.currentReport.Load().state)
}

// Drain announces to the node that the stand-in drains, and waits until that was sent or has failed; it fails if
// the context ends first.
func (bas *BackendServer) Drain(ctx context.Context) error {
	if err := bas.thread.Do(ctx, "standinBackendServer.drain", func() { bas.lifecycle.fire("drain") }); err != nil {
		return err
	}
	select {
	case <-bas.drainAnnounced:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close drains, waits for DrainGrace and then for running requests, and stops; it fails if the context ends first.
func (bas *BackendServer) Close(ctx context.Context) error {
	bas.closeOnce.Do(func() { bas.closeErr = bas.close(ctx) })
	return bas.closeErr
}

func (bas *BackendServer) close(ctx context.Context) error {
	first := bas.Drain(ctx)
	wait(ctx, bas.Behaviour().DrainGrace)
	if err := bas.listener.Close(ctx); first == nil {
		first = err
	}
	emptied := func() { bas.lifecycle.fire("emptied") }
	if err := bas.thread.Do(ctx, "standinBackendServer.emptied", emptied); first == nil {
		first = err
	}
	bas.stop()
	for range goroutineCount {
		if err := <-bas.ended; first == nil {
			first = err
		}
	}
	bas.client.CloseIdleConnections()
	return first
}

// wait sleeps, and reports whether the time passed before the context ended.
func wait(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
