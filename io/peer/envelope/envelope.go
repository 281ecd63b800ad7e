package envelope

import "flamingoreach/core/leader"

// Envelope is a control message with the leader of the sender's data centre, as far as the sender knows it.
type Envelope[T any] struct {
	// DataCentre is left out of an answer to a node of the same data centre.
	DataCentre string `json:"dataCentre,omitempty" cbor:"1,keyasint,omitempty"`
	// Epoch is the epoch of the leader that the sender knows. An answer states it only together with Leader.
	Epoch uint64 `json:"epoch,omitempty" cbor:"2,keyasint,omitempty"`
	// Leader is in a request only if the sender is the leader. It is left out of an answer to a node of the same data
	// centre that knows the epoch already.
	Leader *leader.Leader `json:"leader,omitempty" cbor:"3,keyasint,omitempty"`
	Body   T              `json:"body" cbor:"4,keyasint"`
}

// LeaderOrZero returns the leader that the message names, or one of epoch 0 if it names none.
func (env *Envelope[T]) LeaderOrZero() leader.Leader {
	if env.Leader == nil {
		return leader.Leader{}
	}
	return *env.Leader
}
