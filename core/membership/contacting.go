package membership

import (
	"maps"
	"slices"
	"time"
)

// contactLimit bounds the members that a new node contacts at its start. It is half of the requests that a node may
// have in flight, as these probes may stay unanswered until they time out. In small fleets it covers all members; in
// large fleets gossip and exchanges reach the others.
const contactLimit = 32

// contactMembers probes members that are known only from their rows, to introduce this node and to learn which node
// answers at each address now: after many nodes have started at once, most rows belong to earlier processes. A probe
// that is not answered proves nothing.
func (lis *List) contactMembers(members []*entry, now time.Time) {
	for count := range min(len(members), contactLimit) {
		other := count + lis.Random(len(members)-count)
		members[count], members[other] = members[other], members[count]
		lis.start(&attempt{target: members[count], sent: now, outstanding: 1, deadline: now.Add(directTimeout), introduction: true})
	}
}

// notifyDataCentres sends this node's own entry to one random member of each other data centre, which spreads it there;
// the next exchange between the data centres may be a whole exchangeInterval away.
func (lis *List) notifyDataCentres() {
	for _, name := range slices.Sorted(maps.Keys(lis.dataCentres)) {
		live := lis.dataCentres[name].live
		if name == lis.self.member.DataCentre || len(live) == 0 {
			continue
		}
		lis.sendUntracked(&attempt{target: live[lis.Random(len(live))], introduction: true})
	}
}
