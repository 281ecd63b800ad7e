package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	slots             = 104
	queueLength       = 144
	maxAckBytes       = 4 << 10
)

// run is one request that a backend server has begun to work on.
type run struct {
	id, server, host, target string
	at                       time.Duration
}

// ledger holds all runs; it is safe for concurrent use.
type ledger struct {
	mut  sync.Mutex
	runs []run
}

func (led *ledger) add(entry run) {
	led.mut.Lock()
	defer led.mut.Unlock()
	led.runs = append(led.runs, entry)
}

func (led *ledger) all() []run {
	led.mut.Lock()
	defer led.mut.Unlock()
	return append([]run{}, led.runs...)
}

// runsOf returns the runs of the request with the ID.
func (led *ledger) runsOf(id string) []run {
	var found []run
	for _, entry := range led.all() {
		if entry.id == id {
			found = append(found, entry)
		}
	}
	return found
}

// backend is a backend server. A request's query tells how long it works (work, in milliseconds), how many bytes its answer has (size), and whether it makes a
// call of its own after that, which works as long as call says.
type backend struct {
	rec     *record
	led     *ledger
	service string
	zone    string
	id      string
	address netip.AddrPort
	control netip.AddrPort
	born    int64
	// call makes a deeper call through the node of this machine and reports whether it succeeded.
	call func(ctx context.Context, work int, left time.Duration) bool

	mut   sync.Mutex
	busy  int
	state string
	// seq is the number of the next heartbeat.
	seq uint64
	// hold, if set, is called with each heartbeat's state and its number before it is sent; it reports whether the
	// heartbeat is held up on the way for that long.
	hold func(state string, seq uint64) time.Duration
}

func (bac *backend) setState(state string) {
	bac.mut.Lock()
	defer bac.mut.Unlock()
	bac.state = state
}

// ServeHTTP runs one request.
func (bac *backend) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Attempt-Id")
	wri.Header().Set("Instance-Id", bac.id)
	if req.URL.Path == "/health" {
		return
	}
	left, _ := strconv.Atoi(req.Header.Get("Deadline-Ms"))
	began := time.Now()
	wri.Header().Set("Attempt-Id", id)
	switch expected := req.Header.Get("Expect-Instance"); {
	case id == "":
		bac.reject(wri, http.StatusBadRequest)
		return
	case expected != "" && expected != bac.id:
		bac.reject(wri, http.StatusMisdirectedRequest)
		return
	case !bac.enter():
		bac.reject(wri, http.StatusServiceUnavailable)
		return
	}
	defer bac.leave()
	_, _ = io.Copy(io.Discard, req.Body)
	bac.led.add(run{id: id, server: bac.id, host: req.Host, target: req.RequestURI, at: bac.rec.since()})
	bac.rec.write("%s runs %s %s %s", bac.id, id, req.Method, req.RequestURI)
	work, _ := strconv.Atoi(req.URL.Query().Get("work"))
	ctx, cancel := req.Context(), context.CancelFunc(func() {})
	if left > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
	}
	defer cancel()
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-ctx.Done():
		bac.rec.write("%s drops %s after %.3f s: %v", bac.id, id, time.Since(began).Seconds(), ctx.Err())
		wri.Header().Set("Response-Signature", "s-"+id)
		wri.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	wri.Header().Set("Response-Signature", "s-"+id)
	if call, _ := strconv.Atoi(req.URL.Query().Get("call")); call > 0 {
		if !bac.call(ctx, call, time.Duration(left)*time.Millisecond-time.Since(began)) {
			wri.WriteHeader(http.StatusInternalServerError)
			return
		}
	}
	bac.rec.write("%s has run %s", bac.id, id)
	if size, _ := strconv.Atoi(req.URL.Query().Get("size")); size > 0 {
		_, _ = wri.Write(bytes.Repeat([]byte("x"), size))
		return
	}
	_, _ = fmt.Fprintf(wri, "answer to %s", id)
}

func (bac *backend) reject(wri http.ResponseWriter, status int) {
	wri.Header().Set("Not-Executed", "1")
	wri.WriteHeader(status)
}

func (bac *backend) enter() bool {
	bac.mut.Lock()
	defer bac.mut.Unlock()
	if bac.busy >= slots+queueLength {
		return false
	}
	bac.busy++
	return true
}

func (bac *backend) leave() {
	bac.mut.Lock()
	defer bac.mut.Unlock()
	bac.busy--
}

// announce sends heartbeats until the context ends.
func (bac *backend) announce(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		bac.heartbeat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// heartbeat sends one heartbeat and reports whether it was acknowledged.
func (bac *backend) heartbeat(ctx context.Context) bool {
	bac.mut.Lock()
	state, seq, hold := bac.state, bac.seq, bac.hold
	bac.seq++
	bac.mut.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": bac.service, "address": bac.address.String(), "zone": bac.zone, "version": "v1", "slots": slots,
		"state": state, "coldRemainingMs": 0, "seq": seq, "born": bac.born,
	})
	if err != nil {
		return false
	}
	send := func() bool {
		acked := bac.post(ctx, "instances.heartbeat", body)
		bac.rec.write("%s heartbeat %d, %s, acknowledged: %t", bac.id, seq, state, acked)
		return acked
	}
	if hold != nil {
		if late := hold(state, seq); late > 0 {
			bac.rec.write("%s heartbeat %d, %s, is held up for %v", bac.id, seq, state, late)
			go func() {
				select {
				case <-time.After(late):
					send()
				case <-ctx.Done():
				}
			}()
			return false
		}
	}
	return send()
}

// deregister says that the backend server leaves and reports whether that was acknowledged.
func (bac *backend) deregister(ctx context.Context) bool {
	acked := bac.post(ctx, "instances.deregister", nil)
	bac.rec.say("%s deregisters, acknowledged: %t", bac.id, acked)
	return acked
}

func (bac *backend) post(ctx context.Context, call string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		fmt.Sprintf("http://%s/v1/rpc?call=%s&of=%s", bac.control, call, bac.id), bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAckBytes+1))
	return err == nil && len(text) <= maxAckBytes && res.StatusCode/100 == 2
}
