package hostnode_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/localserver"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/core/request"
	"flamingoreach/io/hostnode"
	"flamingoreach/io/message"
)

func TestARequestCarriesItsContextToAnotherHost(t *testing.T) {
	hosts := startFleet(t, newStore(testConfiguration(1)), "quotes", "confirms")
	calls := make(chan call.Call, 1)
	hosts[1].setRun(func(_ context.Context, cal call.Call) (answer.Answer, message.Message) {
		calls <- cal
		return completeAnswer(cal), message.Message{Status: http.StatusOK, Body: []byte("booked")}
	})
	ans, reply := hosts[0].ask(t.Context(), "attempt-1", "/confirms/7", bearer)
	require.Nil(t, ans.Refusal)
	require.Equal(t, "booked", string(reply.Body))
	cal := <-calls
	require.Equal(t, "attempt-1", cal.RequestID)
	require.Equal(t, "bank-a", cal.Account)
	require.Equal(t, "quotes", cal.CallerService, "the service of the host at which the call began")
	require.LessOrEqual(t, time.Until(cal.Deadline), 2*time.Second)
}

func TestRequestsOutsideTheConfigurationAreRefusedAsNotRun(t *testing.T) {
	hosts := startFleet(t, newStore(testConfiguration(1)), "quotes", "confirms")
	for path, expected := range map[string]reason.Reason{"/none/1": reason.UnknownRoute, "/quotes": reason.UnknownRoute} {
		ans, _ := hosts[0].ask(t.Context(), "a", path, bearer)
		require.Equal(t, expected, ans.Refusal.Reason, path)
	}
	ans, _ := hosts[0].ask(t.Context(), "a", "/quotes/1", "Bearer another-key-0")
	require.Equal(t, reason.KeyUnknown, ans.Refusal.Reason)
	require.Equal(t, outcome.NotRun, ans.Refusal.Outcome)
	require.Zero(t, hosts[0].runs.Load())
}

func TestAVersionReachesAHostThatCannotReadTheStore(t *testing.T) {
	sto := newStore(testConfiguration(1))
	hosts := startFleet(t, sto, "quotes", "confirms", "quotes")
	hosts[2].storeUnreachable.Store(true)
	withoutKey := testConfiguration(4)
	withoutKey.Accounts[0].Keys = nil
	began := time.Now()
	sto.put(withoutKey)
	require.Eventually(t, func() bool {
		ans, _ := hosts[2].ask(t.Context(), "a", "/quotes/1", bearer)
		return ans.Refusal != nil && ans.Refusal.Reason == reason.KeyUnknown
	}, 2*time.Second, 20*time.Millisecond, "in force within the bound on configurations")
	t.Logf("in force after %s", time.Since(began))
	sto.put(testConfiguration(3))
	time.Sleep(time.Second)
	ans, _ := hosts[2].ask(t.Context(), "a", "/quotes/1", bearer)
	require.NotNil(t, ans.Refusal, "an older version is never applied")
}

// The load: a fleet whose calls to the store would grow with its hosts, as each change would wake each of them.
func TestAFewHostsFollowTheStoreForTheOthers(t *testing.T) {
	const size, followersAtOnce, inTime = 8, 3, time.Second
	services := slices.Repeat([]string{"quotes"}, size)
	sto := newStore(testConfiguration(1))
	hosts := startFleet(t, sto, services...)
	put := func(version uint64) (followed []*host) {
		before := map[*host]int64{}
		for _, hos := range hosts {
			before[hos] = hos.follows.Load()
		}
		sto.put(testConfiguration(version))
		began := time.Now()
		require.Eventually(t, func() bool {
			return !slices.ContainsFunc(hosts, func(hos *host) bool { return hos.View().Configuration.Version != version })
		}, inTime, 5*time.Millisecond, "version %d", version)
		t.Logf("version %d in force at all after %s", version, time.Since(began))
		time.Sleep(500 * time.Millisecond)
		for _, hos := range hosts {
			if hos.follows.Load() > before[hos] {
				followed = append(followed, hos)
			}
		}
		return followed
	}
	put(2)
	followed := put(3)
	require.Len(t, followed, followersAtOnce)

	// The store turns two of them away.
	for _, hos := range followed[1:] {
		hos.storeUnreachable.Store(true)
	}
	put(4)
	put(5)

	// The last one stops.
	followed[0].stop()
	require.NoError(t, <-followed[0].end)
	hosts = slices.DeleteFunc(hosts, func(hos *host) bool { return hos == followed[0] })
	put(6)
	require.NotEmpty(t, put(7), "another host follows")
}

