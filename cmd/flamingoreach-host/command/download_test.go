package command

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/platform/standin"
)

// Guards against downloads that fail with their first lost answer although they may run again.
func TestADownloadWhoseAnswerIsLostRunsAgainElsewhere(t *testing.T) {
	const downloads = 30
	sto := standin.NewStore()
	text := standin.Configuration(1, benchmarkHost, "quotes", standin.Account{Name: "bank-a", Keys: []string{benchmarkKey}, Rate: 5000, Burst: 5000})
	sto.PutConfiguration(bytes.Replace(text, []byte(`"quotes","idempotent"`), []byte(`"quotes","download"`), 1))
	endpoint := httptest.NewServer(sto.NewEndpoint())
	t.Cleanup(endpoint.Close)
	store := netip.MustParseAddrPort(strings.TrimPrefix(endpoint.URL, "http://"))
	var runs atomic.Int64
	count := func(bac *standin.BackendServer) { bac.OnExecute = func(standin.Execution) { runs.Add(1) } }
	losing := startHost(t.Context(), t, store, "quotes", count)
	startHost(t.Context(), t, store, "quotes", count)
	entry := startHost(t.Context(), t, store, "confirms", func(*standin.BackendServer) {})
	cal := standin.NewCaller(entry.set.Callers)
	t.Cleanup(cal.Close)
	send := func(number int) standin.Reply {
		reply, _ := cal.Send(t.Context(), standin.Request{
			ID: fmt.Sprint("attempt-", number), Method: "GET", Host: benchmarkHost, Path: "/quotes/1", Key: benchmarkKey, Timeout: crashTimeout,
		})
		return reply
	}
	require.Eventually(t, func() bool { return send(-1).Signed }, startTime, 50*time.Millisecond)
	time.Sleep(settleTime)
	losing.backend.LoseAnswers(100)
	before := runs.Load()
	for number := range downloads {
		require.True(t, send(number).Signed, "download %d", number)
	}
	require.Greater(t, runs.Load()-before, int64(downloads), "some ran twice, as their first answer was lost")
}
