package gatestats

import "flamingoreach/core/reason"

// Stats holds a gate's counters and current values.
type Stats struct {
	State   string `json:"state"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	// Limit is the number of calls that may currently run at a time, at most the slots.
	Limit int `json:"limit"`
	// Level is the admission level: the lowest priority that is admitted while calls wait.
	Level int `json:"level"`
	// Executed counts the calls handed to the backend server.
	Executed uint64 `json:"executed"`
	// Duplicates counts the duplicate deliveries, which do not run again but get the answer of the first delivery.
	Duplicates uint64 `json:"repeats"`
	// Refused counts the gate's refusals by reason.
	Refused map[reason.Reason]uint64 `json:"refused"`
	// DedupeEntries is the number of call IDs and idempotency keys that the gate remembers, DedupeBytes the size of
	// the answers that it keeps for duplicates, in bytes.
	DedupeEntries int `json:"kept"`
	DedupeBytes   int `json:"keptBytes"`
	// Deaths counts the deaths of the backend server's process that the gate noticed, and UnattributedDeaths those without
	// a call that may have caused them.
	Deaths             uint64 `json:"deaths"`
	UnattributedDeaths uint64 `json:"unattributedDeaths"`
	// Quarantined is the number of fingerprints in quarantine, whose calls are refused.
	Quarantined int `json:"quarantined"`
	// CrashRecordsEvicted is the number of crash records that were dropped because there were too many.
	CrashRecordsEvicted uint64 `json:"crashRecordsEvicted"`
}
