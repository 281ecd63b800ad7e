package nodeledger

import (
	"time"

	"flamingoreach/core/tokenledger"
)

// NodeLedger holds all tokens of one node.
type NodeLedger struct {
	// Number is the number that the leader gave the ledger.
	Number uint64 `json:"ledger"`
	// Sequence is that of the node's last request.
	Sequence uint64 `json:"sequence"`
	// TimeToExpiry is the time left until all tokens have expired.
	TimeToExpiry time.Duration                      `json:"lapse"`
	Accounts     map[string]tokenledger.TokenLedger `json:"accounts"`
}
