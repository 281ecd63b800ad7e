package hostnode

import "flamingoreach/io/hostsettings"

// Reload puts changed settings in force, as far as a running process can take them; it may be called at any time.
func (nod *Node) Reload(set hostsettings.Settings) {
	former := nod.bounds.Swap(&set.Bounds)
	setMemoryLimit(set.MemoryBytes)
	nod.repeats.SetBounds(set.Bounds.RepeatRatio, set.Bounds.RepeatSlack)
	nod.log.Info("settings reloaded", "bounds", set.Bounds, "formerBounds", *former, "memoryBytes", set.MemoryBytes,
		"needsRestart", nod.needsRestart(set))
}

// needsRestart reports whether settings changed that a running process keeps as they were.
func (nod *Node) needsRestart(set hostsettings.Settings) bool {
	same := nod.settings
	same.Bounds, same.MemoryBytes = set.Bounds, set.MemoryBytes
	return same != set
}
