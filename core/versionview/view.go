package versionview

import (
	"time"

	"flamingoreach/core/configuration"
	"flamingoreach/core/directory"
	"flamingoreach/core/versionid"
)

// RetryInterval is the time after which an unanswered or failed fetch is sent again.
const RetryInterval = time.Second

// noLimit stands for a cutHold without a limit; it is longer than any node runs.
const noLimit = 100 * 365 * 24 * time.Hour

// View is the state of one node; its methods run on the control thread.
type View struct {
	// Fetch starts to read a body from a peer or the object store; the result goes to Fetched.
	Fetch func(vid versionid.VersionID)
	// Publish passes the directory to the traffic threads.
	Publish func(dir *directory.Directory)
	// OnChange, if set, is called after each change of the versions in force.
	OnChange func()
	// OnLearn and OnAbort, if set, are called at the start of each Learn and LearnAborted with the same arguments.
	OnLearn func(current, prepared versionid.VersionID)
	OnAbort func(vid versionid.VersionID)

	current  held
	prepared held
	// The versions that the node has learned of, with or without a body.
	knownCurrent  versionid.VersionID
	knownPrepared versionid.VersionID
	aborted       versionid.VersionID
	fetching      map[versionid.VersionID]time.Time
	mismatches    uint64
}

// held is an accepted version or a prepared patch with its body.
type held struct {
	id   versionid.VersionID
	body configuration.Configuration
}

// New returns a view that knows no version.
func New() *View { return &View{fetching: map[versionid.VersionID]time.Time{}} }

// Current returns the accepted version that is in force, or the zero value.
func (vie *View) Current() versionid.VersionID { return vie.current.id }

// Configuration returns the body of the version in force.
func (vie *View) Configuration() configuration.Configuration { return vie.current.body }

// Prepared returns the prepared patch that is enforced together with the accepted version, or the zero value.
func (vie *View) Prepared() versionid.VersionID { return vie.prepared.id }

// KnownCurrent returns the highest accepted version that the node has learned of.
func (vie *View) KnownCurrent() versionid.VersionID { return vie.knownCurrent }

// KnownPrepared returns the latest prepared patch that the node has learned of, if it may still be accepted.
func (vie *View) KnownPrepared() versionid.VersionID {
	if !vie.pending(vie.knownPrepared) {
		return versionid.VersionID{}
	}
	return vie.knownPrepared
}

// Aborted reports whether a prepared patch is known never to take effect. Patches are prepared one after the
// other, so one that was prepared before an aborted patch of the same version was aborted too.
func (vie *View) Aborted(vid versionid.VersionID) bool {
	return vid.Known() && vid.Version == vie.aborted.Version && vid.Order <= vie.aborted.Order
}

// Mismatches counts bodies that were not the version asked for.
func (vie *View) Mismatches() uint64 { return vie.mismatches }

// CutHold returns the time without contact to the store's region after which a data centre refuses keyed calls, so that
// other data centres may take over its allocations and accept patches without it. It is the shorter of those of the
// accepted and the prepared version; 0 means no limit.
func (vie *View) CutHold() time.Duration {
	hold := vie.current.body.CutHold
	next := vie.prepared.body.CutHold
	if hold == 0 || (next > 0 && next < hold) {
		return next
	}
	return hold
}

// LongestCutHold returns the longer cutHold of the accepted and the prepared version, because other nodes may still serve
// by either.
func (vie *View) LongestCutHold() time.Duration {
	if !vie.prepared.id.Known() {
		return vie.current.body.CutHold
	}
	one, other := vie.current.body.CutHold, vie.prepared.body.CutHold
	if one == 0 || other == 0 {
		return noLimit
	}
	return max(one, other)
}

// Body returns a body that the node holds, for peers that ask for it.
func (vie *View) Body(vid versionid.VersionID) (configuration.Configuration, bool) {
	for _, hel := range []held{vie.current, vie.prepared} {
		if hel.id.Known() && hel.id.Same(vid) {
			return hel.body, true
		}
	}
	return configuration.Configuration{}, false
}

