package reading

import (
	"errors"

	"flamingoreach/core/configuration"
)

// ErrHistoryExpired means that the store no longer has the changes after the requested revision.
var ErrHistoryExpired = errors.New("the store no longer has the changes after the requested revision")

// Reading is one answer of the store.
type Reading struct {
	// Configuration is nil if the store has none, or none newer than the requested revision.
	Configuration *configuration.Configuration
	// Revision is the store's revision at the answer; the next request asks for changes after it.
	Revision uint64
}
