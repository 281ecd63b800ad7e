package followers

import "flamingoreach/core/member"

// perDataCentre is the number of nodes that follow the store in each data centre. One may be gone unnoticed, and another
// turned away by the store, without the data centre depending on the others.
const perDataCentre = 3

// isolatedAfter is the number of requests to other nodes, one after the other, whose failure means that this node may be cut
// off from them. The members take longer to find that out.
const isolatedAfter = 3

// Followers tells whether a node follows the store. All nodes with the same members agree, without messages. Where they
// differ, for example after a start or during a partition, more nodes follow than needed rather than fewer. Its methods
// are called on the control thread only.
type Followers struct {
	id, dataCentre string
	// failed counts the latest requests to other nodes that failed one after the other.
	failed int
}

// New returns the choice for the node with an ID in a data centre.
func New(id, dataCentre string) *Followers { return &Followers{id: id, dataCentre: dataCentre} }

// RecordAsk records the result of a request to another node for its version.
func (fol *Followers) RecordAsk(err error) {
	if err == nil {
		fol.failed = 0
		return
	}
	fol.failed++
}

// IncludeSelf reports whether this node follows the store, given the live members. It answers the load of a fleet whose
// calls to the store grow with its hosts. IDs are random, so that their order spreads the work.
func (fol *Followers) IncludeSelf(members []member.Member) bool {
	if fol.failed >= isolatedAfter {
		return true
	}
	before := 0
	for _, mem := range members {
		if mem.DataCentre == fol.dataCentre && mem.ID < fol.id {
			before++
		}
	}
	return before < perDataCentre
}
