package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"flamingoreach/charts"
	"flamingoreach/core/control"
	"flamingoreach/core/event"
	"flamingoreach/core/machine"
	"flamingoreach/io/demo/observation"
	"flamingoreach/io/demo/summary"
	"flamingoreach/io/demo/timeline"
	"flamingoreach/io/load"
	"flamingoreach/io/load/arrival"
	"flamingoreach/io/load/attempt"
	"flamingoreach/io/load/plan"
	"flamingoreach/io/load/result"
	"flamingoreach/io/localfleet"
)

const (
	eventQueueLength = 1024
	reportInterval   = time.Second
	stopTimeout      = 20 * time.Second
)

// Demo is one run of the demonstration; its exported fields must be set before Run.
type Demo struct {
	// Print is called with one line for each event and the time since the start; calls never overlap.
	Print func(elapsed time.Duration, text string)
	// Log is the logger of the nodes.
	Log *log.Logger

	started  time.Time
	thread   *control.Thread
	timeline *timeline.Timeline
	// lastReported is the time of the last progress line; it is zero while progress is not reported.
	lastReported time.Time

	fleet       *localfleet.Fleet
	plan        plan.Plan
	loadStarted time.Time
	withdrawnAt time.Time
	loadEnded   chan loadResult
	// loadEnough is closed when the load has lasted long enough.
	loadEnough          chan struct{}
	backendServerClosed chan error
	summary             summary.Summary
	firstErr            error
}

type loadResult struct {
	result result.Result
	err    error
}

// New returns a demonstration that has not started; it passes its lines to output.
func New(output func(elapsed time.Duration, text string), logger *log.Logger) *Demo {
	var steady []string
	for _, acc := range accounts {
		if acc.offeredRate <= acc.rate {
			steady = append(steady, acc.name)
		}
	}
	dem := &Demo{
		Print: output, Log: logger, thread: control.New(eventQueueLength), timeline: timeline.New(steady...),
		loadEnded: make(chan loadResult, 1), loadEnough: make(chan struct{}), backendServerClosed: make(chan error, 1), plan: loadPlan(),
	}
	dem.thread.AddTicker(dem.report)
	return dem
}

var lifecycle = machine.MustNew[Demo](charts.MustLoad("demo"), []string{"done", "failed"}, nil, nil)

// Run runs all phases and returns the summary; it fails if a phase could not be completed.
func (dem *Demo) Run(ctx context.Context) (summary.Summary, error) {
	dem.started = time.Now()
	threadCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- dem.thread.Run(threadCtx) }()
	phases := map[string]func(ctx context.Context) error{
		"starting": dem.start, "calm": dem.sendOrdinaryLoad, "surging": dem.surge, "recovering": dem.awaitRecovery,
		"withdrawing": dem.withdrawKey, "leaving": dem.stopBackendServer, "closing": dem.close,
	}
	for state := lifecycle.Initial(); !lifecycle.Final(state); {
		event := "done"
		if err := phases[state](ctx); err != nil {
			event = "failed"
			if dem.firstErr == nil {
				dem.firstErr = eris.Wrapf(err, "phase %s", state)
			}
		}
		state = lifecycle.Fire(dem, state, event)
	}
	stop()
	if err := <-ended; dem.firstErr == nil {
		dem.firstErr = err
	}
	return dem.summary, dem.firstErr
}

// printLine posts a line to the control thread, the only goroutine that calls Print.
func (dem *Demo) printLine(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	at := time.Since(dem.started)
	_ = dem.thread.Post(context.Background(), event.Event{Name: "demo.said", Data: text, Apply: func() { dem.Print(at, text) }})
}

// report prints the progress of the load once per reportInterval, from the start of the load until the phase closing;
// it runs on the control thread.
func (dem *Demo) report() {
	if dem.lastReported.IsZero() || time.Since(dem.lastReported) < reportInterval {
		return
	}
	dem.lastReported = time.Now()
	dem.Print(time.Since(dem.started), dem.timeline.ProgressLine())
}

// startLoad starts the load generator in another goroutine; each observation is posted to the control thread.
func (dem *Demo) startLoad(ctx context.Context) error {
	for _, nod := range dem.fleet.Nodes {
		dem.plan.Targets = append(dem.plan.Targets, nod.Addresses().Callers)
	}
	gen, err := load.New(dem.plan)
	if err != nil {
		return err
	}
	send := gen.Send
	gen.Send = func(ctx context.Context, due arrival.Arrival, number int) attempt.Attempt {
		sent := time.Now()
		att := send(ctx, due, number)
		obs := observation.Observation{Arrival: due, Attempt: att, Sent: sent, Done: time.Now()}
		_ = dem.thread.Post(context.WithoutCancel(ctx), event.Event{
			Name: "demo.observed", Data: obs.Attempt, Apply: func() { dem.timeline.Add(obs) },
		})
		return att
	}
	gen.ReadExecutions = dem.readExecutions
	gen.Enough = dem.loadEnough
	dem.loadStarted = time.Now()
	err = dem.thread.Do(ctx, "demo.began", func() { dem.lastReported = time.Now() })
	go func() {
		res, err := gen.Run(ctx)
		dem.loadEnded <- loadResult{result: res, err: err}
	}()
	return err
}

// readExecutions adds up the executions by request ID over all backend servers, including the one that has stopped.
func (dem *Demo) readExecutions(context.Context) (executions map[string]int, read, failed int) {
	executions = map[string]int{}
	for _, bas := range dem.fleet.BackendServers {
		rec := bas.Record()
		if rec.Overflow > 0 {
			failed++
		} else {
			read++
		}
		for id, count := range rec.RequestIDs {
			executions[id] += count
		}
	}
	return executions, read, failed
}
