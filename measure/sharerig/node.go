package sharerig

import (
	"net/netip"
	"time"

	"flamingoreach/core/demanddigest"
	"flamingoreach/core/division"
	"flamingoreach/core/divisionrow"
	"flamingoreach/core/grant"
	"flamingoreach/core/leader"
	"flamingoreach/core/leaderfence"
	"flamingoreach/core/lease"
	"flamingoreach/core/share"
	"flamingoreach/core/sharerequest"
	"flamingoreach/core/tokenpool"
)

// announceInterval is the time between two announcements of a leader to the nodes of its data centre.
const announceInterval = time.Second

// node is one simulated node with its token pool, share and lease modules and, while it leads, a leader's modules.
type node struct {
	rig        *Rig
	name       string
	dataCentre string
	region     string
	address    netip.AddrPort

	pool     *tokenpool.Pool
	share    *share.Share
	lease    *lease.Lease
	issuer   *grant.Issuer
	division *division.Division

	dead        bool
	pausedUntil time.Time
	announcedAt time.Time
}

func newNode(rig *Rig, name, dataCentre, region string, address netip.AddrPort) *node {
	nod := &node{rig: rig, name: name, dataCentre: dataCentre, region: region, address: address, pool: tokenpool.New()}
	nod.pool.OnLowTokens = func(account string) { rig.schedule(0, nod, func() { nod.share.ReportLowTokens(account) }) }
	nod.share = share.New(name, nod.pool)
	nod.share.Schedule = func(wait time.Duration) { rig.schedule(wait, nod, nod.share.SendIfDue) }
	nod.share.Send = nod.sendRequest
	nod.lease = lease.New(name, address)
	nod.lease.Members = nod.members
	nod.lease.Announce = nod.startLeading
	nod.lease.OnLost = func() { nod.issuer, nod.division = nil, nil }
	nod.lease.OnHandOver = nod.passLeadership
	nod.lease.Read = func(ticket uint64) {
		rig.table.read(nod, leaderKey(dataCentre),
			func(row tableRow) { nod.lease.RowRead(ticket, row.revision, row.leader) },
			func() { nod.lease.ReadFailed(ticket) })
	}
	nod.lease.Write = func(ticket, expected uint64, value leader.Leader) {
		key := leaderKey(dataCentre)
		rig.table.write(nod, key, tableRow{leader: value}, []condition{{key: key, expected: expected}}, writeCallbacks{
			written:    func(revision uint64) { nod.lease.Written(ticket, revision) },
			conflicted: func() { nod.lease.Conflicted(ticket) },
			unknown:    func() { nod.lease.Unknown(ticket) },
		})
	}
	return nod
}

func (nod *node) members() []string {
	var members []string
	for _, other := range nod.rig.nodes {
		if other.dataCentre == nod.dataCentre {
			members = append(members, other.name)
		}
	}
	return members
}

func (nod *node) tick() {
	nod.rig.schedule(tickInterval, nod, nod.tick)
	nod.lease.Tick()
	if nod.issuer != nil {
		if at, ok := nod.lease.GrantsFrom(); ok {
			nod.issuer.Open(at)
		}
		nod.issuer.Tick()
		nod.division.Tick()
		nod.announce()
	}
	nod.share.Tick()
}

func (nod *node) sendRequest(address netip.AddrPort, req sharerequest.ShareRequest) {
	nod.rig.shareRequests++
	to := nod.rig.byAddress[address]
	nod.rig.send(nod, to, func() { to.handle(nod, req) })
}

func (nod *node) handle(from *node, req sharerequest.ShareRequest) {
	nod.lease.MemberAnswered(req.Node, req.Epoch, req.Echo, req.SinceLowerEpoch)
	if nod.issuer == nil {
		return
	}
	rep, ok := nod.issuer.Handle(req)
	if !ok {
		return
	}
	nod.rig.send(nod, from, func() {
		if rep.Epoch == from.share.Epoch() {
			from.lease.LeaderAnswered(rep.Epoch)
		}
		from.share.HandleReply(rep)
	})
}

// startLeading creates and connects the modules that only a leader runs.
func (nod *node) startLeading(own leader.Leader) {
	_, began := nod.lease.Own()
	nod.issuer = grant.New(own.Epoch, began)
	div := division.New(nod.dataCentre, own.Epoch, began, nod.issuer)
	nod.division = div
	nod.issuer.Leads = func(now time.Time) bool { return nod.lease.Leads(now) && !div.Isolated(now) }
	nod.issuer.OnShortage = div.ReportShortage
	div.CutHold = nod.rig.CutHold
	div.Fence = nod.lease.Fence
	div.RenewedAt = nod.lease.RenewedAt
	div.Send = nod.sendDigest
	div.Read = func(ticket uint64, account string) {
		nod.rig.table.read(nod, divisionKey(account),
			func(row tableRow) { div.RowRead(ticket, account, row.revision, row.division.Clone()) },
			func() { div.ReadFailed(ticket, account) })
	}
	div.ReadLeader = func(dataCentre string) {
		nod.rig.table.read(nod, leaderKey(dataCentre),
			func(row tableRow) { div.LeaderRead(dataCentre, row.revision) }, func() {})
	}
	div.Write = func(ticket uint64, account string, expected uint64, value divisionrow.DivisionRow, fences []leaderfence.Fence) {
		nod.rig.table.write(nod, divisionKey(account), tableRow{division: value}, conditionsOf(account, expected, fences), writeCallbacks{
			written:    func(revision uint64) { div.Written(ticket, account, revision) },
			conflicted: func() { div.Conflicted(ticket, account) },
			unknown:    func() { div.Unknown(ticket, account) },
		})
	}
	nod.configure(div)
	nod.announcedAt = time.Time{}
	nod.announce()
}

func (nod *node) configure(div *division.Division) {
	var names []string
	for _, dac := range nod.rig.settings.DataCentres {
		names = append(names, dac.Name)
		if dac.Region == nod.rig.table.region {
			div.TakeoverDataCentres = append(div.TakeoverDataCentres, dac.Name)
		}
	}
	div.SetDataCentres(names)
	for _, acc := range nod.rig.accounts {
		div.SetAccount(acc.name, acc.allocation)
	}
}

func (nod *node) announce() {
	if time.Since(nod.announcedAt) < announceInterval {
		return
	}
	nod.announcedAt = time.Now()
	own, _ := nod.lease.Own()
	for _, other := range nod.rig.nodes {
		if other.dataCentre == nod.dataCentre {
			nod.rig.send(nod, other, func() {
				other.lease.EpochSeen(own.Epoch)
				other.share.SetLeader(own.Epoch, own.Address)
			})
		}
	}
}

func (nod *node) sendDigest(dig demanddigest.DemandDigest) {
	for _, other := range nod.rig.nodes {
		if other.dataCentre != nod.dataCentre {
			nod.rig.send(nod, other, func() {
				if other.division != nil {
					other.division.ReceiveDigest(dig)
				}
			})
		}
	}
}

func (nod *node) passLeadership(successor leader.Leader, revision uint64) {
	led := nod.issuer.HandOver()
	led.Leader, led.Revision = successor, revision
	to := nod.rig.byName[successor.Holder]
	nod.rig.send(nod, to, func() {
		to.lease.ReceiveLeadership(led.Leader, led.Revision)
		if own, _ := to.lease.Own(); own.Epoch == led.Leader.Epoch {
			to.issuer.Adopt(led)
		}
	})
}
