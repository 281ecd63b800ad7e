package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// outageTime is how long the store is down while the machines start for the first time.
	outageTime = 3 * time.Second
	// rate and burst are the tenant's allowance.
	rate, burst = 20, 20
	// loadTime is how long callers send, each at callerRate to the node of its machine.
	loadTime   = 15 * time.Second
	callerRate = 30
	// The window and the tolerance of the rule.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
)

// playFirstStart starts a deployment for the first time while its store is down for a short time. Then callers at all
// machines send more than a tenant's allowance.
func playFirstStart(ctx context.Context, rec *record, trouble bool) (bool, error) {
	dep, err := newDeployment(ctx, rec,
		site{"m1", "ams-a", "quotes"}, site{"m2", "rtm-b", "quotes"}, site{"m3", "hlm-c", "quotes"}, site{"m4", "ldn-d", "quotes"})
	defer dep.close()
	if err != nil {
		return false, err
	}
	dep.store.putConfiguration(configuration(7, []route{
		{"quote", "/quote/", "quotes", "idempotent", 2000, 1500, false},
	}, []account{{"pulo780", key, rate, burst}}))
	if trouble {
		dep.store.setDown(true)
	}
	if err := dep.startAll(ctx); err != nil {
		return false, err
	}
	time.Sleep(outageTime)
	if trouble {
		dep.store.setDown(false)
	}
	if err := dep.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(2 * calmTime)
	var sending sync.WaitGroup
	began := rec.since()
	for _, mac := range dep.machines {
		sending.Go(func() {
			ticker := time.NewTicker(time.Second / callerRate)
			defer ticker.Stop()
			for rec.since()-began < loadTime && ctx.Err() == nil {
				<-ticker.C
				sending.Go(func() {
					send(ctx, rec, mac.at(callersPort), request{
						id: newID(), method: http.MethodGet, host: hostName, target: "/quote/" + mac.name + "?work=20", key: key, timeout: 2 * time.Second,
					})
				})
			}
		})
	}
	sending.Wait()
	return judgeQuota(rec, dep.led.all(), rate, burst), nil
}

// judgeQuota reports whether more of the tenant's requests ran in a window than its allowance lets.
func judgeQuota(rec *record, runs []run, rate, burst float64) bool {
	bound := (rate*quotaWindow.Seconds()+burst)*(1+quotaOver) + quotaSlack
	most, at := 0, time.Duration(0)
	for first := range runs {
		count := 0
		for _, entry := range runs[first:] {
			if entry.at >= runs[first].at && entry.at < runs[first].at+quotaWindow {
				count++
			}
		}
		if count > most {
			most, at = count, runs[first].at
		}
	}
	byServer := map[string]int{}
	for _, entry := range runs {
		byServer[entry.server]++
	}
	rec.say("runs by backend server: %s", fmt.Sprint(byServer))
	rec.say("most runs in a window of %v: %d, from %.3f s; the bound is %.0f", quotaWindow, most, at.Seconds(), bound)
	return float64(most) > bound
}
