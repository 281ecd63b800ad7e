package share_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/allocation"
	"flamingoreach/core/grant"
	"flamingoreach/core/share"
	"flamingoreach/core/sharerequest"
	"flamingoreach/core/tokenpool"
)

var leaderAddress = netip.MustParseAddrPort("127.0.0.1:7000")

// pair is a node's Share with its token pool, and the leader's issuer that answers the Share's requests.
type pair struct {
	pool     *tokenpool.Pool
	share    *share.Share
	issuer   *grant.Issuer
	requests []sharerequest.ShareRequest
}

func newPair() *pair {
	pai := &pair{pool: tokenpool.New(), issuer: grant.New(1, time.Now())}
	pai.share = share.New("node", pai.pool)
	pai.issuer.Leads = func(time.Time) bool { return true }
	pai.issuer.SetAllocation("one", allocation.Allocation{Rate: 100, Burst: 100})
	pai.issuer.Open(time.Now())
	pai.share.Send = func(_ netip.AddrPort, req sharerequest.ShareRequest) { pai.requests = append(pai.requests, req) }
	pai.share.SetLeader(1, leaderAddress)
	return pai
}

// deliver answers the newest request.
func (pai *pair) deliver() {
	rep, ok := pai.issuer.Handle(pai.requests[len(pai.requests)-1])
	if ok {
		pai.share.HandleReply(rep)
	}
}

// ask makes calls that wait, sends the request for them and answers it.
func (pai *pair) ask(t *testing.T, calls int) {
	for range calls {
		go pai.pool.TakeOrWait(t.Context(), "one", time.Second)
	}
	synctest.Wait()
	time.Sleep(200 * time.Millisecond)
	pai.share.Tick()
	pai.deliver()
	synctest.Wait()
}

func TestTokensAreReportedOnceAndReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pai := newPair()
		pai.deliver()
		time.Sleep(time.Second)
		pai.ask(t, 20)
		require.EqualValues(t, 20, pai.pool.Count("one").Spent)
		require.Positive(t, pai.pool.Count("one").Tokens)
		pai.share.Leave()
		pai.deliver()
		require.True(t, pai.share.Left())
		before := pai.issuer.Available("one")
		for range 3 {
			pai.issuer.Handle(pai.requests[len(pai.requests)-1])
		}
		require.InDelta(t, before, pai.issuer.Available("one"), 1e-9, "a duplicate report changes nothing")
		require.InDelta(t, 80, before, 1, "all tokens but those spent are back")
	})
}

func TestTheTokensOfALostReplyAreGrantedAgainAndALateReplyIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pai := newPair()
		pai.deliver()
		time.Sleep(time.Second)
		go pai.pool.TakeOrWait(t.Context(), "one", 2*time.Second)
		synctest.Wait()
		time.Sleep(200 * time.Millisecond)
		pai.share.Tick()
		lost, ok := pai.issuer.Handle(pai.requests[len(pai.requests)-1])
		require.True(t, ok)
		require.NotEmpty(t, lost.Grants)
		time.Sleep(600 * time.Millisecond)
		pai.share.Tick()
		pai.share.HandleReply(lost)
		require.Zero(t, pai.pool.Count("one").Spent, "a reply to a request that was given up is ignored")
		pai.deliver()
		synctest.Wait()
		require.EqualValues(t, 1, pai.pool.Count("one").Spent)
	})
}

func TestAReplyOfALowerEpochIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pai := newPair()
		pai.deliver()
		time.Sleep(time.Second)
		pai.share.ReportLowTokens("one")
		rep, _ := pai.issuer.Handle(pai.requests[len(pai.requests)-1])
		pai.share.SetLeader(2, leaderAddress)
		pai.share.HandleReply(rep)
		pai.share.SetLeader(1, leaderAddress)
		require.EqualValues(t, 2, pai.share.Epoch())
		require.EqualValues(t, 2, pai.requests[len(pai.requests)-1].Epoch)
	})
}

func TestTokensExpireRelativeToTheSendingOfTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pai := newPair()
		pai.deliver()
		time.Sleep(time.Second)
		go pai.pool.TakeOrWait(t.Context(), "one", time.Second)
		synctest.Wait()
		pai.share.ReportLowTokens("one")
		pai.share.Tick()
		sent := time.Now()
		rep, _ := pai.issuer.Handle(pai.requests[len(pai.requests)-1])
		time.Sleep(400 * time.Millisecond)
		pai.share.HandleReply(rep)
		time.Sleep(time.Until(sent.Add(grant.TokenValidity)) - time.Nanosecond)
		before := pai.pool.Count("one")
		time.Sleep(time.Nanosecond)
		require.Positive(t, before.Tokens)
		require.Zero(t, pai.pool.Count("one").Tokens)
	})
}

func TestSendEarlySendsTheRequestThatIsDueSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pai := newPair()
		pai.deliver()
		time.Sleep(900 * time.Millisecond)
		pai.share.SendEarly()
		require.Len(t, pai.requests, 2, "sent before its period has passed")
		pai.share.SendEarly()
		require.Len(t, pai.requests, 2, "no request while another one is in flight")
		pai.deliver()
		pai.share.SendEarly()
		require.Len(t, pai.requests, 2, "no request right after another one")
		time.Sleep(900 * time.Millisecond)
		pai.share.Tick()
		require.Len(t, pai.requests, 2, "the period starts anew")
	})
}