// Guards against a withdrawn key that stays in use where the store turns away, or no longer answers, just the hosts of the
// only data centre that follow it for the others.
func TestAVersionReachesAllHostsAlthoughTheirFollowersLoseTheStore(t *testing.T) {
	const size, followersAtOnce = 8, 3
	// The bound on configurations, and the most by which a disturbance of the store stretches it.
	const inTime = 2*time.Second + 5*time.Second
	for name, loseStore := range map[string]func(hos *host){
		"turned away": func(hos *host) { hos.storeUnreachable.Store(true) },
		"no answer":   func(hos *host) { hos.storeSilent.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sto := newStore(testConfiguration(1))
			hosts := startFleet(t, sto, slices.Repeat([]string{"quotes"}, size)...)
			inForceAtAll := func(version uint64) bool {
				return !slices.ContainsFunc(hosts, func(hos *host) bool { return hos.View().Configuration.Version != version })
			}
			time.Sleep(time.Second)
			before := map[*host]int64{}
			for _, hos := range hosts {
				before[hos] = hos.follows.Load()
			}
			sto.put(testConfiguration(2))
			require.Eventually(t, func() bool { return inForceAtAll(2) }, time.Second, 5*time.Millisecond)
			time.Sleep(500 * time.Millisecond)
			followed := slices.DeleteFunc(slices.Clone(hosts), func(hos *host) bool { return hos.follows.Load() == before[hos] })
			require.Len(t, followed, followersAtOnce)
			for _, hos := range followed {
				loseStore(hos)
			}
			withoutKey := testConfiguration(3)
			withoutKey.Accounts[0].Keys = nil
			began := time.Now()
			sto.put(withoutKey)
			require.Eventually(t, func() bool { return inForceAtAll(3) }, inTime, 5*time.Millisecond)
			t.Logf("in force at all after %s", time.Since(began))
		})
	}
}

func TestAConfirmedDrainClosesTheGateAtOnce(t *testing.T) {
	hosts := startFleet(t, newStore(testConfiguration(1)), "quotes", "quotes")
	require.NoError(t, hosts[0].ReceiveAnnouncement(t.Context(), hosts[0].announcement(localserver.Draining, 2)))
	before := hosts[0].runs.Load()
	for index := range 20 {
		ans, reply := hosts[index%2].ask(t.Context(), fmt.Sprint(index), "/quotes/1", bearer)
		require.Nil(t, ans.Refusal)
		require.Equal(t, "h1 ", string(reply.Body))
	}
	require.Equal(t, before, hosts[0].runs.Load())
	require.NoError(t, hosts[0].ReceiveAnnouncement(t.Context(), hosts[0].announcement(localserver.Serving, 1)))
	_, reply := hosts[0].ask(t.Context(), "late", "/quotes/1", bearer)
	require.Equal(t, "h1 ", string(reply.Body), "a heartbeat that arrives out of order does not open the gate")
}

