package node

import (
	"context"
	"errors"
	"time"

	"flamingoreach/core/allocation"
	"flamingoreach/core/demanddigest"
	"flamingoreach/core/division"
	"flamingoreach/core/divisionrow"
	"flamingoreach/core/event"
	"flamingoreach/core/grant"
	"flamingoreach/core/grantledger"
	"flamingoreach/core/leader"
	"flamingoreach/core/leaderfence"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/core/row"
	"flamingoreach/core/rowwrite"
	"flamingoreach/core/share"
	"flamingoreach/core/sharereply"
	"flamingoreach/core/sharerequest"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
)

const (
	sendDemand = "SendDemand"
	// tokenWait is how long a call waits for the leader to grant a token.
	tokenWait = 100 * time.Millisecond
	// rateRetryAfter is the RetryAfter of refusals for lack of tokens.
	rateRetryAfter = time.Second
	divisionPrefix = "division/"
)

// setUpShares connects the token pool of this node with the leader that grants the tokens, and registers the handler of
// demand digests, in which the leaders of other data centres report the demand there. It also adds the ticker of the
// modules that this node runs while it leads.
func (nod *Node) setUpShares() {
	nod.share = share.New(nod.id, nod.tokenPool)
	nod.tokenPool.OnLowTokens = func(account string) {
		nod.control.Offer(event.Event{Name: "share.low", Data: account, Apply: func() { nod.share.ReportLowTokens(account) }})
	}
	nod.share.Schedule = func(wait time.Duration) {
		dispatcher.Start(nod.dispatcher, "share.due", wait+askTimeout, func(ctx context.Context) (struct{}, error) {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			return struct{}{}, nil
		}, func(struct{}, error) { nod.share.SendIfDue() })
	}
	nod.share.Send = nod.sendShareRequest
	nod.control.AddTicker(nod.share.Tick)
	nod.control.AddTicker(nod.tickLeader)
	peer.Handle(nod.peerServer, sendDemand, func(ctx context.Context, dig demanddigest.DemandDigest) (struct{}, error) {
		nod.dispatcher.Post(ctx, "division.digest", dig, func() {
			if nod.division != nil {
				nod.division.ReceiveDigest(dig)
			}
		})
		return struct{}{}, nil
	})
}

func (nod *Node) handleShareRequest(req sharerequest.ShareRequest) (sharereply.ShareReply, bool) {
	nod.lease.MemberAnswered(req.Node, req.Epoch, req.Echo, req.SinceLowerEpoch)
	if nod.issuer == nil {
		return sharereply.ShareReply{}, false
	}
	rep, ok := nod.issuer.Handle(req)
	if ok {
		nod.lastAnswered[req.Node] = time.Now()
	}
	return rep, ok
}

// takeToken takes a token of a client account. If there is none, it waits up to tokenWait for one that the leader may
// grant, then refuses.
func (nod *Node) takeToken(ctx context.Context, account string) *refusal.Refusal {
	if nod.tokenPool.TakeOrWait(ctx, account, tokenWait) {
		return nil
	}
	why := reason.RateExceeded
	if !nod.tokenPool.Leased(account) {
		why = reason.ShareUnavailable
	}
	ref := refusal.NotRun(why, "take token")
	ref.RetryAfter = rateRetryAfter
	return ref
}

// startLeading starts the modules that a leader runs: the issuer, which grants tokens to the nodes of the data centre,
// and the division, which divides the rates of the accounts among the data centres. It runs on the control thread.
func (nod *Node) startLeading(own leader.Leader) {
	_, began := nod.lease.Own()
	nod.issuer = grant.New(own.Epoch, began)
	div := division.New(nod.self.DataCentre, own.Epoch, began, nod.issuer)
	nod.division = div
	nod.issuer.Leads = func(now time.Time) bool { return nod.lease.Leads(now) && !div.Isolated(now) }
	div.Fence = nod.lease.Fence
	div.RenewedAt = nod.lease.RenewedAt
	div.Send = nod.sendDigest
	nod.issuer.OnShortage = div.ReportShortage
	nod.setUpDivisionRows(div)
	var names []string
	for name, region := range nod.settings.Fleet.DataCentres {
		names = append(names, name)
		if region == nod.settings.Fleet.StoreRegion {
			div.TakeoverDataCentres = append(div.TakeoverDataCentres, name)
		}
	}
	div.SetDataCentres(names)
	nod.setAllocations()
	nod.learnLeader(nod.self.DataCentre, own)
	nod.announcedAt, nod.lastAnswered = time.Time{}, map[string]time.Time{}
	nod.announceLeadership()
}

