package standinbackendserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"flamingoreach/core/outcome"
	"flamingoreach/io/echo"
	"flamingoreach/io/message"
	"flamingoreach/io/standinbackendserver/record"
)

const (
	maxBodyBytes = 16 << 20
	maxSleep     = time.Minute
	// shedRetryAfter is in seconds.
	shedRetryAfter = "1"
	// reasonHeader states why the stand-in itself refused or failed the request.
	reasonHeader = "Standin-Reason"
)

var (
	errShed    = errors.New("shed")
	errInvalid = errors.New("invalid request")
)

// requestOptions holds the instructions to the stand-in in the query of a request.
type requestOptions struct {
	sleep    time.Duration
	crash    bool
	truncate bool
	// deeper holds the path and query of each deeper call, and attempts bounds the attempts of each.
	deeper   []string
	attempts int
}

func readRequestOptions(htr *http.Request) (requestOptions, error) {
	query := htr.URL.Query()
	opt := requestOptions{crash: query.Get("crash") == "1", truncate: query.Get("truncate") == "1", deeper: query["deeper"], attempts: 1}
	for _, target := range opt.deeper {
		if !strings.HasPrefix(target, "/") {
			return opt, errInvalid
		}
	}
	if text := query.Get("sleep"); text != "" {
		span, err := time.ParseDuration(text)
		if err != nil || span < 0 || span > maxSleep {
			return opt, errInvalid
		}
		opt.sleep = span
	}
	if text := query.Get("deeperRetries"); text != "" {
		retries, err := strconv.ParseUint(text, 10, 8)
		if err != nil {
			return opt, errInvalid
		}
		opt.attempts += int(retries)
	}
	return opt, nil
}

// serveRequest serves one request as its query and the behaviour in force specify.
func (bas *BackendServer) serveRequest(wri http.ResponseWriter, htr *http.Request) {
	bas.recorder.recordRequest(htr)
	body, err := io.ReadAll(http.MaxBytesReader(wri, htr.Body, maxBodyBytes))
	if err != nil {
		http.Error(wri, "body not whole", http.StatusBadRequest)
		return
	}
	opt, err := readRequestOptions(htr)
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(htr)
	defer cancel()
	if err := bas.acquireSlot(ctx); err != nil {
		bas.refuse(wri, err)
		return
	}
	defer func() { <-bas.slots }()
	answer := echo.Echo{
		CallID: htr.Header.Get(message.CallID), RequestID: htr.Header.Get(echo.RequestIDHeader),
		Digest: echo.Digest(body), Length: len(body), Method: htr.Method, Target: htr.URL.RequestURI(),
	}
	bas.recorder.recordExecution(answer)
	if bas.OnExecution != nil {
		bas.OnExecution(answer)
	}
	if opt.crash {
		bas.Crash()
		panic(http.ErrAbortHandler)
	}
	if !wait(ctx, bas.serviceTime()+opt.sleep) {
		bas.abandon(wri, ctx.Err())
		return
	}
	deeper, status := bas.makeDeeperCalls(ctx, htr, opt, body)
	if ctx.Err() != nil {
		bas.abandon(wri, ctx.Err())
		return
	}
	answer.Deeper = deeper
	bas.writeAnswer(wri, status, answer, opt.truncate)
}

func withDeadline(htr *http.Request) (context.Context, context.CancelFunc) {
	deadline, err := time.Parse(time.RFC3339Nano, htr.Header.Get(message.Deadline))
	if err != nil {
		return context.WithCancel(htr.Context())
	}
	return context.WithDeadline(htr.Context(), deadline)
}

// acquireSlot takes a slot, and waits in the queue if none is free; it fails with errShed or the error of the context.
func (bas *BackendServer) acquireSlot(ctx context.Context) error {
	beh := bas.behaviour.Load()
	if beh.Shed {
		return errShed
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case bas.slots <- struct{}{}:
		return nil
	default:
	}
	defer bas.queued.Add(-1)
	if bas.queued.Add(1) > int64(beh.QueueLength) {
		return errShed
	}
	select {
	case bas.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// load returns running and queued requests as a fraction of the slots; it exceeds 1 while requests queue.
func (bas *BackendServer) load() float64 {
	return float64(len(bas.slots)+int(bas.queued.Load())) / float64(cap(bas.slots))
}

func (bas *BackendServer) serviceTime() time.Duration {
	beh := bas.behaviour.Load()
	bas.mutex.Lock()
	spread := bas.random.ExpFloat64()
	bas.mutex.Unlock()
	span := float64(beh.ServiceTime) + spread*float64(beh.ServiceSpread)
	if bas.currentReport.Load().state == stateWarming && beh.ColdTime > 0 {
		span *= beh.ColdFactor
	}
	return time.Duration(span)
}

// refuse answers a request that was not executed.
func (bas *BackendServer) refuse(wri http.ResponseWriter, cause error) {
	bas.countFailure(cause)
	wri.Header().Set(message.Outcome, outcome.NotRun.String())
	wri.Header().Set(reasonHeader, cause.Error())
	wri.Header().Set("Retry-After", shedRetryAfter)
	http.Error(wri, "not run: "+cause.Error(), http.StatusServiceUnavailable)
}

// abandon answers a request that had started when its deadline passed or its caller disconnected.
func (bas *BackendServer) abandon(wri http.ResponseWriter, cause error) {
	bas.countFailure(cause)
	wri.Header().Set(reasonHeader, cause.Error())
	http.Error(wri, cause.Error(), http.StatusGatewayTimeout)
}

func (bas *BackendServer) countFailure(cause error) {
	bas.recorder.count(func(rec *record.Record) {
		switch {
		case errors.Is(cause, errShed):
			rec.Shed++
		case errors.Is(cause, context.DeadlineExceeded):
			rec.DeadlineExceeded++
		default:
			rec.Cancelled++
		}
	})
}

// writeAnswer sends the answer, or half of it and then breaks the connection if the request asked for truncation.
func (bas *BackendServer) writeAnswer(wri http.ResponseWriter, status int, answer echo.Echo, truncate bool) {
	text, err := json.Marshal(answer)
	if err != nil {
		http.Error(wri, "encode answer", http.StatusInternalServerError)
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	wri.Header().Set("Content-Length", strconv.Itoa(len(text)))
	wri.WriteHeader(status)
	if !truncate {
		_, _ = wri.Write(text)
		return
	}
	bas.recorder.count(func(rec *record.Record) { rec.Truncated++ })
	_, _ = wri.Write(text[:len(text)/2])
	_ = http.NewResponseController(wri).Flush()
	panic(http.ErrAbortHandler)
}