// Guards against a backend server that is used again after it has left: its node confirmed the drain or the deregistration
// and was restarted, and a heartbeat from before arrives late, as the first that the new process gets.
func TestALateHeartbeatAfterARestartDoesNotReopenTheGate(t *testing.T) {
	for name, leave := range map[string]func(hos *host) error{
		"drains": func(hos *host) error {
			return hos.ReceiveAnnouncement(context.Background(), hos.announcement(localserver.Draining, 3))
		},
		"deregisters": func(hos *host) error { return hos.DeregisterBackendServer(context.Background(), "h0", time.Time{}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sto := newStore(testConfiguration(1))
			hosts := startFleet(t, sto, "quotes", "quotes")
			require.NoError(t, leave(hosts[0]))
			hosts[0].stop()
			require.NoError(t, <-hosts[0].end)
			require.NoError(t, hosts[1].ReceiveAnnouncement(t.Context(), hosts[1].announcement(localserver.Serving, 2)))
			before := hosts[0].runs.Load()
			hosts[0].startNode(t, sto)
			require.Error(t, hosts[0].ReceiveAnnouncement(t.Context(), hosts[0].announcement(localserver.Serving, 2)), "it is not acknowledged")
			require.Eventually(t, hosts[0].AcceptsCalls, testTime, 10*time.Millisecond)
			for number := range 20 {
				hosts[number%2].ask(t.Context(), fmt.Sprint(number), "/quotes/1", bearer)
			}
			require.Equal(t, before, hosts[0].runs.Load(), "calls to a backend server that leaves")
		})
	}
}

func TestALeavingBackendServerStaysOutDespiteLaterAnnouncements(t *testing.T) {
	hosts := startFleet(t, newStore(testConfiguration(1)), "quotes", "quotes")
	require.NoError(t, hosts[0].DeregisterBackendServer(t.Context(), "h0", time.Time{}))
	require.NoError(t, hosts[0].ReceiveAnnouncement(t.Context(), hosts[0].announcement(localserver.Serving, 9)))
	_, reply := hosts[0].ask(t.Context(), "a", "/quotes/1", bearer)
	require.Equal(t, "h1 ", string(reply.Body))
	again := hosts[0].announcement(localserver.Serving, 1)
	again.Started = time.Unix(2, 0)
	require.NoError(t, hosts[0].ReceiveAnnouncement(t.Context(), again))
	require.Eventually(t, func() bool {
		_, reply := hosts[0].ask(t.Context(), "b", "/quotes/1", bearer)
		return string(reply.Body) == "h0 "
	}, testTime, 10*time.Millisecond, "a new process under the same ID serves")
}

func TestAStopWaitsForTheAnswersOfCallsThatBeganHere(t *testing.T) {
	hosts := startFleet(t, newStore(testConfiguration(1)), "quotes", "confirms")
	hosts[1].setRun(func(_ context.Context, cal call.Call) (answer.Answer, message.Message) {
		time.Sleep(1500 * time.Millisecond)
		return completeAnswer(cal), message.Message{Status: http.StatusOK, Body: []byte("booked")}
	})
	hosts[0].stop()
	require.Eventually(t, func() bool { return !hosts[0].AcceptsCalls() }, testTime, 10*time.Millisecond)
	time.Sleep(1900 * time.Millisecond)
	res, err := hosts[0].callOverHTTP(t.Context(), "/confirms/1")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res)
	require.NoError(t, <-hosts[0].end)
}

// Guards against requests that come late in a stop, are passed on and are cut at its end: a call at the gate keeps the
// listeners open until the deadline of the drain, and callers go on sending requests.
func TestRequestsThatComeLateInAStopAreAnsweredOrRefusedAsNotRun(t *testing.T) {
	requireNoneIsCutByAStop(t, "/confirms/")
}

// Guards against requests on open routes, which may be calls of the backend server, that a stop takes late and cuts
// because it does not compare their deadline with its end.
func TestRequestsWithoutAKeyThatComeLateInAStopAreNotCut(t *testing.T) {
	requireNoneIsCutByAStop(t, "/open/")
}

