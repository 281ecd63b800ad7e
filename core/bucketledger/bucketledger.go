package bucketledger

import "flamingoreach/core/allocation"

// BucketLedger holds the allocation that was in use and the tokens that are not granted to any node.
type BucketLedger struct {
	Allocation allocation.Allocation `json:"part"`
	// Available is in tokens, each of which admits one call.
	Available float64 `json:"available"`
}
