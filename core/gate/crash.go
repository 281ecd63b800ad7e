package gate

import (
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/crash"
	"flamingoreach/core/crash/record"
	"flamingoreach/core/death"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

const (
	// announcementDelay is how late an announcement may arrive: one that arrives later after a call's failure was sent
	// after it.
	announcementDelay = 5 * time.Second
	// maxFailed bounds the contents of failed calls that the gate remembers.
	maxFailed = 4096
)

// content identifies a call for the quarantine: by the fingerprint of its variant, and by that of all variants, or 0 if there
// are no others.
type content struct{ variant, common uint64 }

func contentOf(cal call.Call) content {
	if cal.Variant == 0 {
		return content{variant: cal.Fingerprint}
	}
	return content{variant: cal.Variant, common: cal.Fingerprint}
}

// failure is what the gate remembers of the last failed call with a content: its time and the call's regions.
type failure struct {
	at      time.Time
	regions []string
}

// CrashRevision returns the revision of the latest change of the crash records.
func (gat *Gate) CrashRevision() uint64 {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	return gat.quarantine.Revision()
}

// CrashRecords returns the crash records to send to another node that has all up to a revision, and the revision that it
// has then; joined is the revision at which the other node became known.
func (gat *Gate) CrashRecords(after, joined uint64) ([]record.Record, uint64) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	return gat.quarantine.Export(after, joined, time.Now())
}

// OwnCrashRecords returns the crash records that have changed after a revision and hold crashes or clearings of this gate,
// and the revision up to which it has returned all.
func (gat *Gate) OwnCrashRecords(after uint64) ([]record.Record, uint64) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	return gat.quarantine.ExportOwn(after, time.Now())
}

// KnowsCrashes reports whether there is a crash record of a fingerprint.
func (gat *Gate) KnowsCrashes(fingerprint uint64) bool {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	return gat.quarantine.Knows(fingerprint)
}

// AddCrashRecords merges crash records that were received from another node.
func (gat *Gate) AddCrashRecords(records []record.Record) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.quarantine.Import(records, time.Now())
}

// quarantined reports whether a call must not run because calls with its content crashed backend servers.
func (gat *Gate) quarantined(cal call.Call, now time.Time) bool {
	con := contentOf(cal)
	return gat.policy.On(gatepolicy.Quarantine) && con.variant != 0 &&
		(gat.quarantine.Refuses(con.variant, now) || con.common != 0 && gat.quarantine.Refuses(con.common, now))
}

// ConfirmAlive reports that the backend server's process was heard from. Calls that failed more than announcementDelay
// before did not end it.
func (gat *Gate) ConfirmAlive() {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	now := time.Now()
	maps.DeleteFunc(gat.failed, func(_ content, fai failure) bool { return now.Sub(fai.at) > announcementDelay })
}

// markSuspects records a death of the backend server's process. Suspects are the failed calls whose failure may have been
// the death, and the calls that run, unless they turn out not to have run or are answered.
func (gat *Gate) markSuspects() {
	id, now := uuid.New(), time.Now()
	dea := death.Death{Running: len(gat.running), Failed: len(gat.failed)}
	for con, fai := range gat.failed {
		gat.quarantine.RecordCrash(crash.Crash{ID: id, Fingerprint: con.variant, At: now, Regions: fai.regions}, con.common, now)
		dea.Suspects = append(dea.Suspects, con.variant)
	}
	clear(gat.failed)
	for exe := range gat.running {
		if exe.deathID == uuid.Nil {
			exe.deathID, exe.diedAt = id, now
		}
		if fin := contentOf(exe.call).variant; fin != 0 && !slices.Contains(dea.Suspects, fin) {
			dea.Suspects = append(dea.Suspects, fin)
		}
	}
	gat.deaths++
	if len(dea.Suspects) == 0 {
		gat.unattributed++
	}
	if gat.OnDeath != nil {
		gat.OnDeath(dea)
	}
}

// updateQuarantine clears the content of a call that the backend server answered. A call that may have crashed the
// backend server is refused with the reason quarantined, so that it is not retried. If the policy allows retries of
// suspects and the content is not in quarantine, the reason is backendServerDown.
func (gat *Gate) updateQuarantine(exe *execution, ans *answer.Answer, now time.Time) {
	if !gat.policy.On(gatepolicy.Quarantine) {
		return
	}
	con := contentOf(exe.call)
	switch {
	case ans.Refusal == nil || ans.Refusal.Reason == reason.BackendServerError:
		gat.quarantine.Clear(con.variant, now)
		gat.quarantine.Clear(con.common, now)
		return
	case ans.Refusal.Outcome != outcome.Unknown:
		return
	case exe.deathID != uuid.Nil:
		if con.variant != 0 {
			cra := crash.Crash{ID: exe.deathID, Fingerprint: con.variant, At: exe.diedAt, Regions: exe.call.Regions}
			gat.quarantine.RecordCrash(cra, con.common, now)
		}
	default:
		gat.recordFailed(exe.call, now)
		if ans.Refusal.Reason != reason.BackendServerFailed {
			return
		}
	}
	if gat.policy.RetrySuspects && !gat.quarantined(exe.call, now) {
		ans.Refusal = refusal.Unknown(reason.BackendServerDown, "gate.suspect")
		return
	}
	ans.Refusal = refusal.Unknown(reason.Quarantined, "gate.suspect")
}

// recordFailed remembers a call that ended without an answer until it is known whether the backend server's process
// survived.
func (gat *Gate) recordFailed(cal call.Call, now time.Time) {
	con := contentOf(cal)
	if _, known := gat.failed[con]; con.variant == 0 || !known && len(gat.failed) >= maxFailed {
		return
	}
	gat.failed[con] = failure{at: now, regions: cal.Regions}
}