// requireNoneIsCutByAStop stops a host whose gate is in use until the end of the stop, and sends requests all the while,
// each of which another host takes longer to run than the end of the stop leaves the last ones.
func requireNoneIsCutByAStop(t *testing.T, prefix string) {
	t.Helper()
	const interval, serviceTime = 600 * time.Millisecond, 1500 * time.Millisecond
	cfg := testConfiguration(1)
	addOpenRoute(&cfg, cfg.Routes[1])
	hosts := startFleet(t, newStore(cfg), "quotes", "confirms")
	block := make(chan struct{})
	defer close(block)
	hosts[0].setRun(func(context.Context, call.Call) (answer.Answer, message.Message) {
		<-block
		return answer.Answer{}, message.Message{}
	})
	go hosts[1].ask(context.Background(), "long", "/quotes/1", bearer)
	require.Eventually(t, func() bool { return hosts[0].runs.Load() > 0 }, testTime, 10*time.Millisecond)
	hosts[1].setRun(func(_ context.Context, cal call.Call) (answer.Answer, message.Message) {
		time.Sleep(serviceTime)
		return completeAnswer(cal), message.Message{Status: http.StatusOK}
	})
	hosts[0].stop()
	type result struct {
		sent    time.Duration
		elapsed time.Duration
		status  int
		err     error
	}
	results := make(chan result)
	began, sent := time.Now(), 0
	ended := false
	for !ended {
		path := fmt.Sprint(prefix, sent)
		go func() {
			started := time.Now()
			status, err := hosts[0].callOverHTTP(context.Background(), path)
			results <- result{started.Sub(began), time.Since(started), status, err}
		}()
		sent++
		select {
		case err := <-hosts[0].end:
			require.NoError(t, err)
			ended = true
		case <-time.After(interval):
		}
	}
	served := 0
	for range sent {
		res := <-results
		switch {
		case res.err != nil:
			require.ErrorIs(t, res.err, syscall.ECONNREFUSED, "sent after %s, ended after %s", res.sent, res.elapsed)
		case res.status == http.StatusOK:
			served++
		default:
			require.Equal(t, http.StatusServiceUnavailable, res.status)
			require.Less(t, res.elapsed, serviceTime/2, "a refusal comes at once")
		}
	}
	require.GreaterOrEqual(t, served, int(2*time.Second/interval), "those that come early in the stop are served")
}

// Guards against requests that a stop takes early, that wait for a slot until its end and are then cut without an answer.
func TestARequestThatWaitsAtTheEndOfAStopIsAnswered(t *testing.T) {
	cfg := testConfiguration(1)
	for number := range cfg.Routes {
		cfg.Routes[number].Timeout, cfg.Routes[number].TargetLatency = 20*time.Second, 0
	}
	addOpenRoute(&cfg, cfg.Routes[1])
	hosts := startFleet(t, newStore(cfg), "quotes", "confirms")
	block := make(chan struct{})
	defer close(block)
	for _, hos := range hosts {
		hos.timeout = 20 * time.Second
		hos.setRun(func(ctx context.Context, cal call.Call) (answer.Answer, message.Message) {
			select {
			case <-block:
			case <-ctx.Done():
			}
			return answer.Answer{CallID: cal.ID, Refusal: refusal.Unknown(reason.Cancelled, "test")}, message.Message{}
		})
	}
	const requests = 12
	hosts[0].stop()
	errs := make(chan error, requests)
	for number := range requests {
		go func() {
			_, err := hosts[0].callOverHTTP(context.Background(), fmt.Sprint("/open/", number))
			errs <- err
		}()
	}
	for range requests {
		require.NoError(t, <-errs)
	}
	require.Less(t, hosts[1].runs.Load(), int64(requests), "some waited for a slot")
	require.NoError(t, <-hosts[0].end)
}

