package proofs

import (
	"flamingoreach/core/configurationnode/configurationtrace"
	"flamingoreach/core/lease/leasetrace"
	"flamingoreach/core/localserver/localservertrace"
	"flamingoreach/core/replay"
	"flamingoreach/core/traceline"
)

// Replay replays a trace and returns an error for the first line that differs from what the modules do. It must run in a
// bubble of testing/synctest, whose clock follows the times of the trace.
func Replay(lines []traceline.Line) error {
	pla := replay.New()
	localservertrace.Register(pla)
	leasetrace.Register(pla)
	configurationtrace.Register(pla)
	return pla.Play(lines)
}
