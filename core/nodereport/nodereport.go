package nodereport

import (
	"flamingoreach/core/gatestats"
	"flamingoreach/core/member"
)

// NodeReport is a node's report about itself, or the error that occurred when it was asked.
type NodeReport struct {
	Member member.Member `json:"member"`
	// Version is the accepted version in force. Prepared is the prepared patch that is enforced as well until its outcome
	// is known, or 0.
	Version  uint64          `json:"version"`
	Prepared uint64          `json:"prepared,omitempty"`
	Gate     gatestats.Stats `json:"gate"`
	Error    string          `json:"error,omitempty"`
}
