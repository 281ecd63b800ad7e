package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/io/dispatcher"
	"flamingoreach/platform/standin"
)

const (
	crashPath = "/quotes/crash-"
	// backendDownTime is the time until a crashed backend server is back.
	backendDownTime = time.Second
	// backendColdTime is how long a backend server is cold after its start.
	backendColdTime = 1500 * time.Millisecond
	// A crashing request is sent crashSends times, crashPause apart, each time at a random host. The last sends come later
	// than crashContactTime after the third.
	crashSends = 24
	crashPause = 250 * time.Millisecond
	// From crashContactTime after the third crash on, a crashing request may reach backend servers maxLateCrashes times.
	crashContactTime = 3 * time.Second
	maxLateCrashes   = 3
	crashesBefore    = 3
)

// sendCrashingRequests sends one request that crashes the backend servers that run it, again and again, and before each a
// sibling that differs from it in its query.
func (fle *Fleet) sendCrashingRequests(ctx context.Context, ran *rand.Rand) {
	path := fmt.Sprintf("%s%08x", crashPath, ran.Uint32())
	for number := range crashSends {
		cal := standin.NewCaller(fle.hosts[ran.IntN(len(fle.hosts))].callers)
		sibling := fmt.Sprintf("sibling-%s-%d", path, number)
		rep, _ := cal.Send(ctx, standin.Request{
			ID: sibling, Method: http.MethodGet, Host: requestHost, Path: fmt.Sprint(path, "?number=", number), Key: fle.key(1).text, Timeout: requestTimeout,
		})
		if strings.HasPrefix(rep.Body, string(reason.Quarantined)+", "+outcome.NotRun.String()) {
			fle.ledger.addViolation("no wrongful refusal", "%s was refused with the crashing request", sibling)
		}
		// The caller gets no answer from a backend server, and what it gets from its node is not judged.
		_, _ = cal.Send(ctx, standin.Request{
			ID: fmt.Sprintf("%s-%d", path, number), Method: http.MethodGet, Host: requestHost, Path: path, Key: fle.key(1).text, Timeout: requestTimeout,
		})
		cal.Close()
		dispatcher.Wait(ctx, crashPause)
	}
}

// checkCrashes reports each crashing request that went on to reach backend servers.
func (led *ledger) checkCrashes() {
	for path, times := range led.crashes {
		late := 0
		for _, at := range times[min(crashesBefore, len(times)):] {
			if at.Sub(times[crashesBefore-1]) > crashContactTime {
				late++
			}
		}
		if late > maxLateCrashes {
			led.violations = append(led.violations, Violation{"crashing request", fmt.Sprintf("%s ran %d times, %d of them %s after the third", path, len(times), late, crashContactTime)})
		}
	}
}
