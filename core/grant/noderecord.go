package grant

import (
	"time"

	"flamingoreach/core/shareask"
	"flamingoreach/core/sharereply"
)

// nodeRecord is the leader's record of the tokens of one node. Its counts run from the start of the node's ledger.
type nodeRecord struct {
	// ledgerNumber is the number of the ledger, which no leader of the data centre uses for another one.
	ledgerNumber uint64
	// sequence is the number of the last request.
	sequence uint64
	// reply is the last reply, which also answers duplicates of its request.
	reply sharereply.ShareReply
	// expiry is later than the expiry of all tokens at the node by at least ClockMargin.
	expiry   time.Time
	holdings map[string]*holding
}

// holding counts the tokens of one account at one node.
type holding struct {
	spent    uint64
	returned uint64
	// accepted counts the tokens that the node accepted and has not reported as spent or returned.
	accepted uint64
	// pending counts the tokens of the last reply, which the node has not confirmed yet.
	pending uint64
	demand  float64
}

func (hdg *holding) outstanding() uint64 { return hdg.accepted + hdg.pending }

// settle applies a node's report and returns the tokens spent and those given back since the last report. It ignores
// reports whose counts decrease or exceed the accepted tokens.
func (hdg *holding) settle(ask shareask.ShareAsk) (spent, returned uint64) {
	if ask.Spent < hdg.spent || ask.Returned < hdg.returned {
		return 0, 0
	}
	spent, returned = ask.Spent-hdg.spent, ask.Returned-hdg.returned
	if spent+returned > hdg.accepted {
		return 0, 0
	}
	hdg.spent, hdg.returned = ask.Spent, ask.Returned
	hdg.accepted -= spent + returned
	return spent, returned
}
