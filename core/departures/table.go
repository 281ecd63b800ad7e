package departures

import (
	"maps"
	"net/netip"
	"time"

	"flamingoreach/core/departure"
)

// maxHosts bounds the hosts whose departures are kept. It is above the number of hosts of the largest fleet.
const maxHosts = 8192

// sweepInterval is the time between two searches for departures that are too old.
const sweepInterval = time.Minute

// Table holds the latest departure of each host. It is control state: its methods are called on the control thread only.
type Table struct {
	entries map[netip.AddrPort]entry
	sweptAt time.Time
}

// entry is a departure with the time at which it was recorded. Its age counts from then, because the clocks of two hosts
// may differ.
type entry struct {
	departure  departure.Departure
	recordedAt time.Time
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[netip.AddrPort]entry{}} }

// Record keeps a departure unless a later one of the same host is known. The oldest one is dropped if there are too many.
func (tab *Table) Record(dep departure.Departure) {
	now := time.Now()
	if known, found := tab.Of(dep.Host); found && !dep.Replaces(known) {
		return
	}
	if now.Sub(tab.sweptAt) >= sweepInterval {
		tab.sweptAt = now
		maps.DeleteFunc(tab.entries, func(_ netip.AddrPort, ent entry) bool { return ent.expired(now) })
	}
	if _, known := tab.entries[dep.Host]; !known && len(tab.entries) >= maxHosts {
		tab.dropOldest()
	}
	tab.entries[dep.Host] = entry{departure: dep, recordedAt: now}
}

func (tab *Table) dropOldest() {
	var oldest netip.AddrPort
	for host, ent := range tab.entries {
		if !oldest.IsValid() || ent.recordedAt.Before(tab.entries[oldest].recordedAt) {
			oldest = host
		}
	}
	delete(tab.entries, oldest)
}

// Of returns the latest departure of a host, and false if none is known.
func (tab *Table) Of(host netip.AddrPort) (departure.Departure, bool) {
	ent, found := tab.entries[host]
	if !found || ent.expired(time.Now()) {
		return departure.Departure{}, false
	}
	return ent.departure, true
}

// Len returns the number of departures that are kept.
func (tab *Table) Len() int { return len(tab.entries) }

func (ent entry) expired(now time.Time) bool { return now.Sub(ent.recordedAt) > departure.Retention }
