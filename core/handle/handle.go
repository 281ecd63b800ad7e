package handle

import (
	"flamingoreach/core/allowance"
	"flamingoreach/core/call"
)

// Handle is a running call with the retry allowance for its deeper calls.
type Handle struct {
	Call      call.Call
	Allowance *allowance.Allowance
}
