package node

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"flamingoreach/core/acceptedversion"
	"flamingoreach/core/configuration"
	"flamingoreach/core/member"
	"flamingoreach/core/nodereport"
	"flamingoreach/core/tokencount"
	"flamingoreach/io/operator"
	"flamingoreach/io/peer"
)

const (
	reportNode = "ReportNode"
	// maxConcurrentReports bounds the requests to members that run at the same time for one request of an operator.
	maxConcurrentReports = 32
)

func (nod *Node) operatorServer() *operator.Server {
	return &operator.Server{
		View: nod.view.Load, Gate: nod.gate.Stats, Counts: nod.metrics.Counts, Metrics: nod.metrics,
		Leaders: nod.knownLeaders, Shares: nod.shares, Reports: nod.askReports,
		Patch: nod.submitPatch, Version: nod.readVersion,
		Versions: func(ctx context.Context, last int) ([]acceptedversion.AcceptedVersion, error) {
			return nod.configurationTable.Versions(ctx, last)
		},
		DeclareDataCentreOut: func(ctx context.Context, name string) error { return nod.configurationTable.DeclareOut(ctx, name) },
		TokenHashes:          nod.settings.Operators.TokenHashes, Log: nod.log,
	}
}

// setUpReports registers the handler by which this node reports its status to the node that an operator has asked.
func (nod *Node) setUpReports() {
	peer.Handle(nod.peerServer, reportNode, func(context.Context, struct{}) (nodereport.NodeReport, error) {
		return nod.report(), nil
	})
}

func (nod *Node) report() nodereport.NodeReport {
	vie := nod.view.Load()
	rep := nodereport.NodeReport{Member: vie.Self, Version: nod.version(), Gate: nod.gate.Stats()}
	if vie.Directory != nil {
		rep.Prepared = vie.Directory.Prepared()
	}
	return rep
}

func (nod *Node) shares() map[string]tokencount.TokenCount {
	shares := map[string]tokencount.TokenCount{}
	for _, account := range nod.tokenPool.Accounts() {
		shares[account] = nod.tokenPool.Count(account)
	}
	return shares
}

// askReports returns the reports of all known members, which it asks concurrently, at most maxConcurrentReports at a
// time. The report of a member that does not answer holds the error.
func (nod *Node) askReports(ctx context.Context) []nodereport.NodeReport {
	members := nod.view.Load().Members
	type answer struct {
		index  int
		report nodereport.NodeReport
	}
	answers := make(chan answer, maxConcurrentReports)
	reports := make([]nodereport.NodeReport, len(members))
	next, running := 0, 0
	for next < len(members) || running > 0 {
		for next < len(members) && running < maxConcurrentReports {
			go func(index int) { answers <- answer{index, nod.askReport(ctx, members[index])} }(next)
			next++
			running++
		}
		ans := <-answers
		reports[ans.index] = ans.report
		running--
	}
	if !slices.ContainsFunc(members, func(mem member.Member) bool { return mem.ID == nod.id }) {
		reports = append(reports, nod.report())
	}
	return reports
}

func (nod *Node) askReport(ctx context.Context, mem member.Member) nodereport.NodeReport {
	if mem.ID == nod.id {
		return nod.report()
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	rep, err := peer.Ask[struct{}, nodereport.NodeReport](ctx, nod.peerClient, mem.Peer, reportNode, struct{}{})
	if err != nil {
		return nodereport.NodeReport{Member: mem, Error: eris.ToString(err, false)}
	}
	return rep
}

// readVersion returns an accepted configuration version, from memory if it is the one in force, else from the platform.
// It fails with row.ErrNotFound if no version has this number.
func (nod *Node) readVersion(ctx context.Context, version uint64) (configuration.Configuration, error) {
	if cfg := nod.view.Load().Configuration; cfg != nil && cfg.Version == version {
		return *cfg, nil
	}
	acc, err := nod.configurationTable.Version(ctx, version)
	if err != nil {
		return configuration.Configuration{}, err
	}
	text, err := nod.objects.Get(ctx, acc.ObjectName())
	if err != nil {
		return configuration.Configuration{}, err
	}
	return decodeBody(acc.VersionID, text)
}
