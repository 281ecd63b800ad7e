package memberlink_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/control"
	"flamingoreach/core/member"
	"flamingoreach/core/membership"
	"flamingoreach/core/membership/exchange"
	"flamingoreach/core/membership/memberrow"
	"flamingoreach/core/membership/probe"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/memberlink"
	"flamingoreach/io/peer"
	"flamingoreach/io/tasks"
)

// Guards against two nodes that start at the same time and do not find each other, because both read the rows before
// either has written its own. The read must wait for the end of the write, even of one that fails.
func TestTheRowsAreReadAfterTheOwnRowWasWritten(t *testing.T) {
	for name, test := range map[string]struct {
		failures int
		steps    []string
	}{
		"written": {0, []string{"write ended", "read"}},
		// A node that starts while this node's row is missing, and whose own row this read missed, would not be found.
		"failed once": {1, []string{"write failed", "read", "write ended", "read"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var steps []string
				failures := 0
				dis := &dispatcher.Dispatcher{Control: control.New(16), Tasks: tasks.New(16), Log: log.New(io.Discard)}
				link := &memberlink.Link{
					List:       membership.New(member.Member{ID: "a", Peer: netip.MustParseAddrPort("10.0.0.1:1")}, nil),
					Dispatcher: dis,
					Client:     peer.NewPooledClient(nil), Server: peer.NewServer(),
					WriteRow: func(context.Context, memberrow.Row) error {
						time.Sleep(time.Second)
						if failures++; failures <= test.failures {
							steps = append(steps, "write failed")
							return io.ErrUnexpectedEOF
						}
						steps = append(steps, "write ended")
						return nil
					},
					ReadRows: func(context.Context) ([]memberrow.Row, error) {
						steps = append(steps, "read")
						return nil, nil
					},
					AskTimeout: time.Second, StoreTimeout: 2 * time.Second,
				}
				link.Register()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				go func() { _ = dis.Tasks.Run(ctx) }()
				_ = dis.Control.Run(ctx)
				synctest.Wait()
				require.Equal(t, test.steps, steps)
				require.True(t, link.Joined())
			})
		})
	}
}

// Guards against a node that starts around a restore and that others never find: its row was lost, or a write under way
// counts although it was. Nodes that have been there for longer are in the copy and do not read all rows again.
func TestAfterARestoreTheOwnRowIsWrittenAndRecentNodesReadTheRows(t *testing.T) {
	for name, test := range map[string]struct {
		restoredAt time.Duration
		acts       bool
		steps      []string
	}{
		"recent":           {30 * time.Second, false, []string{"write", "read", "write", "read"}},
		"write under way":  {500 * time.Millisecond, false, []string{"write", "write", "read", "read"}},
		"long there":       {70 * time.Second, false, []string{"write", "read", "write"}},
		"long there, acts": {70 * time.Second, true, []string{"write", "read", "write", "read"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mut sync.Mutex
				var steps []string
				step := func(name string) {
					mut.Lock()
					defer mut.Unlock()
					steps = append(steps, name)
				}
				dis := &dispatcher.Dispatcher{Control: control.New(16), Tasks: tasks.New(16), Log: log.New(io.Discard)}
				link := &memberlink.Link{
					List: membership.New(member.Member{ID: "b", DataCentre: "x", Peer: netip.MustParseAddrPort("10.0.0.1:1")}, nil), Dispatcher: dis,
					Client: peer.NewPooledClient(nil), Server: peer.NewServer(),
					WriteRow: func(context.Context, memberrow.Row) error {
						step("write")
						time.Sleep(time.Second)
						return nil
					},
					ReadRows: func(context.Context) ([]memberrow.Row, error) {
						step("read")
						return nil, nil
					},
					DeleteRow:  func(context.Context, string) error { return nil },
					AskTimeout: time.Second, StoreTimeout: 2 * time.Second,
				}
				link.Register()
				link.List.SendProbe = func(uint64, netip.AddrPort, probe.Probe) {}
				link.List.SendExchange = func(netip.AddrPort, exchange.Exchange) {}
				link.List.SendIndirectProbe = func(uint64, netip.AddrPort, netip.AddrPort, probe.Probe) {}
				other := member.Member{ID: "a", DataCentre: "x", Peer: netip.MustParseAddrPort("10.0.0.2:1"), Incarnation: 1}
				ctx, cancel := context.WithTimeout(t.Context(), 80*time.Second)
				defer cancel()
				time.AfterFunc(test.restoredAt, func() {
					dis.Control.Offer(dispatcher.Event("restored", nil, func() {
						if !test.acts {
							link.List.RowsRead([]memberrow.Row{{Member: other, Refreshed: time.Now()}})
						}
						link.Restored()
					}))
				})
				go func() { _ = dis.Tasks.Run(ctx) }()
				_ = dis.Control.Run(ctx)
				synctest.Wait()
				require.Equal(t, test.steps, steps)
			})
		})
	}
}
