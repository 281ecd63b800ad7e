package control

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"flamingoreach/core/event"
	"flamingoreach/core/processortime"
)

// TickInterval is the time between two calls of each ticker.
const TickInterval = 100 * time.Millisecond

// Thread applies events one at a time in the order of their arrival.
type Thread struct {
	// Locked locks the goroutine to its OS thread, so that its processor time can be read. Tests under testing/synctest
	// switch it off.
	Locked bool
	// OnEvent, if set, is called with each event before it is applied.
	OnEvent func(eve event.Event)

	events        chan event.Event
	tickers       []func()
	dropped       atomic.Uint64
	processorTime atomic.Int64
	applied       atomic.Uint64
}

// New returns a thread with a queue for the given number of events.
func New(queueLength int) *Thread {
	return &Thread{events: make(chan event.Event, queueLength), Locked: true}
}

// AddTicker registers a function that Run calls every TickInterval; it must be called before Run.
func (thr *Thread) AddTicker(tick func()) { thr.tickers = append(thr.tickers, tick) }

// Post queues an event and waits while the queue is full; it fails with the context's error.
func (thr *Thread) Post(ctx context.Context, eve event.Event) error {
	select {
	case thr.events <- eve:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Offer queues an event unless the queue is full, in which case the event is dropped and counted; it reports whether
// the event was queued.
func (thr *Thread) Offer(eve event.Event) bool {
	select {
	case thr.events <- eve:
		return true
	default:
		thr.dropped.Add(1)
		return false
	}
}

// Do runs a function on the thread and waits for its end; it fails with the context's error.
func (thr *Thread) Do(ctx context.Context, name string, apply func()) error {
	done := make(chan struct{})
	if err := thr.Post(ctx, event.Event{Name: name, Apply: func() { apply(); close(done) }}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run applies events and calls the tickers until the context ends, then returns nil.
func (thr *Thread) Run(ctx context.Context) error {
	if thr.Locked {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
	}
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case eve := <-thr.events:
			thr.apply(eve)
		case <-ticker.C:
			for _, tick := range thr.tickers {
				tick()
			}
			thr.readProcessorTime()
		}
	}
}

func (thr *Thread) apply(eve event.Event) {
	if thr.OnEvent != nil {
		thr.OnEvent(eve)
	}
	eve.Apply()
	thr.applied.Add(1)
}

func (thr *Thread) readProcessorTime() {
	if !thr.Locked {
		return
	}
	if used, err := processortime.OfThread(); err == nil {
		thr.processorTime.Store(int64(used))
	}
}

// ProcessorTime returns the processor time that the thread had used at its last tick; it is always 0 if Locked is off.
func (thr *Thread) ProcessorTime() time.Duration { return time.Duration(thr.processorTime.Load()) }

// Dropped returns the number of events that Offer dropped because the queue was full.
func (thr *Thread) Dropped() uint64 { return thr.dropped.Load() }

// Applied returns the number of events that have been applied.
func (thr *Thread) Applied() uint64 { return thr.applied.Load() }
