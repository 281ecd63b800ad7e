package demandentry

import "flamingoreach/core/divisionrow"

// DemandEntry is one client account's entry in a demand digest.
type DemandEntry struct {
	Account string `json:"account" cbor:"1,keyasint"`
	// Demand is in calls per second, over the nodes of the sender's data centre.
	Demand float64 `json:"demand" cbor:"2,keyasint,omitempty"`
	// Available is the number of tokens in the leader's bucket.
	Available float64 `json:"available" cbor:"3,keyasint"`
	// Short is set if calls wait for tokens that the bucket does not have.
	Short bool `json:"short,omitempty" cbor:"4,keyasint,omitempty"`
	// Revision is the revision of the account's row that the sender knows.
	Revision uint64 `json:"revision" cbor:"5,keyasint"`
	// Row is the row at Revision if the sender has just changed it, and nil otherwise.
	Row *divisionrow.DivisionRow `json:"row,omitempty" cbor:"6,keyasint,omitempty"`
}
