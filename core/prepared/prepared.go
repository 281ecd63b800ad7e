package prepared

import "flamingoreach/core/versionid"

// Prepared is a leader's answer to Prepare.
type Prepared struct {
	DataCentre string              `json:"dataCentre"`
	ID         versionid.VersionID `json:"id"`
	// Ready is set if no node of the data centre can serve without enforcing the patch.
	Ready bool `json:"ready"`
	// Isolated lists the unprepared data centres to which the leader has granted no lease for the whole of cutHold.
	Isolated []string `json:"out,omitempty"`
}
