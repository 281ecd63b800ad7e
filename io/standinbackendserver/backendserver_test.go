package standinbackendserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/announcement"
	"flamingoreach/core/outcome"
	"flamingoreach/io/backendserver"
	"flamingoreach/io/echo"
	"flamingoreach/io/message"
	"flamingoreach/io/standinbackendserver/behaviour"
)

func newServer(t *testing.T, beh behaviour.Behaviour) *BackendServer {
	t.Helper()
	bas, err := New("quotes", beh)
	require.NoError(t, err)
	bas.startLifecycle()
	return bas
}

func request(ctx context.Context, deadline time.Duration) *http.Request {
	htr := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", strings.NewReader("body"))
	htr.Header.Set(message.CallID, "call")
	if deadline > 0 {
		htr.Header.Set(message.Deadline, time.Now().Add(deadline).Format(time.RFC3339Nano))
	}
	return htr
}

// serve passes a request to the handler in a new goroutine.
func serve(bas *BackendServer, htr *http.Request) <-chan *httptest.ResponseRecorder {
	done := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		rec := httptest.NewRecorder()
		bas.Handler().ServeHTTP(rec, htr)
		done <- rec
	}()
	return done
}

func TestFullQueueShedsRequestsAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bas := newServer(t, behaviour.Behaviour{Slots: 1, QueueLength: 1, ServiceTime: time.Second})
		first := serve(bas, request(t.Context(), 0))
		synctest.Wait()
		second := serve(bas, request(t.Context(), 0))
		synctest.Wait()
		third := <-serve(bas, request(t.Context(), 0))
		require.Equal(t, http.StatusServiceUnavailable, third.Code)
		require.Equal(t, outcome.NotRun.String(), third.Header().Get(message.Outcome))
		require.Equal(t, http.StatusOK, (<-first).Code)
		require.Equal(t, http.StatusOK, (<-second).Code)
		rec := bas.Record()
		require.Equal(t, 1, rec.Shed)
		require.Equal(t, map[string]int{"call": 2}, rec.Executions)
	})
}

func TestCancelledRequestStopsAndFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bas := newServer(t, behaviour.Behaviour{Slots: 1, ServiceTime: time.Hour})
		ctx, cancel := context.WithCancel(t.Context())
		done := serve(bas, request(ctx, 0))
		synctest.Wait()
		begin := time.Now()
		cancel()
		<-done
		require.Zero(t, time.Since(begin))
		require.Equal(t, 1, bas.Record().Cancelled)
		require.Empty(t, bas.slots)
	})
}

func TestExpiryIsReportedAsNotRunOnlyWithoutSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bas := newServer(t, behaviour.Behaviour{Slots: 1, QueueLength: 1, ServiceTime: time.Hour})
		begin := time.Now()
		running := serve(bas, request(t.Context(), time.Minute))
		synctest.Wait()
		queued := <-serve(bas, request(t.Context(), time.Second))
		require.Equal(t, outcome.NotRun.String(), queued.Header().Get(message.Outcome))
		ran := <-running
		require.Equal(t, time.Minute, time.Since(begin))
		require.Equal(t, http.StatusGatewayTimeout, ran.Code)
		require.Empty(t, ran.Header().Get(message.Outcome))
		require.Equal(t, 2, bas.Record().DeadlineExceeded)
	})
}

func TestColdStartTakesLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bas := newServer(t, behaviour.Behaviour{Slots: 1, ServiceTime: time.Second, ColdTime: time.Minute, ColdFactor: 5})
		begin := time.Now()
		<-serve(bas, request(t.Context(), 0))
		require.Equal(t, 5*time.Second, time.Since(begin))
		time.Sleep(time.Minute)
		bas.lifecycle.tick()
		begin = time.Now()
		<-serve(bas, request(t.Context(), 0))
		require.Equal(t, time.Second, time.Since(begin))
	})
}

func TestEndpointsReportDelayedAndFalseLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bas := newServer(t, behaviour.Behaviour{Slots: 1, ServiceTime: time.Hour, ReportLag: 10 * time.Second})
		serve(bas, request(t.Context(), time.Minute))
		synctest.Wait()
		ask := func() loadAnswer {
			bas.lifecycle.tick()
			rec := httptest.NewRecorder()
			bas.Handler().ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/load", nil))
			var answer loadAnswer
			require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &answer))
			return answer
		}
		require.Zero(t, ask().Load)
		time.Sleep(10 * time.Second)
		require.InDelta(t, 1, ask().Load, 0)
		beh, falseLoad := bas.Behaviour(), 0.25
		beh.FalseLoad = &falseLoad
		require.NoError(t, bas.SetBehaviour(beh))
		require.InDelta(t, falseLoad, ask().Load, 0)
		time.Sleep(time.Minute)
	})
}

