package report

import (
	"time"

	"flamingoreach/io/load/arrival"
	"flamingoreach/io/load/attempt"
)

// Report describes one finished request.
type Report struct {
	Arrival  arrival.Arrival
	Attempts []attempt.Attempt
	// FinalState is a final state of the chart loadRequest.
	FinalState string
	// Elapsed is the time from the scheduled start to the final state.
	Elapsed time.Duration
}
