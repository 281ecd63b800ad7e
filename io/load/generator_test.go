package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/io/echo"
	"flamingoreach/io/load/account"
	"flamingoreach/io/load/arrival"
	"flamingoreach/io/load/attempt"
	"flamingoreach/io/load/kind"
	"flamingoreach/io/load/plan"
	"flamingoreach/io/load/result"
	"flamingoreach/io/load/retrypolicy"
	"flamingoreach/io/message"
	"flamingoreach/io/standinbackendserver"
	"flamingoreach/io/standinbackendserver/behaviour"
)

func newPlan(target string, kin kind.Kind) plan.Plan {
	kin.Weight = 1
	return plan.Plan{
		Seed: 3, Targets: []netip.AddrPort{netip.MustParseAddrPort(target)}, Requests: 50, Duration: time.Second,
		Connections: 8, Deadline: time.Minute, Retry: retrypolicy.RetryPolicy{Attempts: 1},
		Accounts: []account.Account{{Name: "bank-a", Key: "a-key-of-the-bank", Rate: 1000}}, Kinds: []kind.Kind{kin},
	}
}

// runFake runs a plan without sockets, in a synctest bubble.
func runFake(t *testing.T, pla plan.Plan, send func(ctx context.Context, due arrival.Arrival, number int) attempt.Attempt) result.Result {
	t.Helper()
	gen, err := New(pla)
	require.NoError(t, err)
	gen.thread.Locked = false
	gen.Send = send
	res, err := gen.Run(t.Context())
	require.NoError(t, err)
	return res
}

func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		pla := newPlan("127.0.0.1:1", kind.Kind{Path: "/"})
		res := runFake(t, pla, func(_ context.Context, due arrival.Arrival, _ int) attempt.Attempt {
			require.Equal(t, due.Offset, time.Since(start))
			time.Sleep(10 * time.Second)
			return attempt.Attempt{Complete: true}
		})
		require.Equal(t, 50, res.Total.Complete)
		require.Less(t, res.Elapsed, 11*time.Second)
		require.InEpsilon(t, 10*time.Second, res.Latency.P50, 0.001)
	})
}

func TestEnoughEndsTheSendingBeforeThePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pla := newPlan("127.0.0.1:1", kind.Kind{Path: "/"})
		pla.Requests, pla.Duration = 1_000_000, time.Hour
		gen, err := New(pla)
		require.NoError(t, err)
		gen.thread.Locked = false
		gen.Send = func(context.Context, arrival.Arrival, int) attempt.Attempt {
			time.Sleep(time.Second)
			return attempt.Attempt{Complete: true}
		}
		gen.ReadExecutions = func(context.Context) (map[string]int, int, int) { return nil, 0, 0 }
		enough := make(chan struct{})
		gen.Enough = enough
		go func() { time.Sleep(10 * time.Second); close(enough) }()
		res, err := gen.Run(t.Context())
		require.NoError(t, err)
		require.Equal(t, 11*time.Second, res.Elapsed.Round(time.Second), "the requests under way end")
		require.Positive(t, res.Total.Complete)
	})
}

func TestRetryPolicyDecidesRetryAndWait(t *testing.T) {
	refused := attempt.Attempt{Status: 503, Reason: reason.QueueFull, Outcome: outcome.NotRun, RetryAfter: 3 * time.Second}
	unknown := attempt.Attempt{Status: 502, Reason: reason.PeerUnreachable, Outcome: outcome.Unknown}
	withdrawn := attempt.Attempt{Status: 401, Reason: reason.KeyWithdrawn, Outcome: outcome.NotRun}
	for name, tc := range map[string]struct {
		unconditional bool
		first         attempt.Attempt
		attempts      int
		took          time.Duration
	}{
		"default, not run":          {false, refused, 2, 3 * time.Second},
		"default, unknown":          {false, unknown, 1, 0},
		"default, key withdrawn":    {false, withdrawn, 1, 0},
		"default, connection ends":  {false, attempt.Attempt{Status: 408, Reason: reason.Draining, Outcome: outcome.NotRun}, 2, time.Second},
		"default, not sent":         {false, attempt.Attempt{Error: errorRefused, Unsent: true}, 2, time.Second},
		"default, connection reset": {false, attempt.Attempt{Error: errorReset}, 1, 0},
		"unconditional, not run":    {true, refused, 2, time.Second},
		"unconditional, unknown":    {true, unknown, 2, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pla := newPlan("127.0.0.1:1", kind.Kind{Path: "/"})
				pla.Requests = 1
				pla.Retry = retrypolicy.RetryPolicy{Attempts: 2, Backoff: time.Second, Unconditional: tc.unconditional}
				var first time.Time
				var took time.Duration
				res := runFake(t, pla, func(_ context.Context, _ arrival.Arrival, number int) attempt.Attempt {
					if number == 1 {
						first = time.Now()
						return tc.first
					}
					took = time.Since(first)
					return attempt.Attempt{Complete: true}
				})
				require.Equal(t, tc.attempts, res.Attempts)
				require.Equal(t, tc.took, took)
			})
		})
	}
}

func TestWaitingRequestEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pla := newPlan("127.0.0.1:1", kind.Kind{Path: "/"})
		pla.Requests, pla.Deadline = 1, time.Second
		pla.Retry = retrypolicy.RetryPolicy{Attempts: 9, Backoff: time.Hour}
		res := runFake(t, pla, func(context.Context, arrival.Arrival, int) attempt.Attempt {
			return attempt.Attempt{Status: 503, Reason: reason.Shed, Outcome: outcome.NotRun}
		})
		require.Equal(t, 1, res.Total.Refused)
		require.Less(t, res.Elapsed, 2*time.Second)
	})
}

func run(t *testing.T, pla plan.Plan) result.Result {
	t.Helper()
	gen, err := New(pla)
	require.NoError(t, err)
	res, err := gen.Run(t.Context())
	require.NoError(t, err)
	return res
}

func TestStandinAnswersAreCompleteAndRunOnce(t *testing.T) {
	bas, err := standinbackendserver.New("quotes", behaviour.Behaviour{Slots: 64, QueueLength: 64})
	require.NoError(t, err)
	require.NoError(t, bas.Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0")))
	t.Cleanup(func() { require.NoError(t, bas.Close(context.Background())) })
	pla := newPlan(bas.Address().String(), kind.Kind{Name: "confirm", Priority: "high", Method: http.MethodPost, Path: "/confirms", BodyBytes: 300})
	pla.Records = []netip.AddrPort{bas.Address()}
	res := run(t, pla)
	require.Equal(t, 50, res.Total.Complete)
	require.Equal(t, 50, res.Priorities["high"].Complete)
	require.Equal(t, 1, res.RecordsRead)
	require.False(t, res.HasViolations())
	require.Equal(t, 50, bas.Record().Executed)

	res = run(t, pla)
	require.False(t, res.HasViolations(), "a second run with the same seed sends other requests")

	pla.Kinds[0].Path = "/confirms?truncate=1"
	res = run(t, pla)
	require.Equal(t, map[string]int{errorTruncated: 50}, res.Errors)
}

func TestMismatchedAnswersAreViolationsAndRefusalsAreCounted(t *testing.T) {
	var mutex sync.Mutex
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		body, _ := io.ReadAll(htr.Body)
		mutex.Lock()
		requests++
		odd := requests%2 == 1
		mutex.Unlock()
		if odd {
			wri.Header().Set(message.Reason, string(reason.QueueFull))
			wri.Header().Set(message.Outcome, outcome.NotRun.String())
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		text, _ := json.Marshal(echo.Echo{RequestID: "of another", Digest: echo.Digest(body), Length: len(body)})
		_, _ = wri.Write(text)
	}))
	defer server.Close()
	res := run(t, newPlan(server.Listener.Addr().String(), kind.Kind{Method: http.MethodPost, Path: "/", BodyBytes: 40}))
	require.Equal(t, 25, res.Mismatched)
	require.Equal(t, map[string]int{"queueFull": 25}, res.Refusals)
	require.Equal(t, map[string]int{"notRun": 25}, res.Outcomes)
	require.True(t, res.HasViolations())
}

func TestRequestSendsItsKeyInOneHeaderOnly(t *testing.T) {
	due := arrival.Arrival{Account: account.Account{Key: "secret-of-a"}, Kind: kind.Kind{Method: http.MethodPost, Path: "/x", BodyBytes: 64}}
	htr, err := newRequest(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), due, newBody(due))
	require.NoError(t, err)
	require.Equal(t, "Bearer secret-of-a", htr.Header.Get(message.Authorization))
	htr.Header.Del(message.Authorization)
	body, err := io.ReadAll(htr.Body)
	require.NoError(t, err)
	require.NotContains(t, fmt.Sprint(htr.Header, htr.URL, string(body)), "secret-of-a")
	require.Nil(t, htr.GetBody)
}
