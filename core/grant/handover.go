package grant

import (
	"time"

	"flamingoreach/core/bucketledger"
	"flamingoreach/core/grantledger"
	"flamingoreach/core/nodeledger"
	"flamingoreach/core/sharereply"
	"flamingoreach/core/tokenledger"
)

// HandOver returns all buckets and ledgers for the next leader; the issuer must grant nothing after that.
func (iss *Issuer) HandOver() grantledger.GrantLedger {
	now := time.Now()
	led := grantledger.GrantLedger{Buckets: map[string]bucketledger.BucketLedger{}, Nodes: map[string]nodeledger.NodeLedger{}}
	for account, buc := range iss.buckets {
		iss.accrue(buc, now)
		led.Buckets[account] = bucketledger.BucketLedger{Allocation: buc.allocation, Available: buc.available}
	}
	for node, rec := range iss.nodes {
		accounts := map[string]tokenledger.TokenLedger{}
		for account, hdg := range rec.holdings {
			accounts[account] = tokenledger.TokenLedger{
				Spent: hdg.spent, Returned: hdg.returned, Accepted: hdg.accepted, Pending: hdg.pending, Demand: hdg.demand,
			}
		}
		led.Nodes[node] = nodeledger.NodeLedger{
			Number: rec.ledgerNumber, Sequence: rec.sequence, TimeToExpiry: max(0, rec.expiry.Sub(now)), Accounts: accounts,
		}
	}
	return led
}

// Adopt takes over the buckets and ledgers of the former leader; it must precede Open and any request.
func (iss *Issuer) Adopt(led grantledger.GrantLedger) {
	if !iss.opensAt.IsZero() || len(iss.nodes) > 0 {
		return
	}
	now := time.Now()
	for account, bul := range led.Buckets {
		iss.buckets[account] = &bucket{allocation: bul.Allocation, available: bul.Available, accruedAt: now}
	}
	for node, nol := range led.Nodes {
		iss.nodes[node] = iss.adoptNode(nol, now)
	}
}

// adoptNode turns a node's ledger, received from the former leader, into this leader's record of the node. It leaves the
// stored reply without grants, so that a duplicate of a request that the former leader answered gets no tokens.
func (iss *Issuer) adoptNode(nol nodeledger.NodeLedger, now time.Time) *nodeRecord {
	rec := &nodeRecord{
		ledgerNumber: nol.Number, sequence: nol.Sequence, expiry: now.Add(nol.TimeToExpiry),
		reply: sharereply.ShareReply{Sequence: nol.Sequence}, holdings: map[string]*holding{},
	}
	for account, tol := range nol.Accounts {
		buc := iss.buckets[account]
		if buc == nil {
			continue
		}
		hdg := &holding{spent: tol.Spent, returned: tol.Returned, accepted: tol.Accepted, pending: tol.Pending, demand: tol.Demand}
		buc.outstanding += hdg.outstanding()
		buc.demand += hdg.demand
		rec.holdings[account] = hdg
	}
	return rec
}