// Guards against hosts that start while the store is away, never find each other, and each take themselves for the only
// holder of an account's rate.
func TestHostsThatStartWithoutTheStoreFindEachOtherOnceItIsBack(t *testing.T) {
	const outage, inTime = 4 * time.Second, 8 * time.Second
	sto := newStore(testConfiguration(1))
	sto.rowsDown.Store(true)
	hosts := startHosts(t, sto, slices.Repeat([]string{"quotes"}, 4)...)
	time.Sleep(outage)
	require.True(t, hosts[0].AcceptsCalls())
	ans, _ := hosts[0].ask(t.Context(), "early", "/quotes/1", bearer)
	require.NotNil(t, ans.Refusal)
	require.Equal(t, reason.ShareUnavailable, ans.Refusal.Reason, "a host that cannot know whether it is alone admits no call of a limited account")
	require.Equal(t, outcome.NotRun, ans.Refusal.Outcome)
	sto.rowsDown.Store(false)
	number := uint64(1)
	require.Eventually(t, func() bool {
		number++
		known := true
		for _, hos := range hosts {
			require.NoError(t, hos.ReceiveAnnouncement(t.Context(), hos.announcement(localserver.Serving, number)))
			ans, _ := hos.ask(t.Context(), "late", "/quotes/1", bearer)
			known = known && ans.Refusal == nil && len(hos.View().Serving("quotes")) == len(hosts)
		}
		return known
	}, inTime, 200*time.Millisecond)
}

// Guards against calls far below their account's rate that are refused as beyond it in the first seconds of a node, and
// counts those that are refused for another reason.
func TestARestartedHostRefusesNoCallAsBeyondTheRate(t *testing.T) {
	const calls, interval = 40, 50 * time.Millisecond
	sto := newStore(testConfiguration(1))
	hosts := startFleet(t, sto, "quotes", "quotes", "confirms")
	hosts[2].stop()
	require.NoError(t, <-hosts[2].end)
	for _, hos := range hosts[:2] {
		require.NoError(t, hos.ReceiveAnnouncement(t.Context(), hos.announcement(localserver.Serving, 2)))
	}
	hosts[2].start(t, sto)
	require.Eventually(t, func() bool { return hosts[2].View().Configuration != nil }, testTime, time.Millisecond)
	refused := map[reason.Reason]int{}
	for number := range calls {
		ans, _ := hosts[2].ask(t.Context(), fmt.Sprint("attempt-", number), "/quotes/1", bearer)
		if ans.Refusal != nil {
			refused[ans.Refusal.Reason]++
		}
		time.Sleep(interval)
	}
	require.Empty(t, refused)
}

func TestAStopEndsInTime(t *testing.T) {
	hosts := startFleet(t, newStore(testConfiguration(1)), "quotes", "confirms")
	block := make(chan struct{})
	defer close(block)
	hosts[0].setRun(func(_ context.Context, cal call.Call) (answer.Answer, message.Message) {
		<-block
		return completeAnswer(cal), message.Message{Status: http.StatusOK}
	})
	go hosts[1].ask(context.Background(), "a", "/quotes/1", bearer)
	require.Eventually(t, func() bool { return hosts[0].runs.Load() > 0 }, testTime, 10*time.Millisecond)
	began := time.Now()
	hosts[0].stop()
	require.NoError(t, <-hosts[0].end)
	require.Less(t, time.Since(began), stopTime)
}

func TestOnlyIdempotentCallsAreRetried(t *testing.T) {
	hosts := startFleet(t, newStore(testConfiguration(1)), "quotes", "quotes", "confirms", "confirms")
	for _, hos := range hosts {
		hos.setRun(func(_ context.Context, cal call.Call) (answer.Answer, message.Message) {
			ans := completeAnswer(cal)
			ans.Refusal = refusal.Unknown(reason.AnswerTruncated, "test")
			return ans, message.Message{}
		})
	}
	ans, _ := hosts[0].ask(t.Context(), "a", "/quotes/1", bearer)
	require.Equal(t, outcome.Unknown, ans.Refusal.Outcome)
	require.Equal(t, int64(2), hosts[0].runs.Load()+hosts[1].runs.Load(), "as many attempts as the route allows")
	ans, _ = hosts[0].ask(t.Context(), "b", "/confirms/1", bearer)
	require.Equal(t, outcome.Unknown, ans.Refusal.Outcome)
	require.Equal(t, int64(1), hosts[2].runs.Load()+hosts[3].runs.Load())
}

