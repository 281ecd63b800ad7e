package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// The bound of a change, and the most by which a store in disturbance stretches it.
	configurationTime = 2 * time.Second
	maxStretch        = 5 * time.Second
	// turnedAwayTime is how long the store turns machines away.
	turnedAwayTime = 9 * time.Second
	// beforeChange is how long the store has turned machines away when the key is withdrawn.
	beforeChange = 500 * time.Millisecond
	// followerMachines is the number of machines, and turnedAwayMachines that of those which the store turns away.
	followerMachines, turnedAwayMachines = 10, 3
	// probeInterval is the time between two requests with the withdrawn key at one machine.
	probeInterval = 100 * time.Millisecond
	withdrawnKey  = "8pjbvk9m68k7b2ex5wa5"
)

// playFollowers withdraws a key while the store turns away the machines that wait for changes of the configuration at it,
// and serves the others. Requests with the key come at the others only.
func playFollowers(ctx context.Context, rec *record, trouble bool) (bool, error) {
	var sites []site
	for number := range followerMachines {
		sites = append(sites, site{fmt.Sprintf("m%d", number+1), "ams-a", "quotes"})
	}
	dep, err := newDeployment(ctx, rec, sites...)
	defer dep.close()
	if err != nil {
		return false, err
	}
	routes := []route{{"quote", "/quote/", "quotes", "idempotent", 2000, 1500, false}}
	kept := account{"pulo780", key, 1000, 1000}
	dep.store.putConfiguration(configuration(7, routes, []account{kept, {"other", withdrawnKey, 1000, 1000}}))
	if err := dep.startAll(ctx); err != nil {
		return false, err
	}
	if err := dep.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(3 * calmTime)
	away := dep.store.followers()
	rec.say("calls wait for changes at the store from %v", away)
	if len(away) != turnedAwayMachines {
		return false, fmt.Errorf("want %d machines that follow the store", turnedAwayMachines)
	}
	if trouble {
		dep.store.turnAway(away, true)
	}
	time.Sleep(beforeChange)
	dep.store.putConfiguration(configuration(9, routes, []account{kept}))
	acked := rec.since()
	rec.say("the key is withdrawn")
	var senders sync.WaitGroup
	var mut sync.Mutex
	var results []result
	for _, mac := range dep.machines {
		if slices.Contains(away, mac.name) {
			continue
		}
		senders.Go(func() {
			for rec.since()-acked < turnedAwayTime-beforeChange {
				res := send(ctx, rec, mac.at(callersPort), request{
					id: newID(), method: http.MethodGet, host: hostName, target: "/quote/" + mac.name + "?work=20", key: withdrawnKey, timeout: 2 * time.Second,
				})
				mut.Lock()
				results = append(results, res)
				mut.Unlock()
				time.Sleep(probeInterval)
			}
		})
	}
	senders.Wait()
	if trouble {
		dep.store.turnAway(away, false)
	}
	return judgeWithdrawn(rec, dep, acked, results), nil
}

// judgeWithdrawn reports whether requests with the withdrawn key ran that were sent later than the bound lets, stretched
// as much as it may be.
func judgeWithdrawn(rec *record, dep *deployment, acked time.Duration, results []result) bool {
	ran := map[string]bool{}
	for _, entry := range dep.led.all() {
		ran[entry.id] = true
	}
	late, broken, last := 0, 0, time.Duration(0)
	for _, res := range results {
		after := res.sent - acked
		if after <= configurationTime || !ran[res.id] {
			continue
		}
		late++
		last = max(last, after)
		if after > configurationTime+maxStretch {
			broken++
		}
	}
	rec.say("requests with the withdrawn key that ran though sent more than %v after the ack: %d, more than %v after it: %d, the last %.2f s after it",
		configurationTime, late, configurationTime+maxStretch, broken, last.Seconds())
	return broken > 0
}
