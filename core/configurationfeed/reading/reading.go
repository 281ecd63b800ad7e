package reading

import (
	"errors"

	"flamingoreach/core/configuration"
	"flamingoreach/core/evacuation"
	"flamingoreach/core/evacuation/change"
	"flamingoreach/core/storeposition"
)

// ErrHistoryExpired means that the store no longer has the changes after the requested revision.
var ErrHistoryExpired = errors.New("the store no longer has the changes after the requested revision")

// Reading is one answer of the store.
type Reading struct {
	// Configuration is nil if the store has none, or none newer than the requested revision.
	Configuration *configuration.Configuration
	// Revision is the store's revision at the answer; the next request asks for changes after it.
	Revision uint64
	// Era is the store's era at the answer, see storeposition.Position.
	Era uint64
	// Evacuation holds the evacuated data centres at the position of the answer; it is nil unless the store listed all rows.
	Evacuation *evacuation.Evacuation
	// EvacuationChanges holds the changes of evacuations since the requested revision, in their order, if the store was asked
	// for changes.
	EvacuationChanges []change.Change
}

// Position returns the position in the store of which the answer tells.
func (rea Reading) Position() storeposition.Position {
	return storeposition.Position{Era: rea.Era, Revision: rea.Revision}
}