// fakeNode replaces the loopback listener of a node: it records the announced states and the last header received.
type fakeNode struct {
	mutex  sync.Mutex
	states []string
	header http.Header
}

func (nod *fakeNode) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	nod.mutex.Lock()
	defer nod.mutex.Unlock()
	if htr.URL.Path != backendserver.AnnouncePath {
		nod.header = htr.Header.Clone()
		wri.WriteHeader(http.StatusOK)
		return
	}
	var ann announcement.Announcement
	if json.NewDecoder(htr.Body).Decode(&ann) == nil {
		nod.states = append(nod.states, ann.State)
	}
	wri.WriteHeader(http.StatusNoContent)
}

func startServer(t *testing.T, beh behaviour.Behaviour) (*BackendServer, *fakeNode) {
	t.Helper()
	nod := &fakeNode{}
	server := httptest.NewServer(nod)
	t.Cleanup(server.Close)
	bas, err := New("quotes", beh)
	require.NoError(t, err)
	bas.NodeAddress = netip.MustParseAddrPort(server.Listener.Addr().String())
	require.NoError(t, bas.Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0")))
	t.Cleanup(func() { require.NoError(t, bas.Close(context.Background())) })
	return bas, nod
}

func get(t *testing.T, bas *BackendServer, target string) (int, []byte, error) {
	t.Helper()
	htr, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+bas.Address().String()+target, nil)
	require.NoError(t, err)
	htr.Header.Set(message.CallHandle, "handle")
	htr.Header.Set("Authorization", "Bearer secret")
	htr.Header.Set(echo.RequestIDHeader, "mine")
	res, err := http.DefaultClient.Do(htr)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, body, err
}

func TestCloseWithdrawsAnnouncementAndFinishesRunningRequests(t *testing.T) {
	bas, nod := startServer(t, behaviour.Behaviour{Slots: 1, ServiceTime: 100 * time.Millisecond})
	status := make(chan int, 1)
	go func() {
		code, _, _ := get(t, bas, "/")
		status <- code
	}()
	require.Eventually(t, func() bool { return bas.Record().Executed == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, bas.Close(t.Context()))
	require.Equal(t, http.StatusOK, <-status)
	require.Equal(t, "stopped", bas.Record().State)
	nod.mutex.Lock()
	defer nod.mutex.Unlock()
	require.Equal(t, announcedDraining, nod.states[len(nod.states)-1])
}

func TestDeeperCallSendsOnlyTheCallHandle(t *testing.T) {
	bas, nod := startServer(t, behaviour.Behaviour{Slots: 2})
	status, body, err := get(t, bas, "/a?deeper=/b%3Fdeeper%3D/c&deeper=/d")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	var ech echo.Echo
	require.NoError(t, json.Unmarshal(body, &ech))
	require.Equal(t, []int{200, 200}, ech.Deeper)
	require.Equal(t, "mine", ech.RequestID)
	nod.mutex.Lock()
	defer nod.mutex.Unlock()
	require.Equal(t, "handle", nod.header.Get(message.CallHandle))
	require.Empty(t, nod.header.Get("Authorization"))
	require.Contains(t, bas.Record().Texts, "Authorization: Bearer secret")
}

func TestTruncatedAnswerAndCrashBreakTheConnection(t *testing.T) {
	bas, _ := startServer(t, behaviour.Behaviour{Slots: 1})
	var crashes atomic.Int64
	bas.Crash = func() { crashes.Add(1) }
	_, _, err := get(t, bas, "/?truncate=1")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, _, err = get(t, bas, "/?crash=1")
	require.Error(t, err)
	require.EqualValues(t, 1, crashes.Load())
	require.Eventually(t, func() bool { return len(bas.slots) == 0 }, 10*time.Second, time.Millisecond)
}

func TestDeeperTargetOutsideTheNodeIsRejected(t *testing.T) {
	bas, _ := startServer(t, behaviour.Behaviour{Slots: 1})
	status, _, err := get(t, bas, "/?deeper=@example.org/")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, status)
}
