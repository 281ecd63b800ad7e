package membership

import (
	"maps"
	"slices"
	"time"
)

// greetLimit bounds the members that a new node greets at its start: half of the requests that a node has under way at
// a time, as a greeting may go unanswered. In small fleets these are all; in large ones gossip and exchanges reach the
// others.
const greetLimit = 32

// greet tells members that are known from rows only of this node, and learns who answers at their addresses now: after
// many nodes have started at once, most rows are those of former nodes. No answer proves nothing.
func (lis *List) greet(members []*entry, now time.Time) {
	for count := range min(len(members), greetLimit) {
		other := count + lis.Random(len(members)-count)
		members[count], members[other] = members[other], members[count]
		lis.start(&attempt{target: members[count], sent: now, waiting: 1, deadline: now.Add(directTimeout), greeting: true})
	}
}

// tellAcross sends the news of this node to one member of each other data centre, which spreads it there: the next
// exchange between data centres may be an interval away.
func (lis *List) tellAcross() {
	for _, name := range slices.Sorted(maps.Keys(lis.dataCentres)) {
		live := lis.dataCentres[name].live
		if name == lis.self.member.DataCentre || len(live) == 0 {
			continue
		}
		lis.sendUntracked(&attempt{target: live[lis.Random(len(live))], greeting: true})
	}
}
