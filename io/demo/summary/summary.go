package summary

import (
	"time"

	"flamingoreach/core/reason"
	"flamingoreach/io/load/result"
)

// Summary is the result of the demonstration; durations are in nanoseconds in JSON.
type Summary struct {
	// Goodput is in complete answers per second of the load.
	Goodput float64 `json:"goodput"`
	// Recovery is the time from the end of the surge until nearly all requests got complete answers again.
	Recovery  time.Duration `json:"recovery"`
	Recovered bool          `json:"recovered"`
	// WorstServed is the account with the lowest ratio of complete answers to requests within its rate and burst;
	// WorstServedFraction is that ratio, at most 1.
	WorstServed         string  `json:"worstServed"`
	WorstServedFraction float64 `json:"worstServedShare"`
	// WrongfulRefusals counts by reason the refused requests that the rate and burst of their account cover; accounts that
	// offer more than their rate are left out.
	WrongfulRefusals map[reason.Reason]int `json:"wrongfulRefusals"`
	// WithinRate counts the requests of those accounts that their rate and burst cover.
	WithinRate int `json:"within"`
	// WithdrawnKeyUse is the time from the accepted withdrawal of the key to the last request that was sent with the key and
	// answered; 0 if there was none.
	WithdrawnKeyUse time.Duration `json:"keyWorked"`
	// Start is the time until the whole fleet was serving, Stop the time that the planned stop of the fleet took.
	Start time.Duration `json:"start"`
	Stop  time.Duration `json:"stop"`
	Load  result.Result `json:"load"`
	// Violations lists the guarantees that were violated.
	Violations []string `json:"broken"`
}