func (nod *Node) setUpDivisionRows(div *division.Division) {
	div.Read = func(ticket uint64, account string) {
		type divisionRead struct {
			Row      divisionrow.DivisionRow `json:"row"`
			Revision uint64                  `json:"revision"`
		}
		dispatcher.Start(nod.dispatcher, "division.rowRead", storeTimeout, func(ctx context.Context) (divisionRead, error) {
			var rea divisionRead
			revision, err := nod.readRow(ctx, divisionPrefix+account, &rea.Row)
			rea.Revision = revision
			return rea, err
		}, func(rea divisionRead, err error) {
			if err != nil {
				div.ReadFailed(ticket, account)
				return
			}
			div.RowRead(ticket, account, rea.Revision, rea.Row)
		})
	}
	div.ReadLeader = func(dataCentre string) {
		dispatcher.Start(nod.dispatcher, "division.leaderRead", storeTimeout, nod.readLeader(dataCentre), func(read leaderRow, err error) {
			if err == nil {
				div.LeaderRead(dataCentre, read.Revision)
			}
		})
	}
	div.Write = func(ticket uint64, account string, expected uint64, value divisionrow.DivisionRow, fences []leaderfence.Fence) {
		var checks []rowwrite.Write
		for _, fen := range fences {
			checks = append(checks, rowwrite.Write{Key: leaderKey(fen.DataCentre), Expected: fen.Revision, CheckOnly: true})
		}
		dispatcher.Start(nod.dispatcher, "division.written", storeTimeout, nod.writeRow(divisionPrefix+account, expected, value, checks), func(revision uint64, err error) {
			switch {
			case err == nil:
				div.Written(ticket, account, revision)
			case errors.Is(err, row.ErrConflict):
				div.Conflicted(ticket, account)
			default:
				div.Unknown(ticket, account)
			}
		})
	}
}

func (nod *Node) sendDigest(dig demanddigest.DemandDigest) {
	for name := range nod.settings.Fleet.DataCentres {
		if name == nod.self.DataCentre {
			continue
		}
		address := nod.leaderAddress(name)
		dispatcher.Start(nod.dispatcher, "division.digestSent", askTimeout, func(ctx context.Context) (struct{}, error) {
			return peer.Ask[demanddigest.DemandDigest, struct{}](ctx, nod.peerClient, address, sendDemand, dig.For(name))
		}, func(struct{}, error) {})
	}
}

func (nod *Node) stopLeading() {
	nod.issuer, nod.division = nil, nil
	nod.logs.Control.Warn("leadership lost", "dataCentre", nod.self.DataCentre)
}

func (nod *Node) tickLeader() {
	if nod.issuer == nil {
		return
	}
	if at, known := nod.lease.GrantsFrom(); known {
		nod.issuer.Open(at)
	}
	nod.issuer.Tick()
	nod.division.Tick()
	nod.announceLeadership()
}

// setAllocations passes the rates and bursts of the accounts in force to the division and removes accounts that are no
// longer configured. It also passes the cut hold, which is how long a data centre serves without contact to the store's
// region, and the longest cut hold that another data centre may apply.
func (nod *Node) setAllocations() {
	dir := nod.view.Load().Directory
	if nod.division == nil || dir == nil {
		return
	}
	nod.division.CutHold = nod.versions.CutHold()
	nod.division.TakeoverHold = nod.versions.LongestCutHold()
	configured := map[string]bool{}
	for _, acc := range dir.Accounts() {
		configured[acc.Name] = true
		nod.division.SetAccount(acc.Name, allocation.Allocation{Rate: acc.Rate, Burst: acc.Burst})
	}
	for account := range nod.dividedAccounts {
		if !configured[account] {
			nod.division.RemoveAccount(account)
		}
	}
	nod.dividedAccounts = configured
}

// handOverLeadership sends the grant ledgers to the successor, which the leader row names at the given revision.
func (nod *Node) handOverLeadership(successor leader.Leader, revision uint64) {
	if nod.issuer == nil {
		return
	}
	led := nod.issuer.HandOver()
	led.Leader, led.Revision = successor, revision
	nod.logs.Control.Info("leadership handed over", "peer", successor.Address, "epoch", successor.Epoch)
	dispatcher.Start(nod.dispatcher, "leadership.passedOn", askTimeout, func(ctx context.Context) (struct{}, error) {
		return peer.Ask[grantledger.GrantLedger, struct{}](ctx, nod.peerClient, successor.Address, passLeadership, led)
	}, func(struct{}, error) {})
}

// receiveLeadership takes over the leadership and the grant ledgers from the former leader of the data centre.
func (nod *Node) receiveLeadership(led grantledger.GrantLedger) {
	nod.lease.ReceiveLeadership(led.Leader, led.Revision)
	if own, _ := nod.lease.Own(); nod.issuer != nil && own.Epoch == led.Leader.Epoch {
		nod.issuer.Adopt(led)
	}
}
