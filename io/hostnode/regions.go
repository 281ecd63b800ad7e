package hostnode

import (
	"slices"
	"time"

	"flamingoreach/core/call"
	"flamingoreach/core/placement"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

// noRegionRetryAfter is the time after which a caller may send a request again that no allowed region can take. It is that
// of requests for which there is no backend server at all: in both cases a member may appear at any time.
const noRegionRetryAfter = time.Second

// checkRegions refuses a restricted call if its service has no member in the call's regions, so that nothing is sent.
func (nod *Node) checkRegions(cal call.Call) *refusal.Refusal {
	if cal.Regions == nil || placement.HasMember(cal.Regions, nod.view.Load().All(cal.Service)) {
		return nil
	}
	ref := refusal.NotRun(reason.NoAllowedRegion, "find member in allowed regions")
	ref.RetryAfter = noRegionRetryAfter
	return ref
}

// checkOwnRegion refuses a restricted call at the gate if this node is outside the call's regions. An ingress node sends
// such a call here if another process than the one that it knows listens at this node's address.
func (nod *Node) checkOwnRegion(cal call.Call) *refusal.Refusal {
	if placement.Allows(cal.Regions, nod.self.Region) {
		return nil
	}
	ref := refusal.NotRun(reason.NoAllowedRegion, "check region at gate")
	ref.RetryAfter = noRegionRetryAfter
	ref.Elsewhere = true
	return ref
}

// reportRestrictions logs the problems of the restrictions in the version in force, once for each version and name. It
// does nothing until the members are known, because their regions are known regions; it is called again then. It runs on
// the control thread.
func (nod *Node) reportRestrictions() {
	vie := nod.view.Load()
	if vie.Configuration == nil || !nod.synced.Load() {
		return
	}
	known := append(slices.Clone(*nod.knownRegions.Load()), nod.self.Region)
	for index := range vie.Members {
		if region := vie.Members[index].Region; !slices.Contains(known, region) {
			known = append(known, region)
		}
	}
	problems := placement.Problems(vie.Configuration, known)
	nod.restrictionProblems.Store(int64(len(problems)))
	for _, pro := range problems {
		text, fields := "allowed regions are unknown", []any{"version", vie.Configuration.Version, "regions", pro.Regions}
		if pro.Route != "" {
			fields = append(fields, "route", pro.Route)
		}
		if pro.Account != "" {
			fields = append(fields, "account", pro.Account)
		}
		if pro.Route != "" && pro.Account != "" {
			text = "route has no allowed region for an account"
			fields = append(fields, "accounts", pro.Accounts)
		} else {
			fields = append(fields, "regionsLeft", pro.RegionsLeft)
		}
		nod.log.Warn(text, fields...)
	}
}
