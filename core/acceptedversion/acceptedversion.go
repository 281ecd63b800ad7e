package acceptedversion

import (
	"time"

	"flamingoreach/core/versionid"
)

// AcceptedVersion is a version with the time at which the coordinator of its patch wrote the acceptance.
type AcceptedVersion struct {
	versionid.VersionID
	At time.Time `json:"at,omitzero"`
}
