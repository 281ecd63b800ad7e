package latency

import "time"

// Latency is the time from the scheduled start of a request to its complete answer, including the waits for retries.
type Latency struct {
	P50  time.Duration `json:"p50"`
	P90  time.Duration `json:"p90"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p999"`
	Max  time.Duration `json:"max"`
}
