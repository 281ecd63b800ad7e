package pipeline

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/io/room"
)

// contextKey is the key of the Connection in the context of a request whose turn it is, and of the time of reading in that of
// one that runs ahead.
type contextKey struct{}

// Pipeline runs requests ahead for all connections of one listener. Its fields must not change once it is used.
type Pipeline struct {
	// MayRunAhead reports whether a request may run before those before it are answered, which it may if running it twice
	// does no harm. It is called with requests whose handlers run, and must not change them.
	MayRunAhead func(req *http.Request) bool
	// Room bounds the memory that the answers of requests run ahead take until their turn.
	Room *room.Room
	// OnCancel, if set, is called with the number of requests run ahead whose answers will not be sent, and the cause.
	OnCancel func(requests int, cause string)

	next                       http.Handler
	started, cancelled, waited atomic.Int64

	mut     sync.Mutex
	stopped atomic.Bool
	running int
	// ended is closed once the pipeline has stopped and no request that was run ahead is running. It is nil before the stop.
	ended chan struct{}
}

// Started returns the number of requests that were run ahead.
func (pip *Pipeline) Started() int64 { return pip.started.Load() }

// Cancelled returns the number of requests that were run ahead and whose answers were not sent.
func (pip *Pipeline) Cancelled() int64 { return pip.cancelled.Load() }

// Waited returns the number of requests that were run ahead and whose handlers had to write the rest of their answers at
// their turn, because there was no room for it.
func (pip *Pipeline) Waited() int64 { return pip.waited.Load() }

// Handler returns a handler that answers requests with the answers of requests run ahead, and passes all others to the
// next one. It must be called once, before the first connection.
func (pip *Pipeline) Handler(next http.Handler) http.Handler {
	pip.next = next
	return http.HandlerFunc(pip.serve)
}

// Stop makes the pipeline start no further request ahead. From then on a connection ends with the answer behind which no
// request runs.
func (pip *Pipeline) Stop() {
	pip.mut.Lock()
	defer pip.mut.Unlock()
	if pip.ended != nil {
		return
	}
	pip.ended = make(chan struct{})
	pip.stopped.Store(true)
	if pip.running == 0 {
		close(pip.ended)
	}
}

// Close stops the pipeline and waits until no request that was run ahead is running; it fails with the context's error.
func (pip *Pipeline) Close(ctx context.Context) error {
	pip.Stop()
	select {
	case <-pip.ended:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for requests that were run ahead")
	}
}

// Serves reports whether a pipeline answers a request. It then ends the request's connection after a stop.
func Serves(req *http.Request) bool { return connectionOf(req) != nil }

// connectionOf returns the connection of a request whose turn it is, or nil if no pipeline serves it.
func connectionOf(req *http.Request) *Connection {
	con, _ := req.Context().Value(contextKey{}).(*Connection)
	if req.ProtoMajor != 1 {
		return nil
	}
	return con
}

// serve answers the request whose turn it is.
func (pip *Pipeline) serve(wri http.ResponseWriter, req *http.Request) {
	con := connectionOf(req)
	if con == nil {
		pip.next.ServeHTTP(wri, req)
		return
	}
	ear, closing := con.begin(req)
	defer con.finish()
	if closing {
		wri.Header().Set("Connection", "close")
	}
	if ear == nil {
		pip.next.ServeHTTP(wri, req)
		return
	}
	passed := false
	select {
	case <-ear.ended:
	case <-ear.blocked:
		con.pause()
		pip.waited.Add(1)
		passed = ear.pass(wri)
	case <-req.Context().Done():
	}
	select {
	case <-ear.ended:
	case <-req.Context().Done():
		ear.cancel()
		<-ear.ended
	}
	switch {
	case ear.panicked != nil:
		ear.fire(turn)
		panic(ear.panicked)
	case ear.isCut():
		panic(http.ErrAbortHandler)
	case !passed:
		ear.send(wri)
		ear.fire(turn)
	}
}

// ReadAt returns when the request of a context was read, if it was read while it waited for its turn, and otherwise the
// present time.
func ReadAt(ctx context.Context) time.Time {
	switch val := ctx.Value(contextKey{}).(type) {
	case time.Time:
		return val
	case *Connection:
		if readAt := val.readAt(); !readAt.IsZero() {
			return readAt
		}
	}
	return time.Now()
}

// start starts a request ahead, and returns nil if it must wait: there is no room for its answer, or the pipeline has
// stopped.
func (pip *Pipeline) start(ctx context.Context, req *http.Request) *early {
	if !pip.Room.Take(answerBytes) {
		return nil
	}
	pip.mut.Lock()
	defer pip.mut.Unlock()
	if pip.stopped.Load() {
		pip.Room.GiveBack(answerBytes)
		return nil
	}
	pip.running++
	pip.started.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	ear := &early{
		req: req.WithContext(ctx), cancel: cancel, ended: make(chan struct{}), header: http.Header{},
		blocked: make(chan struct{}), unblocked: make(chan struct{}),
		state: requestAhead.Initial(), room: pip.Room, taken: answerBytes,
	}
	go pip.run(ear)
	return ear
}

// run runs a request ahead until its handler returns, which ended reports.
func (pip *Pipeline) run(ear *early) {
	defer pip.end()
	defer ear.end()
	defer func() { ear.panicked = recover() }()
	pip.next.ServeHTTP(ear, ear.req)
}

func (pip *Pipeline) end() {
	pip.mut.Lock()
	defer pip.mut.Unlock()
	if pip.running--; pip.running == 0 && pip.stopped.Load() {
		close(pip.ended)
	}
}

// recordCancelled counts requests whose answers will not be sent.
func (pip *Pipeline) recordCancelled(requests int, cause string) {
	pip.cancelled.Add(int64(requests))
	if pip.OnCancel != nil {
		pip.OnCancel(requests, cause)
	}
}

// same reports whether a request that was run ahead is the one that net/http has read.
func same(req, ahead *http.Request) bool {
	return req.Method == ahead.Method && req.RequestURI == ahead.RequestURI && req.Host == ahead.Host &&
		maps.EqualFunc(req.Header, ahead.Header, slices.Equal[[]string])
}
