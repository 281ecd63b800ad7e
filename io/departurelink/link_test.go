package departurelink_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/control"
	"flamingoreach/core/departure"
	"flamingoreach/core/leader"
	"flamingoreach/core/member"
	"flamingoreach/io/departurelink"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
	"flamingoreach/io/tasks"
)

// node is a link that answers messages unless unreachable is set.
type node struct {
	link        *departurelink.Link
	unreachable atomic.Bool
}

// newNodes returns nodes that know each other, with the number of nodes at the end that are unreachable.
func newNodes(t *testing.T, count, unreachable int) []*node {
	t.Helper()
	var nodes []*node
	var members []member.Member
	for index := range count {
		nod := newNode(t)
		nod.unreachable.Store(index >= count-unreachable)
		nodes, members = append(nodes, nod), append(members, nod.link.Self)
	}
	for _, nod := range nodes {
		nod.link.Members = func() []member.Member { return members }
	}
	return nodes
}

func newNode(t *testing.T) *node {
	t.Helper()
	nod := &node{}
	cli, ser := peer.NewPooledClient(nil), peer.NewServer()
	cli.Leader = func() (string, leader.Leader, bool) { return "", leader.Leader{}, false }
	cli.OnLeader = func(string, leader.Leader) {}
	ser.Leader, ser.OnLeader = cli.Leader, cli.OnLeader
	dis := &dispatcher.Dispatcher{Control: control.New(64), Tasks: tasks.New(8), Log: log.New(io.Discard)}
	nod.link = &departurelink.Link{
		Dispatcher: dis, Client: cli, Server: ser, AskTimeout: 10 * time.Second, Complete: func() bool { return true },
	}
	nod.link.Register()
	handler := ser.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if nod.unreachable.Load() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(wri, req)
	}))
	nod.link.Self = member.Member{ID: server.URL, Peer: netip.MustParseAddrPort(server.Listener.Addr().String())}
	ctx, cancel := context.WithCancel(context.Background())
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

func (nod *node) departure() departure.Departure {
	return departure.Departure{
		Host: nod.link.Self.Peer, ServerID: "a", Started: time.UnixMilli(1700000000123).UTC(), Sequence: 7, At: time.Now().UTC().Round(0),
	}
}

// Guards against a restarted node that asks other nodes than those that were told, and against a departure that changes on the
// way.
func TestARestartedNodeLearnsOfADeparture(t *testing.T) {
	nodes := newNodes(t, 8, 0)
	dep := nodes[0].departure()
	confirmed, asked := nodes[0].link.Announce(t.Context(), dep)
	require.Equal(t, 3, asked)
	require.GreaterOrEqual(t, confirmed, 2)
	known, found, _ := nodes[0].link.Ask(t.Context())
	require.True(t, found)
	require.Equal(t, dep, known)
	_, found, decided := nodes[1].link.Ask(t.Context())
	require.False(t, found, "it is about another host")
	require.False(t, decided, "nodes that have just started cannot tell that there was no departure")
}

// Guards against a departure whose acknowledgement waits for nodes that are gone, and one that is lost with one node.
func TestADepartureIsAnnouncedAlthoughOneNodeIsGone(t *testing.T) {
	nodes := newNodes(t, 4, 1)
	confirmed, asked := nodes[0].link.Announce(t.Context(), nodes[0].departure())
	require.Equal(t, 2, confirmed)
	require.Equal(t, 3, asked)
	nodes[1].unreachable.Store(true)
	_, found, decided := nodes[0].link.Ask(t.Context())
	require.True(t, found)
	require.False(t, decided)
	require.Positive(t, nodes[0].link.FailedSends())
}

// Guards against a message with invalid content that is kept or stops the node.
func TestAnInvalidDepartureIsNotKept(t *testing.T) {
	nodes := newNodes(t, 2, 0)
	confirmed, _ := nodes[0].link.Announce(t.Context(), departure.Departure{Host: nodes[0].link.Self.Peer})
	require.Zero(t, confirmed)
	require.Zero(t, nodes[1].link.Kept())
}
