package tally

import (
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"flamingoreach/io/load/attempt"
	"flamingoreach/io/load/count"
	"flamingoreach/io/load/latency"
	"flamingoreach/io/load/report"
	"flamingoreach/io/load/result"
)

const (
	// The range and the precision of the latency histogram.
	minLatency        = time.Microsecond
	maxLatency        = time.Hour
	significantDigits = 3
)

// Tally aggregates the reports of one run.
type Tally struct {
	result    result.Result
	histogram *hdrhistogram.Histogram
	callIDs   map[string]bool
	bounds    map[string]executionBound
}

// executionBound limits how often a request may have been executed, given the answers to its attempts.
type executionBound struct {
	// max is the largest number of executions; a negative value means no limit.
	max int
	// notRun is set if the answer to every attempt stated "not run".
	notRun bool
}

// New returns an empty tally.
func New(seed uint64) *Tally {
	return &Tally{
		result: result.Result{
			Seed: seed, Refusals: map[string]int{}, Outcomes: map[string]int{}, Errors: map[string]int{},
			Accounts: map[string]count.Count{}, Kinds: map[string]count.Count{}, Priorities: map[string]count.Count{},
		},
		histogram: hdrhistogram.New(1, int64(maxLatency/minLatency), significantDigits),
		callIDs:   map[string]bool{},
		bounds:    map[string]executionBound{},
	}
}

// Add adds the report of one request.
func (tal *Tally) Add(rep report.Report) {
	for _, att := range rep.Attempts {
		tal.addAttempt(att)
	}
	tal.addResult(rep)
	tal.bounds[rep.Arrival.ID.String()] = boundExecutions(rep)
	if rep.FinalState == "whole" {
		_ = tal.histogram.RecordValue(int64(min(rep.Elapsed, maxLatency) / minLatency))
	}
}

func (tal *Tally) addAttempt(att attempt.Attempt) {
	tal.result.Attempts++
	if att.Refused() {
		tal.result.Refusals[string(att.Reason)]++
		tal.result.Outcomes[att.Outcome.String()]++
	}
	if att.Error != "" {
		tal.result.Errors[att.Error]++
	}
	if att.Mismatched {
		tal.result.Mismatched++
	}
	if !att.Complete || att.CallID == "" {
		return
	}
	if tal.callIDs[att.CallID] {
		tal.result.ReusedCallIDs++
	}
	tal.callIDs[att.CallID] = true
}

func (tal *Tally) addResult(rep report.Report) {
	tal.result.Total = add(tal.result.Total, rep)
	due := rep.Arrival
	tal.result.Accounts[due.Account.Name] = add(tal.result.Accounts[due.Account.Name], rep)
	tal.result.Kinds[due.Kind.Name] = add(tal.result.Kinds[due.Kind.Name], rep)
	if due.Kind.Priority != "" {
		tal.result.Priorities[due.Kind.Priority] = add(tal.result.Priorities[due.Kind.Priority], rep)
	}
}

func add(cou count.Count, rep report.Report) count.Count {
	cou.Offered++
	if rep.Arrival.WithinRate {
		cou.WithinRate++
	}
	switch rep.FinalState {
	case "whole":
		cou.Complete++
	case "refused":
		cou.Refused++
		if rep.Arrival.WithinRate {
			cou.WrongfulRefusals++
		}
	default:
		cou.Failed++
	}
	return cou
}

func boundExecutions(rep report.Report) executionBound {
	bou := executionBound{notRun: len(rep.Attempts) > 0}
	for _, att := range rep.Attempts {
		if !att.NotRun() {
			bou.max++
			bou.notRun = false
		}
	}
	switch kin := rep.Arrival.Kind; {
	case kin.Idempotent:
		bou.max = -1
	case kin.IdempotencyKey:
		bou.max = min(bou.max, 1)
	}
	return bou
}

// CheckExecutions compares how often each request ID was executed with what the answers to the request permit, and counts
// the violations. The arguments read and failed are the numbers of execution records that were and were not read.
func (tal *Tally) CheckExecutions(executions map[string]int, read, failed int) {
	tal.result.RecordsRead, tal.result.RecordsFailed = read, failed
	for id, ran := range executions {
		bou, known := tal.bounds[id]
		switch {
		case !known:
		case bou.notRun && ran > 0:
			tal.result.FalseNotRun++
		case bou.max >= 0 && ran > bou.max:
			tal.result.Duplicates++
		}
	}
}

// Result returns the measurements of a run that lasted for the elapsed time.
func (tal *Tally) Result(elapsed time.Duration) result.Result {
	res := tal.result
	res.Elapsed = elapsed
	if elapsed > 0 {
		res.Goodput = float64(res.Total.Complete) / elapsed.Seconds()
	}
	at := func(percentile float64) time.Duration {
		return time.Duration(tal.histogram.ValueAtPercentile(percentile)) * minLatency
	}
	res.Latency = latency.Latency{
		P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: time.Duration(tal.histogram.Max()) * minLatency,
	}
	return res
}
