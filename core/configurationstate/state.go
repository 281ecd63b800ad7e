package configurationstate

import (
	"flamingoreach/core/datacentre"
	"flamingoreach/core/patchoutcome"
	"flamingoreach/core/versionid"
)

// State is the result of one read of the table's rows, in the order of the fields. The order matters: a row that is
// read later is at least as new as one read earlier.
type State struct {
	// Prepared is the last patch that the data centres were asked to prepare; its Order is the row's revision.
	Prepared        versionid.VersionID
	PreparedOutcome patchoutcome.PatchOutcome
	DataCentres     []datacentre.DataCentre
	// Current is the accepted version; its revision is 0 as long as there is none.
	Current         versionid.VersionID
	CurrentRevision uint64
	// Own is the outcome of the patch that the reader asked for, and OwnVersion the version it made.
	Own        patchoutcome.PatchOutcome
	OwnVersion uint64
}

// Pending reports whether the prepared patch may still be accepted.
func (sta *State) Pending() bool {
	return sta.PreparedOutcome == patchoutcome.Undecided && sta.Prepared.Version > sta.Current.Version
}
