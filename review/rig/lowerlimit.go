package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// formerLimit is the tenant's allowance before the change, a second and at once; lowerRate and lowerBurst are that after
	// it.
	formerLimit           = 400
	lowerRate, lowerBurst = 20, 100
	// fillTime is how long the tenant sends nothing before its limit is lowered.
	fillTime = 8 * time.Second
	// bindTime is longer than configMs, contactMs and the window, after which the lower limit binds.
	bindTime = 12 * time.Second
	// surgeTime is how long the tenant's callers then send, each machine's at surgeRate.
	surgeTime = 10 * time.Second
	surgeRate = 45
)

// playLowerLimit lowers the allowance of a tenant that sends nothing, and lets it send more than that later.
func playLowerLimit(ctx context.Context, rec *record, trouble bool) (bool, error) {
	dep, err := newDeployment(ctx, rec,
		site{"m1", "ams-a", "quotes"}, site{"m2", "rtm-b", "quotes"}, site{"m3", "hlm-c", "quotes"}, site{"m4", "ldn-d", "quotes"})
	defer dep.close()
	if err != nil {
		return false, err
	}
	routes := []route{{"quote", "/quote/", "quotes", "idempotent", 2000, 1500, false}}
	lowered := account{"pulo780", key, lowerRate, lowerBurst}
	first := lowered
	if trouble {
		first = account{"pulo780", key, formerLimit, formerLimit}
	}
	dep.store.putConfiguration(configuration(7, routes, []account{first}))
	if err := dep.startAll(ctx); err != nil {
		return false, err
	}
	if err := dep.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(fillTime)
	dep.store.putConfiguration(configuration(9, routes, []account{lowered}))
	rec.say("the limit was %d a second and %d at once, now it is %d and %d", first.rate, first.burst, lowered.rate, lowered.burst)
	time.Sleep(bindTime)
	var sending sync.WaitGroup
	began := rec.since()
	for _, mac := range dep.machines {
		sending.Go(func() {
			ticker := time.NewTicker(time.Second / surgeRate)
			defer ticker.Stop()
			for rec.since()-began < surgeTime && ctx.Err() == nil {
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
	return judgeQuota(rec, dep.led.all(), lowerRate, lowerBurst), nil
}
