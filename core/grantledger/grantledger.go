package grantledger

import (
	"flamingoreach/core/bucketledger"
	"flamingoreach/core/leader"
	"flamingoreach/core/nodeledger"
)

// GrantLedger names the new leader and holds all buckets and the ledgers of all nodes.
type GrantLedger struct {
	Leader leader.Leader `json:"leader"`
	// Revision is the revision of the row that names the new leader.
	Revision uint64                               `json:"revision"`
	Buckets  map[string]bucketledger.BucketLedger `json:"buckets"`
	Nodes    map[string]nodeledger.NodeLedger     `json:"nodes"`
}