// Learn is called with the accepted version and the prepared patch that another node or the table knows; either may be
// zero.
func (vie *View) Learn(current, prepared versionid.VersionID) {
	if vie.OnLearn != nil {
		vie.OnLearn(current, prepared)
	}
	if current.Version > vie.knownCurrent.Version {
		current.Order = 0
		vie.knownCurrent = current
	}
	if prepared.Order > vie.knownPrepared.Order {
		vie.knownPrepared = prepared
	}
	vie.advance()
}

// LearnAborted is called with a prepared patch that is certain never to take effect.
func (vie *View) LearnAborted(vid versionid.VersionID) {
	if vie.OnAbort != nil {
		vie.OnAbort(vid)
	}
	if vid.Order < vie.aborted.Order {
		return
	}
	vie.aborted = vid
	if vie.prepared.id.Known() && vie.Aborted(vie.prepared.id) {
		vie.prepared = held{}
		vie.changed()
	}
	vie.advance()
}

// Fetched is called with the result of a fetch; a body of another version is dropped and fetched again.
func (vie *View) Fetched(vid versionid.VersionID, body configuration.Configuration, err error) {
	if err != nil {
		return
	}
	if body.Version != vid.Version || body.PatchID != vid.PatchID {
		vie.mismatches++
		return
	}
	delete(vie.fetching, vid)
	switch {
	case vid.Same(vie.knownCurrent) && vid.Version > vie.current.id.Version:
		vie.accept(held{id: vie.knownCurrent, body: body})
	case vid == vie.knownPrepared && vie.applicable(vid):
		vie.prepared = held{id: vid, body: body}
		vie.changed()
	}
	vie.advance()
}

// Tick sends fetches again that have not been answered.
func (vie *View) Tick() { vie.advance() }

// advance puts the known accepted version into force if the node holds its body, and fetches the bodies that it lacks.
func (vie *View) advance() {
	if vie.knownCurrent.Version > vie.current.id.Version {
		if vie.prepared.id.Known() && vie.prepared.id.Same(vie.knownCurrent) {
			vie.accept(held{id: vie.knownCurrent, body: vie.prepared.body})
		} else {
			vie.fetch(vie.knownCurrent)
		}
	}
	if vie.applicable(vie.knownPrepared) && vie.prepared.id != vie.knownPrepared {
		vie.fetch(vie.knownPrepared)
	}
}

// accept puts a version into force and drops the prepared patch, unless that is of a later version.
func (vie *View) accept(hel held) {
	vie.current = hel
	if vie.prepared.id.Version <= hel.id.Version {
		vie.prepared = held{}
	}
	vie.changed()
}

func (vie *View) pending(vid versionid.VersionID) bool {
	return vid.Known() && vid.Version > vie.knownCurrent.Version && !vie.Aborted(vid)
}

// applicable reports whether a pending patch follows the version in force, so that both can be merged.
func (vie *View) applicable(vid versionid.VersionID) bool {
	return vie.pending(vid) && vid.Version == vie.current.id.Version+1
}

func (vie *View) fetch(vid versionid.VersionID) {
	if asked, pending := vie.fetching[vid]; pending && time.Since(asked) < RetryInterval {
		return
	}
	for other := range vie.fetching {
		if other != vie.knownCurrent && other != vie.knownPrepared {
			delete(vie.fetching, other)
		}
	}
	vie.fetching[vid] = time.Now()
	vie.Fetch(vid)
}

func (vie *View) changed() {
	var prepared *configuration.Configuration
	if vie.prepared.id.Known() {
		prepared = &vie.prepared.body
	}
	vie.Publish(directory.New(vie.current.body, prepared))
	if vie.OnChange != nil {
		vie.OnChange()
	}
}
