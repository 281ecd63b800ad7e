package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"flamingoreach/io/dispatcher"
	"flamingoreach/platform/standin"
)

const (
	greedyName = "bank-b"
	greedyKey  = "key-of-bank-b"
	// greedyRate is the account's rate in calls per second and its burst in calls, a fraction of the rate at which its
	// callers send requests.
	greedyRate = 60
	// Users require that within any rateWindow at most (rate*rateWindow + burst) * (1 + rateTolerance) + rateSlack
	// calls run.
	rateWindow    = 5 * time.Second
	rateTolerance = 0.1
	rateSlack     = 20
)

// greedyClient sends requests of the greedy account to one node. The clients of all nodes together send several times
// the account's rate.
type greedyClient struct {
	name   string
	ledger *ledger
	caller *standin.Caller
}

func (cli *greedyClient) run(ctx context.Context) {
	defer cli.caller.Close()
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%s-%d", cli.name, number)
		rep, err := cli.caller.Send(ctx, standin.Request{
			ID: id, Method: http.MethodPost, Host: requestHost, Path: "/confirms/" + id, Key: greedyKey, Body: id, Timeout: requestTimeout,
		})
		answer := callerAnswer{greedy: true}
		if err == nil {
			answer.status = rep.Status
		}
		cli.ledger.recordAnswer(id, answer)
		dispatcher.Wait(ctx, thinkTime/2)
	}
}

// maxInWindow sorts the times and returns the largest number of them that lie within one window.
func maxInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	maximum, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > window {
			first++
		}
		maximum = max(maximum, last-first+1)
	}
	return maximum
}

// checkRate compares the executions of the greedy account in each window with the bound.
func (led *ledger) checkRate() {
	const bound = (greedyRate*(float64(rateWindow)/float64(time.Second))+greedyRate)*(1+rateTolerance) + rateSlack
	if maximum := maxInWindow(led.greedyExecutions, rateWindow); float64(maximum) > bound {
		led.violations = append(led.violations, Violation{"rate", fmt.Sprintf("%d calls ran in %s, at most %.0f may", maximum, rateWindow, bound)})
	}
}
