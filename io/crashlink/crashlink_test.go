package crashlink_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/control"
	"flamingoreach/core/crash"
	"flamingoreach/core/crash/record"
	"flamingoreach/core/gate"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/leader"
	"flamingoreach/core/member"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/io/crashlink"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
	"flamingoreach/io/tasks"
)

const (
	testTime    = 10 * time.Second
	fingerprint = 42
)

// node is a gate with its link. While unreachable is set, it answers no message.
type node struct {
	member      member.Member
	gate        *gate.Gate
	link        *crashlink.Link
	unreachable atomic.Bool

	mut   sync.Mutex
	peers []member.Member
	// regions are those of the calls that run sends.
	regions []string
}

// know adds other nodes to the peers of a node.
func (nod *node) know(others ...*node) {
	nod.mut.Lock()
	defer nod.mut.Unlock()
	for _, other := range others {
		nod.peers = append(nod.peers, other.member)
	}
}

func (nod *node) knownPeers() []member.Member {
	nod.mut.Lock()
	defer nod.mut.Unlock()
	return nod.peers
}

func newNode(t *testing.T) *node {
	t.Helper()
	return newNodeWith(t, nil)
}

func newNodeWith(t *testing.T, table *crashlink.Table) *node {
	t.Helper()
	nod := &node{gate: gate.New(gatepolicy.Policy{QuarantineTime: time.Minute, RetrySuspects: true})}
	cli, ser := peer.NewPooledClient(nil), peer.NewServer()
	cli.Leader = func() (string, leader.Leader, bool) { return "", leader.Leader{}, false }
	cli.OnLeader = func(string, leader.Leader) {}
	ser.Leader, ser.OnLeader = cli.Leader, cli.OnLeader
	dis := &dispatcher.Dispatcher{Control: control.New(64), Tasks: tasks.New(8), Log: log.New(io.Discard)}
	nod.link = &crashlink.Link{Dispatcher: dis, Client: cli, Server: ser, Gate: nod.gate, Peers: nod.knownPeers, AskTimeout: time.Second, Table: table}
	nod.link.Register()
	handler := ser.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if nod.unreachable.Load() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(wri, req)
	}))
	nod.member = member.Member{ID: uuid.NewString(), Peer: netip.MustParseAddrPort(server.Listener.Addr().String())}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- dis.Control.Run(ctx) }()
	go func() { ended <- dis.Tasks.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		for range cap(ended) {
			require.NoError(t, <-ended)
		}
		cli.Close()
		server.Close()
	})
	return nod
}

// run runs a call with the fingerprint and returns its answer. The call crashes the backend server if crash is set.
func (nod *node) run(t *testing.T, crash bool) answer.Answer {
	t.Helper()
	cal := call.Call{ID: uuid.New(), Root: uuid.New(), Fingerprint: fingerprint, Deadline: time.Now().Add(time.Second), Regions: nod.regions}
	ans, _ := nod.gate.Run(t.Context(), cal, func(context.Context) (answer.Answer, any) {
		if !crash {
			return answer.Answer{}, nil
		}
		nod.gate.Crashed()
		nod.gate.SetState(gate.Warming)
		return answer.Answer{Refusal: refusal.Unknown(reason.AnswerTruncated, "test")}, nil
	})
	nod.link.AwaitSpread(t.Context(), ans.Refusal)
	return ans
}

func (nod *node) refuses() bool { return nod.gate.Stats().Quarantined == 1 }

func TestAnotherNodeKnowsOfACrashBeforeItsCallEnds(t *testing.T) {
	first, second := newNode(t), newNode(t)
	first.know(second)
	second.know(first)
	require.Equal(t, reason.BackendServerDown, first.run(t, true).Refusal.Reason)
	require.Equal(t, reason.Quarantined, second.run(t, true).Refusal.Reason, "the second crash is known to be one")
	require.True(t, first.refuses())
}

// Guards against a node that never learns of a crash because it was out of reach while the crash was sent.
func TestACrashIsSentUntilItIsConfirmed(t *testing.T) {
	first, second := newNode(t), newNode(t)
	first.know(second)
	second.unreachable.Store(true)
	first.run(t, true)
	first.run(t, true)
	require.Eventually(t, func() bool { return first.link.FailedSends() >= 4 }, testTime, 10*time.Millisecond)
	second.unreachable.Store(false)
	require.Eventually(t, second.refuses, testTime, 10*time.Millisecond)
}

