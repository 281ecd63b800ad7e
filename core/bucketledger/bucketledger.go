package bucketledger

import "flamingoreach/core/part"

// BucketLedger holds the allocation that was in use and the tokens that are not granted to any node.
type BucketLedger struct {
	Part part.Part `json:"part"`
	// Available is in tokens, each of which admits one call.
	Available float64 `json:"available"`
}
