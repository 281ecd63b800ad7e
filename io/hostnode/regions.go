package hostnode

import (
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
