// Command 9 counts how often a request that crashes upstreams reaches them, while requests that differ from it only in their
// query are served.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"flamingoreach/review/rig2"
)

const (
	timeLimitMs = 2000
	workTime    = 20 * time.Millisecond
	answerBytes = 5000
	downTime    = 2 * time.Second
	playTime    = 60 * time.Second
	// The crashing request comes again each crashInterval, another request each otherInterval.
	crashInterval = 4 * time.Second
	otherInterval = 50 * time.Millisecond
	crashQuery    = "item=13"
	// The rule counts the retries that are sent later than contactTime after the third crash, and allows three of them.
	contactTime    = 3 * time.Second
	crashes        = 3
	allowedRetries = 3
)

// reached holds when the crashing request reached an upstream.
var reached struct {
	sync.Mutex

	at []time.Time
}

func main() {
	host := func(service string) rig2.Settings {
		return rig2.Settings{Zone: "ams-a", Service: service, MemoryMB: 284, GraceS: 6, Slots: 104, DownTime: downTime}
	}
	os.Exit(rig2.Case{
		Configuration: rig2.Configuration(1,
			rig2.Route{Name: "r-q", Prefix: "/leny950/", Service: "quotes", Kind: "idempotent", TimeoutMs: timeLimitMs, MaxAttempts: 1}),
		Hosts: []rig2.Settings{host("margins"), host("quotes"), host("quotes"), host("quotes")},
		Work:  work,
		Run:   run,
	}.Main())
}

func work(req *http.Request, _ []byte) []byte {
	if req.URL.RawQuery == crashQuery {
		reached.Lock()
		defer reached.Unlock()
		reached.at = append(reached.at, time.Now())
		return nil
	}
	time.Sleep(workTime)
	return make([]byte, answerBytes)
}

// run sends the crashing request, if there is trouble, and the others, and counts the late retries of the first.
func run(ctx context.Context, fle *rig2.Fleet, trouble bool) (string, error) {
	playing, cancel := context.WithTimeout(ctx, playTime)
	defer cancel()
	var sending sync.WaitGroup
	var sent, served atomic.Int64
	if trouble {
		sending.Go(func() {
			each(playing, crashInterval, func(number int) { get(ctx, fle, fmt.Sprint("crash-", number), crashQuery) })
		})
	}
	each(playing, otherInterval, func(number int) {
		sending.Go(func() {
			sent.Add(1)
			if get(ctx, fle, fmt.Sprint("other-", number), fmt.Sprint("item=", 100+number)) == http.StatusOK {
				served.Add(1)
			}
		})
	})
	sending.Wait()
	reached.Lock()
	defer reached.Unlock()
	retries := 0
	for index, at := range reached.at {
		if index >= crashes && at.Sub(reached.at[crashes-1]) > contactTime {
			retries++
		}
	}
	fle.Record.Write("counted", "reached", len(reached.at), "lateRetries", retries, "othersSent", sent.Load(), "othersServed", served.Load())
	if retries <= allowedRetries {
		return "", nil
	}
	return fmt.Sprintf("the request reached upstreams %d times, %d of them later than %s after its third crash; %d are allowed",
		len(reached.at), retries, contactTime, allowedRetries), nil
}

// each calls a function at an interval, with the number of the call, until the context ends.
func each(ctx context.Context, interval time.Duration, call func(number int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 1; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call(number)
		}
	}
}

func get(ctx context.Context, fle *rig2.Fleet, id, query string) int {
	ctx, cancel := context.WithTimeout(ctx, timeLimitMs*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+fle.Hosts[0].Outbound.String()+"/leny950/2f?"+query, http.NoBody)
	if err != nil {
		fle.Record.Write("not sent", "id", id, "error", err)
		return 0
	}
	req.Host = rig2.HostName
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeLimitMs))
	req.Header.Set("Authorization", "Bearer "+rig2.Key)
	fle.Record.Write("sent", "id", id, "query", query)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		fle.Record.Write("no answer", "id", id, "error", err)
		return 0
	}
	length, err := io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	fle.Record.Write("answered", "id", id, "status", res.StatusCode, "bytes", length, "whole", err == nil)
	return res.StatusCode
}
