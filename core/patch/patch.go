package patch

import (
	"slices"
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/configurationstate"
	"flamingoreach/core/datacentre"
	"flamingoreach/core/machine"
	"flamingoreach/core/patchresult"
	"flamingoreach/core/prepare"
	"flamingoreach/core/prepared"
	"flamingoreach/core/versionid"
)

// The intervals and timeouts of a submission.
const (
	// RetryInterval is the pause before the table is read again, and between two polls of the leaders.
	RetryInterval = 500 * time.Millisecond
	// ProposeTimeout is how long the patch waits for the table and for another pending patch.
	ProposeTimeout = 10 * time.Second
	// PrepareTimeout is how long the data centres may take to prepare.
	PrepareTimeout = 8 * time.Second
	// Timeout is how long an operator waits for a result in all.
	Timeout = 20 * time.Second
	// AbortAfter is how long a patch of another coordinator may stay pending before it is aborted: its coordinator has
	// probably crashed.
	AbortAfter = 9 * time.Second
)

// Patch is one submission of a patch. Its function fields start work and return without waiting for the result.
type Patch struct {
	// Read starts to read the table, including the outcome of the given patch; the result goes to TableRead.
	Read func(patchID string)
	// Store starts to write the body to the object store; the result goes to Stored.
	Store func(vid versionid.VersionID)
	// Claim starts to write the prepared row, on the condition that the rows have not changed since they were read;
	// the result goes to Claimed.
	Claim func(vid versionid.VersionID, read configurationstate.State)
	// Prepare starts to ask the leader of a data centre whether the patch is prepared there; the answer goes to
	// HandleAnswer.
	Prepare func(msg prepare.Prepare)
	// Accept starts the transaction that accepts the patch, on the condition that the rows have not changed since they
	// were read; the result goes to Accepted.
	Accept func(vid versionid.VersionID, read configurationstate.State)
	// Abort starts to write the outcome "aborted" for this patch, if it has none; the result goes to Aborted.
	Abort func(vid versionid.VersionID)
	// AbortOther starts the same for a patch of another coordinator; the next read of the table shows the result.
	AbortOther func(vid versionid.VersionID)
	// Finish is called once with the result.
	Finish func(res patchresult.Result)

	id         versionid.VersionID
	base       uint64
	state      string
	tableState configurationstate.State
	started    time.Time
	// requestedAt is when the last request was sent; awaitingResult is set until its result arrives.
	requestedAt    time.Time
	awaitingResult bool
	polledAt       time.Time
	// ready holds the data centres that have prepared the patch.
	ready map[string]bool
	// isolated holds, by data centre, the data centres that its leader last reported as isolated.
	isolated map[string][]string
	// prepareStarted is when the data centres were first asked to prepare.
	prepareStarted time.Time
	// unreachable holds the data centres that had not prepared the patch when it was aborted.
	unreachable []string
	// otherPending is a pending patch of another coordinator, seen first at otherSince.
	otherPending versionid.VersionID
	otherSince   time.Time
}

var patchMachine = machine.MustNew(charts.MustLoad("patch"),
	[]string{"read", "stored", "claimed", "prepared", "accepted", "aborted", "lost", "expired"},
	map[string]func(*Patch) bool{
		"isAccepted":      (*Patch).isAccepted,
		"isAborted":       (*Patch).isAborted,
		"isOutdated":      (*Patch).isOutdated,
		"isPatchIDReused": (*Patch).isPatchIDReused,
		"isClaimed":       (*Patch).isClaimed,
		"isOtherPending":  (*Patch).isOtherPending,
		"isFleetEmpty":    (*Patch).isFleetEmpty,
	},
	map[string]func(*Patch){
		"readTable":      (*Patch).readTable,
		"waitForRetry":   func(*Patch) {},
		"store":          (*Patch).store,
		"claim":          (*Patch).claim,
		"askDataCentres": (*Patch).askDataCentres,
		"accept":         (*Patch).accept,
		"abortOwn":       (*Patch).abortOwn,
		"abortStalled":   (*Patch).abortStalled,
		"finishAccepted": func(pat *Patch) {
			pat.finish(patchresult.Result{Kind: patchresult.Accepted, Version: pat.id.Version})
		},
		"finishOutdated": func(pat *Patch) {
			pat.finish(patchresult.Result{Kind: patchresult.Outdated, Current: pat.tableState.Current})
		},
		"finishInvalid": (*Patch).finishInvalid,
		"finishRefused": func(pat *Patch) {
			pat.finish(patchresult.Result{Kind: patchresult.Refused, Unreachable: pat.unreachable})
		},
		"finishUnknown": func(pat *Patch) { pat.finish(patchresult.Result{Kind: patchresult.Unknown}) },
	})

