package gate

import (
	"slices"
	"time"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/crash"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

const (
	// failedTime is how long after its failure a call is still a suspect of a crash.
	failedTime = 3 * time.Second
	// maxFailed bounds the failed calls that are remembered.
	maxFailed = 256
)

// Crashes returns the crashes that other nodes should know of.
func (gat *Gate) Crashes() []crash.Crash {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	return gat.qua.Export(time.Now())
}

// AddCrashes merges the crashes that other nodes know of.
func (gat *Gate) AddCrashes(crashes []crash.Crash) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.qua.Import(crashes, time.Now())
}

// quarantined reports whether a call must not run because its content crashed backend servers.
func (gat *Gate) quarantined(cal call.Call, now time.Time) bool {
	return gat.pol.On(gatepolicy.Quarantine) && cal.Fingerprint != 0 && gat.qua.Holds(cal.Fingerprint, now)
}

// suspectRunning notes the calls that were running when the process died, or were lost just before.
func (gat *Gate) suspectRunning() {
	now := time.Now()
	var fingerprints []uint64
	note := func(fli *flight) {
		if fin := fli.call.Fingerprint; fin != 0 && !slices.Contains(fingerprints, fin) {
			fingerprints = append(fingerprints, fin)
		}
	}
	for fli := range gat.running {
		fli.suspect = true
		note(fli)
	}
	for _, fli := range gat.failed {
		if now.Sub(fli.ended) < failedTime {
			note(fli)
		}
	}
	gat.failed = nil
	gat.qua.Crashed(fingerprints, now)
}

// judge clears the content of a call that ended whole and marks the answer of a suspect, which is not retried.
func (gat *Gate) judge(fli *flight, ans *answer.Answer, now time.Time) {
	if !gat.pol.On(gatepolicy.Quarantine) {
		return
	}
	switch {
	case ans.Refusal == nil:
		gat.qua.Completed(fli.call.Fingerprint, now)
		return
	case ans.Refusal.Outcome != outcome.Unknown:
		return
	case !fli.suspect && ans.Refusal.Reason != reason.BackendServerFailed:
		return
	case !fli.suspect:
		fli.ended = now
		gat.failed = append(gat.failed[max(0, len(gat.failed)+1-maxFailed):], fli)
	}
	if gat.pol.RepeatSuspects && !gat.qua.Holds(fli.call.Fingerprint, now) {
		ans.Refusal = refusal.Unknown(reason.BackendServerDown, "gate.suspect")
		return
	}
	ans.Refusal = refusal.Unknown(reason.Quarantined, "gate.suspect")
}
