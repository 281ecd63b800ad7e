package record

import (
	"time"

	"flamingoreach/core/crash"
)

// Record holds the crashes of one fingerprint that count.
type Record struct {
	Fingerprint uint64
	// Common says that the fingerprint is that of a call.Call, common to several variants, and not that of one variant.
	Common  bool
	Crashes []crash.Crash
	// Cleared is the last time that a call with the fingerprint ran to its end, or zero; earlier crashes do not count.
	Cleared time.Time
	// Regions are the only regions whose nodes may have the record, or nil for no restriction: those of the call that
	// crashed last.
	Regions []string
}
