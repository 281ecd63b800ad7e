package exchange

import (
	"flamingoreach/core/membership/digest"
	"flamingoreach/core/membership/inventory"
	"flamingoreach/core/membership/update"
)

// Exchange is a request or a response. Two lists first compare digests and inventories to find where they differ, and
// then send only the entries that differ.
type Exchange struct {
	Sender     string `json:"sender"`
	DataCentre string `json:"dataCentre"`
	// Digest covers all live members that the sender knows.
	Digest      uint64                `json:"digest"`
	Digests     []digest.Digest       `json:"digests,omitempty"`
	Inventories []inventory.Inventory `json:"inventories,omitempty"`
	Updates     []update.Update       `json:"news,omitempty"`
	// Want holds the hashes of entries that the sender asks for.
	Want []uint64 `json:"want,omitempty"`
}
