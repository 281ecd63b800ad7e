package nodeaddresses

import "net/netip"

// Addresses are the bound addresses of one node.
type Addresses struct {
	Callers       netip.AddrPort `json:"callers"`
	BackendServer netip.AddrPort `json:"backendServer"`
	Peers         netip.AddrPort `json:"peers"`
	Operators     netip.AddrPort `json:"operators"`
}
