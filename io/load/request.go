package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/machine"
	"flamingoreach/io/load/arrival"
	"flamingoreach/io/load/attempt"
	"flamingoreach/io/load/report"
	"flamingoreach/io/load/retrypolicy"
)

const (
	stateSending = "sending"
	// seedStream selects the random stream of the jitter. It differs from fillerStream, so that a request's jitter and
	// body, which have the same seed, are independent.
	seedStream = 2
)

// request is one request of the load generator; the chart loadRequest defines its states.
type request struct {
	policy   retrypolicy.RetryPolicy
	due      arrival.Arrival
	deadline time.Time
	random   *rand.Rand
	attempts []attempt.Attempt
	wait     time.Duration
}

var loadRequest = machine.MustNew(charts.MustLoad("loadRequest"),
	[]string{"answered", "refused", "failed", "waited", "expired"},
	map[string]func(*request) bool{"mayRetry": (*request).mayRetry, "wasRefused": (*request).wasRefused},
	map[string]func(*request){"planWait": (*request).planWait},
)

// runRequest makes the attempts of one request until it is in a final state.
func (gen *Generator) runRequest(ctx context.Context, due arrival.Arrival, start time.Time) report.Report {
	req := &request{
		policy: gen.plan.Retry, due: due, deadline: start.Add(gen.plan.Deadline),
		random: rand.New(rand.NewPCG(due.Seed, seedStream)),
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	state := loadRequest.Initial()
	for !loadRequest.Final(state) {
		var event string
		if state == stateSending {
			att := gen.Send(ctx, due, len(req.attempts)+1)
			req.attempts = append(req.attempts, att)
			event = att.Event()
		} else {
			event = req.waitBackoff(ctx)
		}
		state = loadRequest.Fire(req, state, event)
	}
	return report.Report{Arrival: due, Attempts: req.attempts, FinalState: state, Elapsed: time.Since(start)}
}

// waitBackoff waits until the next attempt is due or the request's deadline passes, and returns the event for the chart.
func (req *request) waitBackoff(ctx context.Context) string {
	timer := time.NewTimer(req.wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return "waited"
	case <-ctx.Done():
		return "expired"
	}
}

func (req *request) lastAttempt() attempt.Attempt { return req.attempts[len(req.attempts)-1] }

func (req *request) wasRefused() bool { return req.lastAttempt().Refused() }

func (req *request) planWait() {
	req.wait = req.policy.Wait(len(req.attempts), req.random.Float64(), req.lastAttempt().RetryAfter)
}

// mayRetry reports whether the retry policy allows another attempt. An unconditional policy also retries requests that
// may have been executed. Other policies do not retry after a 4xx status other than 408 and 429.
func (req *request) mayRetry() bool {
	if len(req.attempts) >= req.policy.Attempts || !time.Now().Before(req.deadline) {
		return false
	}
	if req.policy.Unconditional {
		return true
	}
	att := req.lastAttempt()
	switch {
	case att.Status == http.StatusRequestTimeout, att.Status == http.StatusTooManyRequests:
	case att.Status >= http.StatusBadRequest && att.Status < http.StatusInternalServerError:
		return false
	}
	return att.NotRun() || req.due.Kind.SafeToRetry()
}
