package decisionlog_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"flamingoreach/io/boundedwriter"
	"flamingoreach/io/decisionlog"
)

func TestTheRateIsLimitedAndTheNextLineCountsOmittedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		dec := decisionlog.New(log.NewWithOptions(&out, log.Options{Formatter: log.JSONFormatter}), 5)
		for range 1000 {
			dec.Write("request ended", "requestId", "a")
		}
		require.Equal(t, 10, strings.Count(out.String(), "\n"), "a burst is limited to the lines of two seconds")
		time.Sleep(time.Second)
		out.Reset()
		dec.Write("request ended")
		require.Contains(t, out.String(), `"omitted":990`)
	})
}

// BenchmarkWrite measures the cost to a request of a line that is written, and of one that is omitted.
func BenchmarkWrite(b *testing.B) {
	for name, rate := range map[string]float64{"written": 1e12, "omitted": 0} {
		b.Run(name, func(b *testing.B) {
			dec := decisionlog.New(log.NewWithOptions(boundedwriter.New(&bytes.Buffer{}, 1), log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true}), rate)
			b.ReportAllocs()
			for b.Loop() {
				dec.Write("request ended", "requestId", "8af4c3ee7f0d67f9", "route", "r", "service", "s", "account", "a", "attempts", 1, "elapsed", time.Second, "version", 4, "outcome", "ran")
			}
		})
	}
}
