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
	// greedyRate is the account's rate and burst, a fraction of what its callers ask.
	greedyRate = 60
	// The users' bound: in each window no more than rate and burst allow, a tenth more, and some calls.
	rateWindow = 5 * time.Second
	rateOver   = 0.1
	rateSlack  = 20
)

// greedyClient asks one node without a pause for an account that may have much less.
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
			ID: id, Method: http.MethodPost, Host: hostName, Path: "/confirms/" + id, Key: greedyKey, Body: id, Timeout: requestTime,
		})
		told := answerTold{greedy: true}
		if err == nil {
			told.status = rep.Status
		}
		cli.ledger.answered(id, told)
		dispatcher.Wait(ctx, thinkTime/2)
	}
}

// mostInWindow returns the largest number of times within one window.
func mostInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// checkRate compares the runs of the greedy account with what its rate allows.
func (led *ledger) checkRate() {
	const bound = (greedyRate*(float64(rateWindow)/float64(time.Second))+greedyRate)*(1+rateOver) + rateSlack
	if most := mostInWindow(led.greedyRuns, rateWindow); float64(most) > bound {
		led.violations = append(led.violations, Violation{"rate", fmt.Sprintf("%d calls ran in %s, at most %.0f may", most, rateWindow, bound)})
	}
}
