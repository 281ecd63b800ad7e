package hostnode

import (
	"reflect"

	"flamingoreach/io/dispatcher"
	"flamingoreach/io/hostsettings"
)

// Reload applies changed settings as far as a running process can, and logs whether others need a restart; it may be
// called at any time.
func (nod *Node) Reload(set hostsettings.Settings) {
	former := nod.bounds.Swap(&set.Bounds)
	nod.knownRegions.Store(&set.Regions)
	setMemoryLimit(set.MemoryBytes)
	nod.room.Resize(roomBytes(set.MemoryBytes))
	nod.retryBudget.SetBounds(set.Bounds.RepeatRatio, set.Bounds.RepeatSlack)
	nod.control.Offer(dispatcher.Event("pace.configured", nil, nod.configurePace))
	nod.log.Info("settings reloaded", "bounds", set.Bounds, "formerBounds", *former, "memoryBytes", set.MemoryBytes,
		"needsRestart", nod.needsRestart(set))
}

// needsRestart reports whether settings have changed that Reload does not apply.
func (nod *Node) needsRestart(set hostsettings.Settings) bool {
	applied := nod.settings
	applied.Bounds, applied.MemoryBytes, applied.Regions = set.Bounds, set.MemoryBytes, set.Regions
	return !reflect.DeepEqual(applied, set)
}
