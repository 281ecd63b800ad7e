package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	configurationTime = 2 * time.Second
	maxStretch        = 5 * time.Second
	withdrawnKey      = "8pjbvk9m68k7b2ex5wa5"
	sends             = 10
)

func playFollowers(ctx context.Context, rec *record, trouble, kill bool) (bool, error) {
	count := 9
	if kill {
		count = 16
	}
	var sites []site
	for number := range count {
		sites = append(sites, site{fmt.Sprintf("m%d", number+1), "ams-a", "quotes"})
	}
	dep, err := newDeployment(ctx, rec, sites...)
	defer dep.close()
	if err != nil {
		return false, err
	}
	routes := []route{{"quote", "/quote/", "quotes", "idempotent", 2000, 1500, false}}
	dep.store.putConfiguration(configuration(7, routes, []account{{"pulo780", key, 1000, 1000}, {"other", withdrawnKey, 1000, 1000}}))
	if err := dep.startAll(ctx); err != nil {
		return false, err
	}
	if err := dep.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(3 * calmTime)
	followers := dep.store.followers()
	rec.say("followers: %v", followers)
	if trouble {
		if kill {
			for _, mac := range dep.machines {
				if slices.Contains(followers, mac.name) {
					mac.signal(syscall.SIGKILL)
				}
			}
		} else {
			dep.store.turnAway(followers, true)
		}
	}
	time.Sleep(50 * time.Millisecond)
	dep.store.putConfiguration(configuration(9, routes, []account{{"pulo780", key, 1000, 1000}}))
	acked := rec.since()
	rec.say("the key is withdrawn")
	var wg sync.WaitGroup
	var mut sync.Mutex
	var results []result
	for _, mac := range dep.machines {
		if slices.Contains(followers, mac.name) {
			continue
		}
		wg.Go(func() {
			for rec.since()-acked < 9*time.Second {
				res := send(ctx, rec, mac.at(callersPort), request{
					id: newID(), method: http.MethodGet, host: hostName, target: "/quote/" + mac.name + "?work=20", key: withdrawnKey, timeout: 2 * time.Second,
				})
				mut.Lock()
				results = append(results, res)
				mut.Unlock()
				time.Sleep(time.Second / sends)
			}
		})
	}
	wg.Wait()
	if trouble && !kill {
		dep.store.turnAway(followers, false)
	}
	late, stretched := 0, 0
	last := time.Duration(0)
	for _, res := range results {
		after := res.sent - acked
		if after <= configurationTime || len(dep.led.runsOf(res.id)) == 0 {
			continue
		}
		late++
		if after > configurationTime+maxStretch {
			stretched++
		}
		last = max(last, after)
	}
	rec.say("runs with the withdrawn key, sent more than %v after the ack: %d, more than %v after: %d, last %.2f s after", configurationTime, late,
		configurationTime+maxStretch, stretched, last.Seconds())
	return late > 0, nil
}
