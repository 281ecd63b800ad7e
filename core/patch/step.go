package patch

import (
	"time"

	"flamingoreach/core/configurationfault"
	"flamingoreach/core/patchoutcome"
	"flamingoreach/core/patchresult"
	"flamingoreach/core/prepare"
)

func (pat *Patch) isAccepted() bool { return pat.tableState.Own == patchoutcome.Accepted }

func (pat *Patch) isAborted() bool { return pat.tableState.Own == patchoutcome.Aborted }

// isOutdated reports whether the accepted version is no longer the patch's base. It is evaluated after isAccepted. The
// outcome of this patch is read after the current version, so a current version that this patch made is never taken for
// one of another patch.
func (pat *Patch) isOutdated() bool { return pat.tableState.Current.Version != pat.base }

// isPatchIDReused reports whether the patch ID has been used for another body.
func (pat *Patch) isPatchIDReused() bool {
	return pat.tableState.Pending() && pat.tableState.Prepared.PatchID == pat.id.PatchID && !pat.tableState.Prepared.Same(pat.id)
}

func (pat *Patch) isClaimed() bool {
	return pat.tableState.Pending() && pat.tableState.Prepared.Same(pat.id)
}

func (pat *Patch) isOtherPending() bool { return pat.tableState.Pending() }

// isFleetEmpty reports whether no data centre has joined yet, so that none can prepare the patch.
func (pat *Patch) isFleetEmpty() bool { return len(pat.tableState.DataCentres) == 0 }

func (pat *Patch) markRequested() {
	pat.requestedAt = time.Now()
	pat.awaitingResult = true
}

func (pat *Patch) readTable() {
	pat.markRequested()
	pat.Read(pat.id.PatchID)
}

func (pat *Patch) store() {
	pat.markRequested()
	pat.Store(pat.id)
}

func (pat *Patch) claim() {
	pat.markRequested()
	pat.Claim(pat.id, pat.tableState)
}

func (pat *Patch) accept() {
	pat.markRequested()
	pat.Accept(pat.id, pat.tableState)
}

func (pat *Patch) abortOwn() {
	if pat.state == "asked" {
		pat.unreachable = pat.unprepared()
	}
	pat.markRequested()
	pat.Abort(pat.id)
}

// abortStalled aborts a patch of another coordinator that has been pending for too long.
func (pat *Patch) abortStalled() {
	if pat.otherPending != pat.tableState.Prepared {
		pat.otherPending = pat.tableState.Prepared
		pat.otherSince = time.Now()
	}
	if time.Since(pat.otherSince) >= AbortAfter {
		pat.AbortOther(pat.otherPending)
	}
}

func (pat *Patch) askDataCentres() {
	if pat.prepareStarted.IsZero() {
		pat.prepareStarted = time.Now()
	}
	pat.polledAt = time.Time{}
	pat.poll()
}

// poll asks the data centres that have not prepared the patch, and those of the store's region in any case, because
// they report which data centres are isolated.
func (pat *Patch) poll() {
	if time.Since(pat.polledAt) < RetryInterval {
		return
	}
	pat.polledAt = time.Now()
	waiting := pat.unprepared()
	for _, dat := range pat.tableState.DataCentres {
		if dat.Out || (pat.ready[dat.Name] && !dat.StoreRegion) {
			continue
		}
		pat.Prepare(prepare.Prepare{DataCentre: dat.Name, ID: pat.tableState.Prepared, Unprepared: waiting})
	}
}

func (pat *Patch) finishInvalid() {
	pat.finish(patchresult.Result{Kind: patchresult.Invalid, Faults: []configurationfault.Fault{
		{Field: "patchId", Problem: "has been used for another body"},
	}})
}

func (pat *Patch) finish(res patchresult.Result) {
	res.PatchID = pat.id.PatchID
	pat.Finish(res)
}
