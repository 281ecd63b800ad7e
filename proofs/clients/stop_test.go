package clients_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// rowLength is the number of requests that a node runs at the same time for one connection.
	rowLength = 8
	// secondSignal is the time between two signals to the same process.
	secondSignal = 200 * time.Millisecond
	stopTimeout  = 10 * time.Second
)

// Guards against a SIGTERM, or one more during the stop, that drops the answers to pipelined requests that backend servers
// run, at the node that took them, at the node of a backend server or at both.
func TestAStopAnswersThePipelinedRequestsThatBackendServersRun(t *testing.T) {
	for name, stopped := range map[string][]int{"node of the caller": {0}, "node of the backend server": {1}, "both": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			fle := startFleet(t, smallest)
			cli, err := dial(t.Context(), fle.hosts[0])
			require.NoError(t, err)
			defer func() { _ = cli.Close() }()
			var row strings.Builder
			for number := range rowLength {
				service := fle.hosts[number%len(fle.hosts)].backend.Service
				row.WriteString(head(http.MethodGet, fmt.Sprintf("/%s/?bytes=%d&wait=%dms", service, 1000+number, 400-20*number), 0))
			}
			executed := func() int64 { return fle.hosts[0].backend.executed.Load() + fle.hosts[1].backend.executed.Load() }
			before := executed()
			_, err = cli.Write([]byte(row.String()))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return executed() == before+rowLength }, startTimeout, time.Millisecond)
			for _, number := range stopped {
				fle.hosts[number].Signal(syscall.SIGTERM)
			}
			time.Sleep(secondSignal)
			for _, number := range stopped {
				fle.hosts[number].Signal(syscall.SIGTERM)
			}
			for number := range rowLength {
				length, err := cli.receive()
				require.NoError(t, err, "answer %d", number)
				require.Equal(t, int64(1000+number), length, "answers are in the order of the requests")
			}
			for _, number := range stopped {
				select {
				case <-fle.hosts[number].Ended():
				case <-time.After(stopTimeout):
					t.Fatal("the process has not ended")
				}
			}
		})
	}
}
