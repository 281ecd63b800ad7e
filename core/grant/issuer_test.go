package grant_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/allocation"
	"flamingoreach/core/grant"
	"flamingoreach/core/shareask"
	"flamingoreach/core/sharerequest"
)

func newOpenIssuer(rate, burst float64) *grant.Issuer {
	iss := grant.New(1, time.Now())
	iss.Leads = func(time.Time) bool { return true }
	iss.SetAllocation("one", allocation.Allocation{Rate: rate, Burst: burst})
	iss.Open(time.Now())
	return iss
}

func request(node string, sequence, ledger, accepted uint64, ask shareask.ShareAsk) sharerequest.ShareRequest {
	ask.Account = "one"
	return sharerequest.ShareRequest{
		Node: node, Epoch: 1, Sequence: sequence, Ledger: ledger, Accepted: accepted, Asks: []shareask.ShareAsk{ask},
	}
}

func TestADuplicateRequestGetsTheSameReplyAndAnOutdatedOneNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		iss := newOpenIssuer(10, 100)
		time.Sleep(5 * time.Second)
		first, _ := iss.Handle(request("n", 1, 0, 0, shareask.ShareAsk{Waiting: 10}))
		second, ok := iss.Handle(request("n", 2, first.Ledger, 1, shareask.ShareAsk{Spent: 10, Waiting: 5}))
		require.True(t, ok)
		require.EqualValues(t, 5, iss.Outstanding("one"))
		again, ok := iss.Handle(request("n", 2, first.Ledger, 1, shareask.ShareAsk{Spent: 10, Waiting: 5}))
		require.True(t, ok)
		require.Equal(t, second, again)
		_, ok = iss.Handle(request("n", 1, 0, 0, shareask.ShareAsk{Waiting: 10}))
		require.False(t, ok)
		require.EqualValues(t, 5, iss.Outstanding("one"))
	})
}

func TestTheTokensOfASilentNodeStayOutstandingUntilTheirExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		iss := newOpenIssuer(100, 100)
		time.Sleep(time.Second)
		iss.Handle(request("n", 1, 0, 0, shareask.ShareAsk{Waiting: 60}))
		time.Sleep(grant.TokenValidity + grant.ClockMargin)
		iss.Tick()
		require.InDelta(t, 40, iss.Available("one"), 1e-6, "no accrual into the burst that the node may hold")
		time.Sleep(time.Millisecond)
		iss.Tick()
		require.Zero(t, iss.Outstanding("one"))
		require.InDelta(t, 40, iss.Available("one"), 1e-6, "written off, not given back")
	})
}

func TestNothingIsGrantedBeforeOpeningOrWithoutLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		iss := grant.New(1, time.Now())
		leads := true
		iss.Leads = func(time.Time) bool { return leads }
		iss.SetAllocation("one", allocation.Allocation{Rate: 100, Burst: 100})
		iss.Open(time.Now().Add(5 * time.Second))
		time.Sleep(4 * time.Second)
		rep, ok := iss.Handle(request("n", 1, 0, 0, shareask.ShareAsk{Waiting: 1}))
		require.True(t, ok)
		require.True(t, rep.NotReady)
		time.Sleep(time.Second)
		rep, _ = iss.Handle(request("n", 2, 0, 0, shareask.ShareAsk{Waiting: 1}))
		require.Empty(t, rep.Grants[0].Tokens, "the bucket starts empty")
		time.Sleep(time.Second)
		leads = false
		rep, _ = iss.Handle(request("n", 3, rep.Ledger, 2, shareask.ShareAsk{Waiting: 1}))
		require.True(t, rep.NotReady)
	})
}

func TestALowerAllocationTakesEffectAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		iss := newOpenIssuer(100, 100)
		time.Sleep(time.Second)
		rep, _ := iss.Handle(request("n", 1, 0, 0, shareask.ShareAsk{Waiting: 60}))
		iss.SetAllocation("one", allocation.Allocation{Rate: 10, Burst: 50})
		require.False(t, iss.WithinBurst("one"))
		require.Zero(t, iss.Available("one"))
		iss.Handle(request("n", 2, rep.Ledger, 1, shareask.ShareAsk{Spent: 20}))
		require.True(t, iss.WithinBurst("one"))
		time.Sleep(time.Second)
		require.InDelta(t, 10, iss.Available("one"), 1e-6)
	})
}

func TestScarceTokensAreGrantedInProportionToDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		iss := newOpenIssuer(40, 40)
		demands := map[string]float64{"small": 100, "large": 300}
		for node, demand := range demands {
			iss.Handle(request(node, 1, 0, 0, shareask.ShareAsk{Demand: demand}))
		}
		time.Sleep(time.Second)
		granted := map[string]uint64{}
		for _, node := range []string{"small", "large"} {
			rep, _ := iss.Handle(request(node, 2, 1, 1, shareask.ShareAsk{Demand: demands[node], Waiting: 40}))
			if len(rep.Grants) == 0 {
				rep, _ = iss.Handle(request(node, 2, 2, 1, shareask.ShareAsk{Demand: demands[node], Waiting: 40}))
			}
			granted[node] = rep.Grants[0].Tokens
		}
		require.EqualValues(t, 10, granted["small"])
		require.EqualValues(t, 30, granted["large"])
	})
}

// BenchmarkShareRequest measures up to 214 nodes, those of one data centre at the planned size (6,000 nodes in 28 data
// centres).
func BenchmarkShareRequest(b *testing.B) {
	for _, nodes := range []int{25, 50, 100, 214} {
		for _, accounts := range []int{8, 50, 200} {
			b.Run(fmt.Sprintf("nodes=%d/accounts=%d", nodes, accounts), func(b *testing.B) { benchmark(b, nodes, accounts) })
		}
	}
}

// benchmark lets all nodes in turn send a request for all accounts, and reports the size of request and reply as JSON.
func benchmark(b *testing.B, nodes, accounts int) {
	iss := grant.New(1, time.Now())
	iss.Leads = func(time.Time) bool { return true }
	requests := make([]sharerequest.ShareRequest, nodes)
	for account := range accounts {
		iss.SetAllocation(fmt.Sprintf("account%03d", account), allocation.Allocation{Rate: 1e6, Burst: 1e6})
	}
	iss.Open(time.Now().Add(-time.Second))
	for node := range nodes {
		requests[node] = sharerequest.ShareRequest{Node: fmt.Sprintf("8d2f1c54-0000-4000-8000-%012d", node), Epoch: 1}
		for account := range accounts {
			requests[node].Asks = append(requests[node].Asks, shareask.ShareAsk{
				Account: fmt.Sprintf("account%03d", account), Want: 5, Demand: 12.345678,
			})
		}
	}
	b.ReportAllocs()
	bytes := 0
	for at := 0; b.Loop(); at++ {
		req := &requests[at%nodes]
		req.Sequence++
		rep, ok := iss.Handle(*req)
		if !ok {
			b.Fatal("no answer")
		}
		req.Accepted, req.Ledger = rep.Sequence, rep.Ledger
		ask := 0
		for _, gra := range rep.Grants {
			for req.Asks[ask].Account != gra.Account {
				ask++
			}
			req.Asks[ask].Spent += gra.Tokens
		}
		if at < nodes {
			text, _ := json.Marshal(req)
			answer, _ := json.Marshal(rep)
			bytes = len(text) + len(answer)
		}
	}
	b.ReportMetric(float64(bytes), "bytes")
}
