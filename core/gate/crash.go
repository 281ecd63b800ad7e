package gate

import (
	"slices"
	"time"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/crash"
	"flamingoreach/core/death"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

const (
	// suspectPeriod is how long a failed call remains a suspect if a crash is detected after its failure.
	suspectPeriod = 3 * time.Second
	// maxFailed bounds the number of failed calls that the gate remembers.
	maxFailed = 256
)

// Crashes returns the crashes to send to other nodes.
func (gat *Gate) Crashes() []crash.Crash {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	return gat.quarantine.Export(time.Now())
}

// AddCrashes merges crashes that were received from other nodes.
func (gat *Gate) AddCrashes(crashes []crash.Crash) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.quarantine.Import(crashes, time.Now())
}

// quarantined reports whether a call must not run because calls with its fingerprint crashed backend servers.
func (gat *Gate) quarantined(cal call.Call, now time.Time) bool {
	return gat.policy.On(gatepolicy.Quarantine) && cal.Fingerprint != 0 && gat.quarantine.Refuses(cal.Fingerprint, now)
}

// markSuspects records the fingerprints of the calls that ran when the backend server's process died, or that
// failed within suspectPeriod before.
func (gat *Gate) markSuspects() {
	now := time.Now()
	var fingerprints []uint64
	note := func(exe *execution) {
		if fin := exe.call.Fingerprint; fin != 0 && !slices.Contains(fingerprints, fin) {
			fingerprints = append(fingerprints, fin)
		}
	}
	for exe := range gat.running {
		exe.suspect = true
		note(exe)
	}
	for _, exe := range gat.failed {
		if now.Sub(exe.failedAt) < suspectPeriod {
			note(exe)
		}
	}
	dea := death.Death{Suspects: fingerprints, Running: len(gat.running), Failed: len(gat.failed)}
	gat.failed = nil
	gat.quarantine.RecordCrash(fingerprints, now)
	gat.deaths++
	if len(fingerprints) == 0 {
		gat.unattributed++
	}
	if gat.OnDeath != nil {
		gat.OnDeath(dea)
	}
}

// updateQuarantine clears the fingerprint of a call that was answered. A call that may have crashed the backend
// server is refused with the reason quarantined, so that it is not retried. If the policy allows retries of suspects
// and the fingerprint is not in quarantine, the reason is backendServerDown.
func (gat *Gate) updateQuarantine(exe *execution, ans *answer.Answer, now time.Time) {
	if !gat.policy.On(gatepolicy.Quarantine) {
		return
	}
	switch {
	case ans.Refusal == nil:
		gat.quarantine.Clear(exe.call.Fingerprint, now)
		return
	case ans.Refusal.Outcome != outcome.Unknown:
		return
	case !exe.suspect && ans.Refusal.Reason != reason.BackendServerFailed:
		return
	case !exe.suspect:
		exe.failedAt = now
		gat.failed = append(gat.failed[max(0, len(gat.failed)+1-maxFailed):], exe)
	}
	if gat.policy.RetrySuspects && !gat.quarantine.Refuses(exe.call.Fingerprint, now) {
		ans.Refusal = refusal.Unknown(reason.BackendServerDown, "gate.suspect")
		return
	}
	ans.Refusal = refusal.Unknown(reason.Quarantined, "gate.suspect")
}
