package hostsettings

import (
	"net/netip"
	"time"
)

// Settings are one process's; all fields are checked where they are decoded.
type Settings struct {
	// Name is the host's.
	Name       string
	Host       netip.Addr
	DataCentre string
	Region     string
	// Service is that of the backend server beside the node.
	Service string
	// BackendServer is its address; Announcements of the backend server go before it.
	BackendServer netip.AddrPort
	// Callers takes the calls of the host's callers and of its backend server, Announcements those of the latter about
	// itself, Ready the platform's question whether the host takes work, Peers other nodes, Metrics readers of metrics.
	Callers       netip.AddrPort
	Announcements netip.AddrPort
	Ready         netip.AddrPort
	Peers         netip.AddrPort
	Metrics       netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// MemoryBytes is the most that the process may use.
	MemoryBytes int64
	// Cores is the process's share of the processor, in cores.
	Cores float64
	// LinkBytes is the capacity of the host's own link, in bytes per second.
	LinkBytes int
	Bounds    Bounds
}

// Bounds are the promises that the fleet's operators ask for.
type Bounds struct {
	// RepeatRatio and RepeatSlack bound the repeats to a service: per call, and beyond that in one window.
	RepeatRatio float64
	RepeatSlack float64
	// StopTime is the time between a request to stop and the end of the process by force.
	StopTime time.Duration
	// ConfigurationTime is the time in which an accepted version must be in force.
	ConfigurationTime time.Duration
}
