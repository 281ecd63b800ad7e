package load

import (
	"context"
	"time"

	"github.com/google/uuid"

	"flamingoreach/core/control"
	"flamingoreach/core/event"
	"flamingoreach/io/load/arrival"
	"flamingoreach/io/load/arrivals"
	"flamingoreach/io/load/attempt"
	"flamingoreach/io/load/plan"
	"flamingoreach/io/load/report"
	"flamingoreach/io/load/result"
	"flamingoreach/io/load/tally"
)

const reportQueueLength = 1024

// Generator sends the requests of one plan. Tests and the demonstration replace its function fields.
type Generator struct {
	// Send makes one attempt of a request; number counts its attempts from 1.
	Send func(ctx context.Context, due arrival.Arrival, number int) attempt.Attempt
	// ReadExecutions returns how often each request ID was executed, and how many execution records could and could not be
	// read.
	ReadExecutions func(ctx context.Context) (executions map[string]int, read, failed int)
	// Enough, if set, ends the sending of new requests when it is closed, before the plan does.
	Enough <-chan struct{}

	plan   plan.Plan
	thread *control.Thread
	sender *sender
}

// New returns a load generator for a plan; it fails if the plan is out of bounds or has a target that is not a loopback
// address.
func New(pla plan.Plan) (*Generator, error) {
	if err := pla.Check(); err != nil {
		return nil, err
	}
	sen := newSender(pla)
	return &Generator{
		Send: sen.send, ReadExecutions: sen.readExecutions,
		plan: pla, thread: control.New(reportQueueLength), sender: sen,
	}, nil
}

// Run sends all requests, waits until each is finished and returns the result; if the context ends, it starts no more.
func (gen *Generator) Run(ctx context.Context) (result.Result, error) {
	defer gen.sender.close()
	threadCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- gen.thread.Run(threadCtx) }()
	tal := tally.New(gen.plan.Seed)
	start := time.Now()
	gen.sendAll(ctx, start, func(rep report.Report) {
		_ = gen.thread.Post(threadCtx, event.Event{Name: "load.finished", Data: rep.FinalState, Apply: func() { tal.Add(rep) }})
	})
	elapsed := time.Since(start)
	executions, read, failed := gen.ReadExecutions(threadCtx)
	var res result.Result
	err := gen.thread.Do(threadCtx, "load.result", func() {
		tal.CheckExecutions(executions, read, failed)
		res = tal.Result(elapsed)
	})
	stop()
	if threadErr := <-ended; err == nil {
		err = threadErr
	}
	return res, err
}

// sendAll starts each request at its scheduled time, independent of the answers to others (an open-loop load), and
// passes the report of each finished request to finish.
func (gen *Generator) sendAll(ctx context.Context, start time.Time, finish func(rep report.Report)) {
	reports := make(chan report.Report, reportQueueLength)
	arr := arrivals.New(gen.plan)
	due, more := arr.Next()
	timer := time.NewTimer(0)
	defer timer.Stop()
	timer.Reset(time.Until(start.Add(due.Offset)))
	stopped, enough := ctx.Done(), gen.Enough
	for running := 0; more || running > 0; {
		var next <-chan time.Time
		if more {
			next = timer.C
		}
		select {
		case <-next:
			running++
			due.ID = uuid.Must(uuid.NewV7())
			go func(due arrival.Arrival) { reports <- gen.runRequest(ctx, due, start.Add(due.Offset)) }(due)
			due, more = arr.Next()
			timer.Reset(time.Until(start.Add(due.Offset)))
		case rep := <-reports:
			running--
			finish(rep)
		case <-stopped:
			more = false
			stopped = nil
		case <-enough:
			more = false
			enough = nil
		}
	}
}
