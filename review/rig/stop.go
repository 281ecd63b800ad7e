package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// calmTime is longer than contactMs, so that all machines are in touch.
	calmTime = 4 * time.Second
	// stopSlack is the time after a SIGTERM up to which a request that is still at work late in the grace is excused.
	stopSlack = 3 * time.Second
	key       = "6wsjnbanfqasnmgkcuyj"
)

// playStop stops the node of a machine whose backend server runs on, and whose zone has no other machine. Requests that
// need no key come late in the grace time, from the backend server and from callers.
func playStop(ctx context.Context, rec *record, trouble bool) (bool, error) {
	dep, err := newDeployment(ctx, rec,
		site{"m1", "ams-a", "confirms"}, site{"m2", "rtm-b", "quotes"}, site{"m3", "hlm-c", "quotes"}, site{"m4", "ldn-d", "margins"})
	defer dep.close()
	if err != nil {
		return false, err
	}
	dep.store.putConfiguration(configuration(7, []route{
		{"confirm", "/confirm/", "confirms", "non_idempotent", 8000, 1500, false},
		{"quote", "/quote/", "quotes", "non_idempotent", 4000, 1500, false},
		{"sync", "/sync/", "quotes", "non_idempotent", 4000, 1500, true},
	}, []account{{"pulo780", key, 1000, 1000}}))
	if err := dep.startAll(ctx); err != nil {
		return false, err
	}
	if err := dep.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	mac := dep.machines[0]
	var mut sync.Mutex
	var results []result
	var sending sync.WaitGroup
	sendAt := func(at time.Duration, target, key string, timeout time.Duration) {
		sending.Go(func() {
			time.Sleep(at)
			res := send(ctx, rec, mac.at(callersPort), request{
				id: newID(), method: http.MethodPost, host: hostName, target: target, key: key, body: "a trade", timeout: timeout,
			})
			mut.Lock()
			defer mut.Unlock()
			results = append(results, res)
		})
	}
	// These run on the machine's own backend server when SIGTERM comes; the second one makes a call when it has worked.
	const lead = 300 * time.Millisecond
	sendAt(0, "/confirm/long?work=4600", key, 8*time.Second)
	sendAt(0, "/confirm/calls?work=4100&call=1700", key, 8*time.Second)
	for _, at := range []time.Duration{3500, 3700, 3900, 4100} {
		sendAt(lead+at*time.Millisecond, fmt.Sprintf("/sync/at%d?work=1700", at), "", 4*time.Second)
		sendAt(lead+at*time.Millisecond, fmt.Sprintf("/quote/at%d?work=1700", at), key, 4*time.Second)
	}
	time.Sleep(lead)
	stopped := rec.since()
	if trouble {
		mac.stop()
	}
	sending.Wait()
	return judgeStop(rec, dep, stopped, append(results, dep.deeperCalls()...)), nil
}

// judgeStop reports whether a request that was sent later than stopSlack after the SIGTERM was passed on to a backend
// server and its connection ended without a complete answer, before its time limit.
func judgeStop(rec *record, dep *deployment, stopped time.Duration, results []result) bool {
	lost := 0
	for _, res := range results {
		ran := len(dep.led.runsOf(res.id))
		after := res.sent - stopped
		isLost := !res.complete && ran > 0 && after > stopSlack && res.ended-res.sent < res.timeout
		rec.say("%s: sent %.2f s after the stop began, ran %d times, status %d, complete %t, ended %.2f s after the stop began%s", res.target,
			after.Seconds(), ran, res.status, res.complete, (res.ended - stopped).Seconds(), map[bool]string{true: ", LOST"}[isLost])
		if isLost {
			lost++
		}
	}
	rec.say("requests lost: %d of %d", lost, len(results))
	return lost > 0
}