// The bound on retries is relative to callers' requests. One request may make many deeper calls, so if these counted,
// the retries under overload would exceed the bound.
func TestDeeperCallsEarnNoRetries(t *testing.T) {
	const calls = 800
	cfg := testConfiguration(1)
	addOpenRoute(&cfg, cfg.Routes[0])
	hosts := startFleet(t, newStore(cfg), "confirms", "quotes", "quotes")
	for _, hos := range hosts[1:] {
		hos.setRun(func(_ context.Context, cal call.Call) (answer.Answer, message.Message) {
			return answer.Answer{CallID: cal.ID, Refusal: refusal.Unknown(reason.AnswerTruncated, "test")}, message.Message{}
		})
	}
	ran := func() int64 { return hosts[1].runs.Load() + hosts[2].runs.Load() }
	for number := range calls {
		hosts[0].ask(t.Context(), fmt.Sprint("deeper-", number), fmt.Sprint("/open/", number), "")
	}
	slack := int64(hosts[0].settings.Bounds.RepeatSlack) / int64(len(hosts))
	require.LessOrEqual(t, ran()-calls, slack, "deeper calls")
	for number := range calls {
		hosts[0].ask(t.Context(), fmt.Sprint("callers-", number), fmt.Sprint("/quotes/", number), bearer)
	}
	require.Greater(t, ran()-2*calls, slack, "requests of callers")
}

func TestAFailureOfABackendServerIsNoCrash(t *testing.T) {
	hosts := startFleet(t, newStore(testConfiguration(1)), "confirms", "quotes")
	hosts[1].setRun(func(_ context.Context, cal call.Call) (answer.Answer, message.Message) {
		ans := completeAnswer(cal)
		ans.Refusal = refusal.Unknown(reason.BackendServerError, "test")
		return ans, message.Message{Status: http.StatusInternalServerError, Body: []byte("signed")}
	})
	ans, reply := hosts[0].ask(t.Context(), "a", "/quotes/1", bearer)
	require.Equal(t, reason.BackendServerError, ans.Refusal.Reason)
	require.Equal(t, "signed", string(reply.Body), "the response of the backend server reaches the caller")
	hosts[1].run.Store(nil)
	ans, _ = hosts[0].ask(t.Context(), "b", "/quotes/1", bearer)
	require.Nil(t, ans.Refusal)
}

func TestACrashIsDetectedAndItsCallIsRetriedElsewhereOnce(t *testing.T) {
	hosts := startFleet(t, newStore(testConfiguration(1)), "quotes", "quotes")
	for _, hos := range hosts {
		hos.setRun(func(_ context.Context, cal call.Call) (answer.Answer, message.Message) {
			hos.HandleRefusedConnection(hos.announcement(localserver.Serving, 1))
			ans := completeAnswer(cal)
			ans.Refusal = refusal.Unknown(reason.AnswerTruncated, "test")
			return ans, message.Message{}
		})
	}
	ans, _ := hosts[0].ask(t.Context(), "a", "/quotes/poison", bearer)
	require.Equal(t, outcome.Unknown, ans.Refusal.Outcome)
	require.Equal(t, int64(2), hosts[0].runs.Load()+hosts[1].runs.Load())
	for index, hos := range hosts {
		hos.run.Store(nil)
		again := hos.announcement(localserver.Serving, 1)
		again.Started = time.Unix(int64(index+2), 0)
		require.NoError(t, hos.ReceiveAnnouncement(t.Context(), again))
	}
	time.Sleep(time.Second)
	for _, hos := range hosts {
		ans, _ := hos.ask(t.Context(), "again", "/quotes/poison", bearer)
		require.Equal(t, reason.Quarantined, ans.Refusal.Reason, "two crashes quarantine the request at every host")
	}
	ans, _ = hosts[0].ask(t.Context(), "other", "/quotes/innocent", bearer)
	require.Nil(t, ans.Refusal)
}

