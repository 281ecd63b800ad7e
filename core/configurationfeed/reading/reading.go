package reading

import (
	"errors"

	"flamingoreach/core/configuration"
)

// ErrHistoryGone says that the store no longer has the changes that were asked for.
var ErrHistoryGone = errors.New("the store's history is gone")

// Reading is one answer of the store.
type Reading struct {
	// Configuration is nil if there is none, or no newer one.
	Configuration *configuration.Configuration
	// Revision is that of the store, from which changes are followed on.
	Revision uint64
}
