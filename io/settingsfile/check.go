package settingsfile

import (
	"net/netip"

	"flamingoreach/io/tomldocument"
)

// check reports values that contradict each other or that are not allowed.
func (set *Settings) check(doc *tomldocument.Document) {
	set.checkFleet(doc)
	set.checkListeners(doc)
	set.checkTLS(doc)
}

func (set *Settings) checkFleet(doc *tomldocument.Document) {
	if len(set.Fleet.DataCentres) == 0 {
		doc.AddProblem("fleet.dataCentres", "names no data centre")
		return
	}
	region, found := set.Fleet.DataCentres[set.Node.DataCentre]
	switch {
	case set.Node.DataCentre == "" || set.Node.Region == "":
	case !found:
		doc.AddProblem("node.dataCentre", "%q is not in fleet.dataCentres", set.Node.DataCentre)
	case region != set.Node.Region:
		doc.AddProblem("node.region", "is %q, but fleet.dataCentres has %q in %q", set.Node.Region, set.Node.DataCentre, region)
	}
	if set.Fleet.StoreRegion != "" && !hasRegion(set.Fleet.DataCentres, set.Fleet.StoreRegion) {
		doc.AddProblem("fleet.storeRegion", "%q has no data centre in fleet.dataCentres", set.Fleet.StoreRegion)
	}
}

func hasRegion(dataCentres map[string]string, want string) bool {
	for _, region := range dataCentres {
		if region == want {
			return true
		}
	}
	return false
}

func (set *Settings) checkListeners(doc *tomldocument.Document) {
	listeners := []struct {
		key  string
		addr netip.AddrPort
	}{
		{"listen.callers", set.Listen.Callers},
		{"listen.backendServer", set.Listen.BackendServer},
		{"listen.peers", set.Listen.Peers},
		{"listen.operators", set.Listen.Operators},
	}
	for idx, second := range listeners {
		for _, first := range listeners[:idx] {
			if overlap(first.addr, second.addr) {
				doc.AddProblem(second.key, "%s is taken by %s", second.addr, first.key)
			}
		}
	}
	if addr := set.Listen.BackendServer; addr.IsValid() && !addr.Addr().IsLoopback() {
		doc.AddProblem("listen.backendServer", "%s is not a loopback address", addr)
	}
	if addr := set.Listen.Operators; addr.IsValid() && !addr.Addr().IsLoopback() && len(set.Operators.TokenHashes) == 0 {
		doc.AddProblem("listen.operators", "%s is not a loopback address, so operators.tokenHashes must hold a hash", addr)
	}
}

func overlap(first, second netip.AddrPort) bool {
	if !first.IsValid() || !second.IsValid() || first.Port() == 0 || first.Port() != second.Port() {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

func (set *Settings) checkTLS(doc *tomldocument.Document) {
	files := map[string]string{"tls.authority": set.TLS.Authority, "tls.certificate": set.TLS.Certificate, "tls.key": set.TLS.Key}
	given := 0
	for _, file := range files {
		if file != "" {
			given++
		}
	}
	if given == 0 || given == len(files) {
		return
	}
	for key, file := range files {
		if file == "" {
			doc.AddProblem(key, "is missing while other keys of the table are set")
		}
	}
}
