package patchresult

import (
	"flamingoreach/core/configurationfault"
	"flamingoreach/core/versionid"
)

// Result is the answer to a submitted patch; only Unknown is not final.
type Result struct {
	Kind    Kind   `json:"kind"`
	PatchID string `json:"patchId"`
	// Version is the accepted version, or 0.
	Version uint64 `json:"version,omitempty"`
	// Current is the version that an outdated patch should have been based on.
	Current versionid.VersionID `json:"current,omitzero"`
	// Faults are those of an invalid patch.
	Faults []configurationfault.Fault `json:"faults,omitempty"`
	// Unreachable lists the data centres that did not prepare a refused patch.
	Unreachable []string `json:"unreachable,omitempty"`
}

// Kind is the kind of a result.
type Kind string

// The kinds of result.
const (
	Accepted Kind = "accepted"
	// Outdated means that the base version of the patch is not the accepted version.
	Outdated Kind = "outdated"
	// Invalid means that the patch has the faults that the result lists.
	Invalid Kind = "invalid"
	// Refused means that the patch was aborted, for example because a data centre did not prepare it in time.
	Refused Kind = "refused"
	// Unknown asks the operator to submit the same patch again with the same ID.
	Unknown Kind = "unknown"
)
