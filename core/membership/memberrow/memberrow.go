package memberrow

import (
	"time"

	"flamingoreach/core/member"
)

// Row is a member's row in the table; a node that starts reads the rows to find members to contact.
type Row struct {
	Member member.Member `json:"member"`
	// Refreshed is when the member last wrote its row, by the member's own clock.
	Refreshed time.Time `json:"refreshed"`
}
