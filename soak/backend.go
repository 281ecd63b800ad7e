package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	statusOK          = http.StatusOK
	statusTooMany     = http.StatusTooManyRequests
	statusUnavailable = http.StatusServiceUnavailable

	heartbeatTime = 300 * time.Millisecond
	slots         = 32
	// drainTime is how long a backend server may still get requests after its leaving was confirmed.
	drainTime = 2 * time.Second
	longest   = 40 * time.Millisecond
)

// backend is the stand-in of one backend server.
type backend struct {
	service string
	address netip.AddrPort
	control netip.AddrPort
	ledger  *ledger

	incarnation atomic.Int64
	born        atomic.Int64
	draining    atomic.Bool
	// confirmed is when the leaving was confirmed, in nanoseconds since 1970, or 0.
	confirmed atomic.Int64
	// losing is the part of answers that are lost, in percent.
	losing atomic.Int64
	sent   atomic.Uint64
}

func (bac *backend) id() string { return fmt.Sprintf("%s-%d", bac.address, bac.incarnation.Load()) }

// restart begins a new incarnation.
func (bac *backend) restart() {
	bac.incarnation.Add(1)
	bac.born.Store(time.Now().UnixMilli())
	bac.sent.Store(0)
	bac.confirmed.Store(0)
	bac.draining.Store(false)
}

func (bac *backend) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Attempt-Id")
	wri.Header().Set("Attempt-Id", id)
	if req.Header.Get("Expect-Instance") != bac.id() {
		wri.Header().Set("Not-Executed", "1")
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if at := bac.confirmed.Load(); at != 0 && time.Since(time.Unix(0, at)) > drainTime {
		bac.ledger.violate("drain", "%s reached %s %s after its leaving was confirmed", id, bac.id(), time.Since(time.Unix(0, at)))
	}
	if req.Header.Get("Authorization") != "" {
		bac.ledger.violate("no key", "%s came with a key", id)
	}
	if account := req.Header.Get("Tenant"); account != accountName {
		bac.ledger.violate("account", "%s came for %q", id, account)
	}
	bac.ledger.ran(id)
	time.Sleep(time.Duration(rand.Int64N(int64(longest))))
	if rand.Int64N(100) < bac.losing.Load() {
		panic(http.ErrAbortHandler)
	}
	wri.Header().Set("Response-Signature", "signed")
	_, _ = wri.Write([]byte(id))
}

// announce sends heartbeats until the context ends.
func (bac *backend) announce(ctx context.Context) {
	ticker := time.NewTicker(heartbeatTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			bac.heartbeat(ctx)
		}
	}
}

func (bac *backend) heartbeat(ctx context.Context) {
	id, state, leaving := bac.id(), "ready", bac.draining.Load()
	if leaving {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v","slots":%d,"state":%q,"coldRemainingMs":0,"seq":%d,"born":%d}`,
		bac.service, bac.address, slots, state, bac.sent.Add(1), bac.born.Load())
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+bac.control.String()+"/v1/rpc?call=instances.heartbeat&of="+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	_ = res.Body.Close()
	if leaving && res.StatusCode == statusOK && bac.id() == id {
		bac.confirmed.CompareAndSwap(0, time.Now().UnixNano())
	}
}
