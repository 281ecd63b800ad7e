package result

import (
	"time"

	"flamingoreach/io/load/count"
	"flamingoreach/io/load/latency"
)

// Result holds the measurements of one run; durations are in nanoseconds in JSON.
type Result struct {
	Seed    uint64        `json:"seed"`
	Elapsed time.Duration `json:"elapsed"`
	Total   count.Count   `json:"total"`
	// Goodput is in complete answers per second of the run.
	Goodput  float64 `json:"goodput"`
	Attempts int     `json:"attempts"`
	// Refusals and Outcomes count refused attempts by the reason and by the outcome that the refusal states.
	Refusals map[string]int `json:"refusals"`
	Outcomes map[string]int `json:"outcomes"`
	// Errors counts attempts by the kind of failure.
	Errors map[string]int `json:"errors"`
	// Mismatched counts answers with the ID, length or digest of another request; Errors includes them.
	Mismatched int `json:"mismatched"`
	// ReusedCallIDs counts answers whose call ID was already in an earlier answer.
	ReusedCallIDs int `json:"reusedCallIds"`
	// RecordsRead is the number of stand-in backend servers whose execution records were read. If RecordsFailed is above 0,
	// Duplicates and FalseNotRun may be too low.
	RecordsRead   int `json:"recordsRead"`
	RecordsFailed int `json:"recordsFailed"`
	// Duplicates counts requests that are not idempotent and were executed more often than their attempts explain.
	Duplicates int `json:"duplicates"`
	// FalseNotRun counts requests that were executed although the answer to each attempt stated "not run".
	FalseNotRun int                    `json:"falseNotRun"`
	Accounts    map[string]count.Count `json:"accounts"`
	Kinds       map[string]count.Count `json:"kinds"`
	Priorities  map[string]count.Count `json:"priorities"`
	Latency     latency.Latency        `json:"latency"`
}

// WorstServed returns the account with the smallest fraction of complete answers, and that fraction.
func (res Result) WorstServed() (string, float64) {
	worst, share := "", 1.0
	for name, cou := range res.Accounts {
		if served := cou.Served(); worst == "" || served < share || served == share && name < worst {
			worst, share = name, served
		}
	}
	return worst, share
}

// HasViolations reports whether the run observed an answer or an execution that the system guarantees not to happen.
func (res Result) HasViolations() bool {
	return res.Mismatched+res.ReusedCallIDs+res.Duplicates+res.FalseNotRun > 0
}
