package nodeledger

import (
	"time"

	"flamingoreach/core/tokenledger"
)

// NodeLedger holds all tokens of one node.
type NodeLedger struct {
	Ledger   uint64 `json:"ledger"`
	Sequence uint64 `json:"sequence"`
	// TimeToExpiry is the time left until all tokens have expired.
	TimeToExpiry time.Duration                      `json:"lapse"`
	Accounts     map[string]tokenledger.TokenLedger `json:"accounts"`
}
