package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/io/message"
	"flamingoreach/io/peer"
	"flamingoreach/io/room"
)

const testTime = 5 * time.Second

// serve starts a server that answers calls with the given function until the test ends.
func serve(t *testing.T, run func(ctx context.Context, cal call.Call, msg message.Message) (answer.Answer, message.Message)) (*httptest.Server, netip.AddrPort) {
	t.Helper()
	ser := peer.NewServer()
	ser.RunCall = run
	server := httptest.NewUnstartedServer(ser.Handler())
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func newCall() call.Call {
	return call.Call{ID: uuid.New(), Deadline: time.Now().Add(testTime)}
}

func echo(_ context.Context, cal call.Call, msg message.Message) (answer.Answer, message.Message) {
	return answer.Answer{CallID: cal.ID}, message.Message{Status: http.StatusOK, Body: msg.Body}
}

func requireOutcome(t *testing.T, expected outcome.Outcome, err error) {
	t.Helper()
	var ref *refusal.Refusal
	require.ErrorAs(t, err, &ref)
	require.Equal(t, reason.PeerUnreachable, ref.Reason)
	require.Equal(t, expected, ref.Outcome)
}

func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	_, address := serve(t, echo)
	cli := peer.NewPooledClient(nil)
	defer cli.Close()
	var calls sync.WaitGroup
	for number := range 32 {
		calls.Go(func() {
			body := strings.Repeat(string(rune('a'+number%26)), 1+number*4096)
			for range 8 {
				cal := newCall()
				ans, reply, err := cli.Run(t.Context(), address, cal, 1, message.Message{Method: http.MethodPost, Body: []byte(body)})
				if err != nil || ans.CallID != cal.ID || string(reply.Body) != body {
					t.Error("the call failed or got the answer to another call", err)
				}
			}
		})
	}
	calls.Wait()
}

// Guards against a node that runs out of memory by the long calls that several other nodes send it at once.
func TestALongCallThatFindsNoRoomHasNotRun(t *testing.T) {
	const long = 1 << 20
	block := make(chan struct{})
	started := make(chan struct{}, 1)
	ser := peer.NewServer()
	ser.Bodies = room.New(long * 3 / 2)
	ser.RunCall = func(ctx context.Context, cal call.Call, msg message.Message) (answer.Answer, message.Message) {
		if len(msg.Body) == long {
			started <- struct{}{}
			<-block
		}
		return echo(ctx, cal, msg)
	}
	server := httptest.NewServer(ser.Handler())
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	cli := peer.NewPooledClient(nil)
	defer cli.Close()
	run := func(length int) (message.Message, error) {
		_, reply, err := cli.Run(t.Context(), address, newCall(), 1, message.Message{Method: http.MethodPost, Body: make([]byte, length)})
		return reply, err
	}
	first := make(chan error, 1)
	go func() {
		_, err := run(long)
		first <- err
	}()
	<-started
	_, err := run(long)
	var ref *refusal.Refusal
	require.ErrorAs(t, err, &ref)
	require.Equal(t, reason.BodiesFull, ref.Reason)
	require.Equal(t, outcome.NotRun, ref.Outcome)
	require.True(t, ref.Elsewhere)
	reply, err := run(1)
	require.NoError(t, err, "a short call needs no room")
	require.Len(t, reply.Body, 1)
	close(block)
	require.NoError(t, <-first)
	require.Eventually(t, func() bool { return ser.Bodies.Used() == 0 }, testTime, time.Millisecond)
}

func TestOnlyACallThatWasNeverSentHasOutcomeNotRun(t *testing.T) {
	for name, cli := range map[string]*peer.Client{"pooled": peer.NewPooledClient(nil), "HTTP/2": peer.NewClient(nil)} {
		t.Run(name, func(t *testing.T) {
			_, _, err := cli.Run(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), newCall(), 1, message.Message{})
			requireOutcome(t, outcome.NotRun, err)
			server, address := serve(t, echo)
			server.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
			_, _, err = cli.Run(t.Context(), address, newCall(), 1, message.Message{})
			requireOutcome(t, outcome.Unknown, err)
			cli.Close()
		})
	}
}

// Guards against a gate that cannot check the regions of a call, or takes a call without a restriction for one.
func TestACallCarriesItsRegions(t *testing.T) {
	received := make(chan []string, 1)
	_, address := serve(t, func(ctx context.Context, cal call.Call, msg message.Message) (answer.Answer, message.Message) {
		received <- cal.Regions
		return echo(ctx, cal, msg)
	})
	cli := peer.NewPooledClient(nil)
	defer cli.Close()
	for _, regions := range [][]string{nil, {"r"}, {"r", "s"}} {
		cal := newCall()
		cal.Regions = regions
		_, _, err := cli.Run(t.Context(), address, cal, 1, message.Message{})
		require.NoError(t, err)
		require.Equal(t, regions, <-received)
	}
}

func TestACallThatCrossesTheEndOfItsConnectionHasOutcomeNotRun(t *testing.T) {
	server, address := serve(t, echo)
	server.Config.Handler = http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) { wri.WriteHeader(http.StatusRequestTimeout) })
	cli := peer.NewPooledClient(nil)
	defer cli.Close()
	_, _, err := cli.Run(t.Context(), address, newCall(), 1, message.Message{})
	requireOutcome(t, outcome.NotRun, err)
}

func TestACancelledCallIsCancelledAtItsGate(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	_, address := serve(t, func(ctx context.Context, cal call.Call, _ message.Message) (answer.Answer, message.Message) {
		close(began)
		<-ctx.Done()
		close(ended)
		return answer.Answer{CallID: cal.ID}, message.Message{}
	})
	cli := peer.NewPooledClient(nil)
	defer cli.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-began; cancel() }()
	_, _, err := cli.Run(ctx, address, newCall(), 1, message.Message{})
	requireOutcome(t, outcome.Unknown, err)
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the call was not cancelled at the gate after its caller had cancelled it")
	}
}

func TestAConnectionThatTheOtherNodeClosedIsNotUsed(t *testing.T) {
	server, address := serve(t, echo)
	cli := peer.NewPooledClient(nil)
	defer cli.Close()
	for range 20 {
		_, _, err := cli.Run(t.Context(), address, newCall(), 1, message.Message{})
		require.NoError(t, err)
		server.CloseClientConnections()
		time.Sleep(5 * time.Millisecond)
	}
}

func TestIdleConnectionsUseNoClientGoroutines(t *testing.T) {
	before := runtime.NumGoroutine()
	release := make(chan struct{})
	_, address := serve(t, func(_ context.Context, cal call.Call, _ message.Message) (answer.Answer, message.Message) {
		<-release
		return answer.Answer{CallID: cal.ID}, message.Message{Status: http.StatusOK}
	})
	cli := peer.NewPooledClient(nil)
	defer cli.Close()
	const concurrent = 4
	var calls sync.WaitGroup
	for range concurrent {
		calls.Go(func() {
			if _, _, err := cli.Run(t.Context(), address, newCall(), 1, message.Message{}); err != nil {
				t.Error(err)
			}
		})
	}
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	calls.Wait()
	// One goroutine accepts, and one serves each connection.
	for until := time.Now().Add(testTime); runtime.NumGoroutine() > before+1+concurrent && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	require.LessOrEqual(t, runtime.NumGoroutine(), before+1+concurrent)
}
