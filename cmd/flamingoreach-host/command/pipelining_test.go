package command

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/platform/standin"
)

// Guards against pipelined requests that reach the backend servers one after another, and against requests of other
// routes that reach them ahead of their turn.
func TestPipelinedRequestsOfIdempotentRoutesReachTheBackendServerTogether(t *testing.T) {
	const requests = 4
	var mut sync.Mutex
	var runs []string
	all := make(chan struct{})
	sto := standin.NewStore()
	sto.PutConfiguration(standin.Configuration(1, benchmarkHost, "quotes", standin.Account{Name: "bank-a", Keys: []string{benchmarkKey}, Rate: 5000, Burst: 5000}))
	endpoint := httptest.NewServer(sto.NewEndpoint())
	t.Cleanup(endpoint.Close)
	store := netip.MustParseAddrPort(strings.TrimPrefix(endpoint.URL, "http://"))
	hos := startHost(t.Context(), t, store, "quotes", func(bac *standin.BackendServer) {
		bac.OnExecute = func(exe standin.Execution) {
			if !strings.HasPrefix(exe.Path, "/quotes/together") {
				return
			}
			mut.Lock()
			if runs = append(runs, exe.ID); len(runs) == requests {
				close(all)
			}
			mut.Unlock()
			select {
			case <-all:
			case <-time.After(time.Second):
			}
		}
	})
	startHost(t.Context(), t, store, "confirms", func(*standin.BackendServer) {})
	head := func(method, path, id string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer %s\r\n\r\n",
			method, path, benchmarkHost, id, benchmarkKey)
	}
	// ask sends requests at once and returns the statuses and IDs of the answers.
	ask := func(heads ...string) (statuses []int, ids []string) {
		con, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", hos.set.Callers.String())
		if err != nil {
			return nil, nil
		}
		defer func() { _ = con.Close() }()
		_, err = io.WriteString(con, strings.Join(heads, ""))
		require.NoError(t, err)
		reader := bufio.NewReader(con)
		for range heads {
			res, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			text, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			require.NoError(t, res.Body.Close())
			statuses, ids = append(statuses, res.StatusCode), append(ids, res.Header.Get("Attempt-Id")+string(text))
		}
		return statuses, ids
	}
	warm := func(path string) func() bool {
		return func() bool {
			statuses, _ := ask(head("GET", path, "warm-up"))
			return len(statuses) == 1 && statuses[0] == http.StatusOK
		}
	}
	require.Eventually(t, warm("/quotes/warm-up"), startTime, 50*time.Millisecond)
	require.Eventually(t, warm("/confirms/warm-up"), startTime, 50*time.Millisecond)
	var heads []string
	for number := range requests {
		heads = append(heads, head("GET", fmt.Sprint("/quotes/together/", number), fmt.Sprint("attempt-", number)))
	}
	statuses, ids := ask(heads...)
	select {
	case <-all:
	default:
		t.Fatal("the requests did not run at the same time")
	}
	for number := range requests {
		require.Equal(t, http.StatusOK, statuses[number])
		require.Contains(t, ids[number], fmt.Sprint("attempt-", number))
	}
	before := metric(t, hos, "flamingoreach_pipeline_requests_ahead")
	require.Equal(t, requests-1, before)
	statuses, _ = ask(head("GET", "/confirms/1", "c1"), head("GET", "/confirms/2", "c2"), head("POST", "/quotes/1", "p1"), head("GET", "/unknown/", "u1"))
	require.Equal(t, []int{http.StatusOK, http.StatusOK, http.StatusOK, http.StatusNotFound}, statuses)
	require.Equal(t, before, metric(t, hos, "flamingoreach_pipeline_requests_ahead"))
}

// metric returns the value of a metric of a host.
func metric(t *testing.T, hos *host, name string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+hos.set.Metrics.String()+"/metrics", http.NoBody)
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	text, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	for line := range strings.Lines(string(text)) {
		var value int
		if count, _ := fmt.Sscanf(line, name+" %d", &value); count == 1 {
			return value
		}
	}
	t.Fatalf("there is no metric %s", name)
	return 0
}
