package main

import (
	"context"
	"net/http"
	"time"
)

// playPaths sends requests on a route with the prefix /, of which some have an empty first segment in their path.
func playPaths(ctx context.Context, rec *record, trouble bool) (bool, error) {
	dep, err := newDeployment(ctx, rec, site{"m1", "ams-a", "quotes"}, site{"m2", "rtm-b", "quotes"})
	defer dep.close()
	if err != nil {
		return false, err
	}
	dep.store.putConfiguration(configuration(7, []route{{"all", "/", "quotes", "idempotent", 3000, 1500, false}},
		[]account{{"pulo780", key, 1000, 1000}}))
	if err := dep.startAll(ctx); err != nil {
		return false, err
	}
	if err := dep.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	targets := []string{"/abc/def?x=1", "/abc//def"}
	if trouble {
		targets = append(targets, "//abc/def?x=1")
	}
	broken := false
	for _, target := range targets {
		res := send(ctx, rec, dep.machines[0].at(callersPort), request{
			id: newID(), method: http.MethodGet, host: hostName, target: target, key: key, timeout: 3 * time.Second,
		})
		for _, entry := range dep.led.runsOf(res.id) {
			rec.say("sent %s to the host %s, run as %s for the host %s", target, hostName, entry.target, entry.host)
			broken = broken || entry.target != target
		}
	}
	return broken, nil
}
