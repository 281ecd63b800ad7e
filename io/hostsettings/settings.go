package hostsettings

import (
	"net/netip"
	"time"
)

// Settings are the settings of one node process. The decoder has checked that the addresses are valid, that DataCentre
// and Service are not empty, and that Cores and the times of Bounds are positive.
type Settings struct {
	// Name is the name of the host, and Host its IP address.
	Name       string
	Host       netip.Addr
	DataCentre string
	Region     string
	// Service is the service of the backend server on this host.
	Service string
	// BackendServer is the backend server's address; the address in its announcements takes precedence.
	BackendServer netip.AddrPort
	// The addresses of the node's listeners: Callers for requests of the host's callers and of its backend server,
	// Announcements for the backend server's heartbeats, Ready for the platform's readiness probe, Peers for other nodes
	// and Metrics for requests that read the metrics.
	Callers       netip.AddrPort
	Announcements netip.AddrPort
	Ready         netip.AddrPort
	Peers         netip.AddrPort
	Metrics       netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// Descriptors is the number of sockets that the process may have open, or 0 if that is not known.
	Descriptors int
	// Cores is the process's share of the processor, in cores.
	Cores float64
	// LinkBytes is a rate: the capacity of the host's own link, in bytes per second. The settings do not state the
	// capacity of the link between regions; the node's budget for that link assumes this value for all hosts of a
	// region together.
	LinkBytes int
	// Regions are the regions of all data centres that the settings list, sorted; empty if they list none.
	Regions []string
	Bounds  Bounds
}

// Bounds are the limits that the operators set for the fleet. The field names are written to the log.
type Bounds struct {
	// RepeatRatio and RepeatSlack bound the retries to a service: retries per call, and further retries in one window.
	// The names say repeat instead of retry because the log shows them.
	RepeatRatio float64
	RepeatSlack float64
	// StopTime is the time between the request to stop the process and its forced end.
	StopTime time.Duration
	// ConfigurationTime is the time within which an accepted configuration version must take effect.
	ConfigurationTime time.Duration
	// A cold backend server may receive ColdFactor times its cold rate plus ColdSlack requests in a second. A ColdFactor of
	// 0 means that there is no such bound.
	ColdFactor float64
	ColdSlack  float64
	// EvacuationTime is the time after which no request may reach the backend servers of an evacuated data centre.
	EvacuationTime time.Duration
}