// New returns a submission of a body with the given digest against a base version; the body's version is base+1.
func New(patchID string, base uint64, digest string) *Patch {
	return &Patch{
		id:       versionid.VersionID{Version: base + 1, PatchID: patchID, Digest: digest},
		base:     base,
		state:    patchMachine.Initial(),
		ready:    map[string]bool{},
		isolated: map[string][]string{},
	}
}

// Start begins the submission with a read of the table.
func (pat *Patch) Start() {
	pat.started = time.Now()
	pat.readTable()
}

// State returns the name of the current state in the chart.
func (pat *Patch) State() string { return pat.state }

// Done reports whether Finish has been called.
func (pat *Patch) Done() bool { return patchMachine.Final(pat.state) }

func (pat *Patch) fire(event string) { pat.state = patchMachine.Fire(pat, pat.state, event) }

// Tick polls the leaders, reads the table again after a failed request and ends a submission that takes too long.
func (pat *Patch) Tick() {
	age := time.Since(pat.started)
	switch {
	case pat.Done():
	case age >= Timeout:
		pat.expire()
	case pat.state == "proposed" && pat.prepareStarted.IsZero() && age >= ProposeTimeout:
		pat.fire("expired")
	case pat.state == "asked" && time.Since(pat.prepareStarted) >= PrepareTimeout:
		pat.fire("expired")
	case pat.state == "asked":
		pat.poll()
	case !pat.awaitingResult && time.Since(pat.requestedAt) >= RetryInterval:
		pat.readTable()
	}
}

// expire ends the submission from any state; the patch may still be accepted or aborted later.
func (pat *Patch) expire() {
	for !pat.Done() {
		pat.fire("expired")
	}
}

// TableRead is called with the result of Read.
func (pat *Patch) TableRead(sta configurationstate.State, err error) {
	pat.awaitingResult = false
	if err != nil {
		pat.fire("lost")
		return
	}
	pat.tableState = sta
	pat.fire("read")
}

// Stored is called with the result of Store.
func (pat *Patch) Stored(err error) { pat.handleResult(err, "stored") }

// Claimed is called with the result of Claim; after a conflict the table is read again.
func (pat *Patch) Claimed(err error) { pat.handleResult(err, "claimed") }

// Accepted is called with the result of Accept; after any error the table is read again, because the transaction may
// have been executed.
func (pat *Patch) Accepted(err error) { pat.handleResult(err, "accepted") }

// Aborted is called with the result of Abort; after any error the table is read again.
func (pat *Patch) Aborted(err error) { pat.handleResult(err, "aborted") }

func (pat *Patch) handleResult(err error, event string) {
	pat.awaitingResult = false
	if err != nil {
		event = "lost"
	}
	pat.fire(event)
}

// HandleAnswer handles a leader's answer; a data centre that was ready once stays ready while the patch is pending.
func (pat *Patch) HandleAnswer(ans prepared.Prepared) {
	if !ans.ID.Same(pat.id) || ans.ID.Order != pat.tableState.Prepared.Order {
		return
	}
	if ans.Ready {
		pat.ready[ans.DataCentre] = true
	}
	pat.isolated[ans.DataCentre] = ans.Isolated
	if len(pat.unprepared()) == 0 {
		pat.fire("prepared")
	}
}

// unprepared returns the data centres that have not prepared the patch and are neither declared out nor isolated.
func (pat *Patch) unprepared() []string {
	var names []string
	for _, dat := range pat.tableState.DataCentres {
		if !dat.Out && !pat.ready[dat.Name] && !pat.isIsolated(dat) {
			names = append(names, dat.Name)
		}
	}
	return names
}

// isIsolated reports whether every data centre of the store's region says that a data centre has had no contact with it
// for cutHold. The nodes of an isolated data centre refuse all calls with a client account's key, so the patch need not
// wait for them.
func (pat *Patch) isIsolated(dat datacentre.DataCentre) bool {
	if dat.StoreRegion {
		return false
	}
	confirmed := 0
	for _, other := range pat.tableState.DataCentres {
		if !other.StoreRegion || other.Out {
			continue
		}
		if !slices.Contains(pat.isolated[other.Name], dat.Name) {
			return false
		}
		confirmed++
	}
	return confirmed > 0
}
