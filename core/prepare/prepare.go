package prepare

import "flamingoreach/core/versionid"

// Prepare asks a leader whether every node of its data centre enforces a patch or can no longer serve.
type Prepare struct {
	DataCentre string              `json:"dataCentre"`
	ID         versionid.VersionID `json:"id"`
	// Unprepared lists the data centres that have not answered "ready" yet.
	Unprepared []string `json:"waiting,omitempty"`
}