// crashTwice makes each call crash the backend server that runs it, and sends one that crashes two. It returns the count
// of crashes.
func crashTwice(t *testing.T, hosts []*host) *atomic.Int64 {
	t.Helper()
	var crashes atomic.Int64
	for _, hos := range hosts {
		hos.setRun(func(_ context.Context, cal call.Call) (answer.Answer, message.Message) {
			crashes.Add(1)
			hos.HandleRefusedConnection(hos.announcement(localserver.Serving, 1))
			ans := completeAnswer(cal)
			ans.Refusal = refusal.Unknown(reason.AnswerTruncated, "test")
			return ans, message.Message{}
		})
	}
	hosts[0].ask(t.Context(), "a", "/quotes/poison", bearer)
	require.Equal(t, int64(2), crashes.Load())
	return &crashes
}

// Guards against a crashing request that is unknown once each node of the service was restarted in turn.
func TestRestartsInTurnDoNotReleaseACrashingRequest(t *testing.T) {
	sto := newStore(testConfiguration(1))
	hosts := startFleet(t, sto, "quotes", "quotes")
	crashes := crashTwice(t, hosts)
	for _, hos := range hosts {
		hos.stop()
		require.NoError(t, <-hos.end)
		hos.start(t, sto)
		require.Eventually(t, func() bool { return hos.AcceptsCalls() && len(hos.View().All("quotes")) == len(hosts) }, testTime, 20*time.Millisecond)
		time.Sleep(time.Second)
	}
	for _, hos := range hosts {
		ans, _ := hos.ask(t.Context(), "again", "/quotes/poison", bearer)
		require.Equal(t, reason.Quarantined, ans.Refusal.Reason)
	}
	require.Equal(t, int64(2), crashes.Load())
}

// Guards against a crashing request that is unknown once all nodes were gone at the same time.
func TestTheLossOfAllNodesDoesNotReleaseACrashingRequest(t *testing.T) {
	sto := newStore(testConfiguration(1))
	hosts := startFleet(t, sto, "quotes", "quotes")
	crashes := crashTwice(t, hosts)
	time.Sleep(time.Second)
	for _, hos := range hosts {
		hos.stop()
	}
	for _, hos := range hosts {
		require.NoError(t, <-hos.end)
		hos.start(t, sto)
	}
	for _, hos := range hosts {
		require.Eventually(t, hos.AcceptsCalls, testTime, 20*time.Millisecond)
		ans, _ := hos.ask(t.Context(), "again", "/quotes/poison", bearer)
		require.Equal(t, reason.Quarantined, ans.Refusal.Reason)
	}
	require.Equal(t, int64(2), crashes.Load())
}

func TestARefusalIsLoggedWithTheRequestIDAndTheReason(t *testing.T) {
	var out bytes.Buffer
	set := testSettings("h0", "quotes")
	hos := &host{settings: set}
	nod := hostnode.New(set, hos.platform(newStore(testConfiguration(1))), log.NewWithOptions(&out, log.Options{Formatter: log.JSONFormatter}))
	ans, _ := nod.Serve(t.Context(), request.Request{Host: "a.example", Path: "/quotes/1", ID: "attempt-9"}, message.Message{})
	require.Equal(t, reason.NoConfiguration, ans.Refusal.Reason)
	var line struct {
		RequestID string `json:"requestId"`
		Reason    string `json:"reason"`
		Outcome   string `json:"outcome"`
		Version   uint64 `json:"version"`
	}
	requireJSON(t, out.String(), &line)
	require.Equal(t, "attempt-9", line.RequestID)
	require.Equal(t, "noConfiguration", line.Reason)
	require.Equal(t, "notRun", line.Outcome)
}