// Guards against a restarted node, and one that becomes known, that knows nothing of the crashes before.
func TestANodeThatBecomesKnownLearnsWhatOthersWereTold(t *testing.T) {
	first, second, third := newNode(t), newNode(t), newNode(t)
	first.know(second)
	first.run(t, true)
	first.run(t, true)
	require.True(t, second.refuses())
	second.know(third)
	require.Eventually(t, third.refuses, testTime, 10*time.Millisecond)
}

// Guards against a content that one node refuses although it ran to its end at another one.
func TestAnAnswerClearsAContentAtAllNodes(t *testing.T) {
	first, second := newNode(t), newNode(t)
	first.know(second)
	second.know(first)
	first.run(t, true)
	require.Nil(t, second.run(t, false).Refusal)
	require.Eventually(t, func() bool {
		records, _ := first.gate.CrashRecords(0, first.gate.CrashRevision())
		return len(records) == 1 && len(records[0].Crashes) == 0
	}, testTime, 10*time.Millisecond)
	first.run(t, true)
	require.False(t, first.refuses())
}

// Guards against a record of several variants that another node takes for one of a single variant, and refuses too early.
func TestARecordThatVariantsHaveInCommonIsSentAsOne(t *testing.T) {
	first, second := newNode(t), newNode(t)
	first.know(second)
	rec := record.Record{Fingerprint: fingerprint, Common: true}
	for range 2 {
		rec.Crashes = append(rec.Crashes, crash.Crash{ID: uuid.New(), Fingerprint: fingerprint, At: time.Now()})
	}
	first.gate.AddCrashRecords([]record.Record{rec})
	// The second node gets the record as the first one has a crash of its own to send.
	first.run(t, true)
	require.Eventually(t, func() bool { return second.gate.KnowsCrashes(fingerprint) }, testTime, 10*time.Millisecond)
	records, _ := second.gate.CrashRecords(0, second.gate.CrashRevision())
	require.Len(t, records, 1)
	require.True(t, records[0].Common)
	require.Len(t, records[0].Crashes, 3)
}

// Guards against a record of a restricted call that reaches a node outside the call's regions: from the node that ran the
// call, or from one that passes it on to a node that becomes known.
func TestARecordOfARestrictedCallStaysInItsRegions(t *testing.T) {
	first, inside, outside, newcomer := newNode(t), newNode(t), newNode(t), newNode(t)
	first.member.Region, inside.member.Region = "r", "s"
	outside.member.Region, newcomer.member.Region = "t", "t"
	first.regions = []string{"r", "s"}
	first.know(inside, outside)
	first.run(t, true)
	first.run(t, true)
	require.True(t, inside.refuses())
	inside.know(newcomer, first)
	// A second record, of a call without a restriction, shows that the records were sent.
	inside.gate.AddCrashRecords([]record.Record{{Fingerprint: fingerprint + 1, Crashes: []crash.Crash{
		{ID: uuid.New(), Fingerprint: fingerprint + 1, At: time.Now()},
	}}})
	require.Eventually(t, func() bool { return newcomer.gate.KnowsCrashes(fingerprint + 1) }, testTime, 10*time.Millisecond)
	require.False(t, newcomer.gate.KnowsCrashes(fingerprint))
	require.False(t, outside.gate.KnowsCrashes(fingerprint))
}

// Guards against a record of a restricted call in the table, which nodes of all regions read.
func TestARecordOfARestrictedCallIsNotWrittenToTheTable(t *testing.T) {
	var mut sync.Mutex
	rows := map[uint64]record.Record{}
	has := func(fin uint64) bool {
		mut.Lock()
		defer mut.Unlock()
		return len(rows[fin].Crashes) > 0
	}
	nod := newNodeWith(t, &crashlink.Table{
		Read: func(context.Context) ([]record.Record, error) { return nil, nil },
		Write: func(_ context.Context, records []record.Record) error {
			mut.Lock()
			defer mut.Unlock()
			for _, rec := range records {
				rows[rec.Fingerprint] = rec
			}
			return nil
		},
		Timeout: time.Second,
	})
	nod.run(t, true)
	nod.run(t, true)
	require.Eventually(t, func() bool { return has(fingerprint) }, testTime, 10*time.Millisecond)
	nod.regions = []string{"r"}
	// The gate refuses the content by now; it becomes known by another node's record that its calls are restricted.
	nod.gate.AddCrashRecords([]record.Record{{Fingerprint: fingerprint, Regions: nod.regions, Crashes: []crash.Crash{
		{ID: uuid.New(), Fingerprint: fingerprint, At: time.Now()},
	}}})
	require.Eventually(t, func() bool { return !has(fingerprint) }, testTime, 10*time.Millisecond)
}
