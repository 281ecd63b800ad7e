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
	sendDemand   = "SendDemand"
	tokenWait    = 100 * time.Millisecond
	rateRetry    = time.Second
	divisionPath = "division/"
)

// joinShares connects this node's tokens with the leader that grants them.
func (nod *Node) joinShares() {
	nod.share = share.New(nod.id, nod.wallet)
	nod.wallet.OnLowTokens = func(account string) {
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
		nod.informed[req.Node] = time.Now()
	}
	return rep, ok
}

// takeToken takes a token of a client account's rate, and waits a little for one that the leader may grant.
func (nod *Node) takeToken(ctx context.Context, account string) *refusal.Refusal {
	if nod.wallet.TakeOrWait(ctx, account, tokenWait) {
		return nil
	}
	why := reason.RateExceeded
	if !nod.wallet.Leased(account) {
		why = reason.ShareUnavailable
	}
	ref := refusal.NotRun(why, "take token")
	ref.RetryAfter = rateRetry
	return ref
}

// lead starts the modules of a leader.
func (nod *Node) lead(own leader.Leader) {
	_, began := nod.lease.Own()
	nod.issuer = grant.New(own.Epoch, began)
	div := division.New(nod.self.DataCentre, own.Epoch, began, nod.issuer)
	nod.division = div
	nod.issuer.Leads = func(now time.Time) bool { return nod.lease.Leads(now) && !div.Isolated(now) }
	div.Fence = nod.lease.Fence
	div.RenewedAt = nod.lease.RenewedAt
	div.Send = nod.sendDigest
	nod.issuer.OnShortage = div.ReportShortage
	nod.joinDivisionRows(div)
	var names []string
	for name, region := range nod.settings.Fleet.DataCentres {
		names = append(names, name)
		if region == nod.settings.Fleet.StoreRegion {
			div.TakeoverDataCentres = append(div.TakeoverDataCentres, name)
		}
	}
	div.SetDataCentres(names)
	nod.setParts()
	nod.learnLeader(nod.self.DataCentre, own)
	nod.announcedAt, nod.informed = time.Time{}, map[string]time.Time{}
	nod.announceLeadership()
}

func (nod *Node) joinDivisionRows(div *division.Division) {
	div.Read = func(ticket uint64, account string) {
		type divisionRead struct {
			Row      divisionrow.DivisionRow `json:"row"`
			Revision uint64                  `json:"revision"`
		}
		dispatcher.Start(nod.dispatcher, "division.rowRead", storeTimeout, func(ctx context.Context) (divisionRead, error) {
			var rea divisionRead
			revision, err := nod.readRow(ctx, divisionPath+account, &rea.Row)
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
		dispatcher.Start(nod.dispatcher, "division.leaderRead", storeTimeout, nod.readLeader(dataCentre), func(rea leaderRow, err error) {
			if err == nil {
				div.LeaderRead(dataCentre, rea.Revision)
			}
		})
	}
	div.Write = func(ticket uint64, account string, expected uint64, value divisionrow.DivisionRow, fences []leaderfence.Fence) {
		var checks []rowwrite.Write
		for _, fen := range fences {
			checks = append(checks, rowwrite.Write{Key: leaderKey(fen.DataCentre), Expected: fen.Revision, CheckOnly: true})
		}
		dispatcher.Start(nod.dispatcher, "division.written", storeTimeout, nod.writeRow(divisionPath+account, expected, value, checks), func(revision uint64, err error) {
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

// setParts tells the division of the accounts in force.
func (nod *Node) setParts() {
	dir := nod.view.Load().Directory
	if nod.division == nil || dir == nil {
		return
	}
	nod.division.CutHold = nod.versions.CutHold()
	nod.division.TakeoverHold = nod.versions.LongestCutHold()
	kept := map[string]bool{}
	for _, acc := range dir.Accounts() {
		kept[acc.Name] = true
		nod.division.SetAccount(acc.Name, allocation.Allocation{Rate: acc.Rate, Burst: acc.Burst})
	}
	for account := range nod.divided {
		if !kept[account] {
			nod.division.RemoveAccount(account)
		}
	}
	nod.divided = kept
}

// handedOver passes the leadership with all ledgers on to the successor that the row names.
func (nod *Node) handedOver(successor leader.Leader, revision uint64) {
	if nod.issuer == nil {
		return
	}
	led := nod.issuer.HandOver()
	led.Leader, led.Revision = successor, revision
	nod.logs.Control.Info("leadership passed on", "peer", successor.Address, "epoch", successor.Epoch)
	dispatcher.Start(nod.dispatcher, "leadership.passedOn", askTimeout, func(ctx context.Context) (struct{}, error) {
		return peer.Ask[grantledger.GrantLedger, struct{}](ctx, nod.peerClient, successor.Address, passLeadership, led)
	}, func(struct{}, error) {})
}

// receiveLeadership takes over from the former leader of the data centre.
func (nod *Node) receiveLeadership(led grantledger.GrantLedger) {
	nod.lease.ReceiveLeadership(led.Leader, led.Revision)
	if own, _ := nod.lease.Own(); nod.issuer != nil && own.Epoch == led.Leader.Epoch {
		nod.issuer.Adopt(led)
	}
}
