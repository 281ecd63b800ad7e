package directory

import (
	"slices"
	"strings"

	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
	"flamingoreach/core/keyhash"
	"flamingoreach/core/route"
)

// Directory is a read-only lookup of routes and accounts, safe for any number of goroutines.
type Directory struct {
	version  uint64
	prepared uint64
	// Routes are by host and path prefix, each list with the entries of one prefix.
	routes   map[string][]route.Route
	accounts []clientaccount.ClientAccount
	// Closed routes are by name; a name with several entries is closed if one of them is.
	closed  map[string]bool
	byHash  map[keyhash.Hash]int
	byKeyID map[string]int
	// Withdrawn keys belong to one of two versions only.
	withdrawn map[keyhash.Hash]bool
}

// New builds the lookup of a configuration; with a prepared one of unknown outcome it is the stricter of both.
func New(cfg configuration.Configuration, prepared *configuration.Configuration) *Directory {
	dir := &Directory{
		version:   cfg.Version,
		routes:    map[string][]route.Route{},
		closed:    map[string]bool{},
		byHash:    map[keyhash.Hash]int{},
		byKeyID:   map[string]int{},
		withdrawn: map[keyhash.Hash]bool{},
	}
	routes, accounts := cfg.Routes, cfg.Accounts
	if prepared != nil {
		dir.prepared = prepared.Version
		routes = stricterRoutes(cfg.Routes, prepared.Routes)
		accounts = stricterAccounts(cfg.Accounts, prepared.Accounts)
	}
	for _, rou := range routes {
		place := rou.Host + rou.PathPrefix
		dir.routes[place] = append(dir.routes[place], rou)
		dir.closed[rou.Name] = dir.closed[rou.Name] || !rou.Open
	}
	dir.accounts = accounts
	for index, acc := range accounts {
		for _, has := range acc.Keys {
			dir.byHash[has] = index
			dir.byKeyID[has.ID()] = index
		}
	}
	if prepared != nil {
		dir.noteWithdrawn(cfg.Accounts)
	}
	return dir
}

func (dir *Directory) noteWithdrawn(accounts []clientaccount.ClientAccount) {
	for _, acc := range accounts {
		for _, has := range acc.Keys {
			if _, valid := dir.byHash[has]; !valid {
				dir.withdrawn[has] = true
			}
		}
	}
}

// Version returns the number of the accepted version, or 0 if none is known.
func (dir *Directory) Version() uint64 { return dir.version }

// Prepared returns the version number of the prepared patch that is enforced too, or 0.
func (dir *Directory) Prepared() uint64 { return dir.prepared }

// Accounts returns all client accounts as they are enforced; the caller must not change them.
func (dir *Directory) Accounts() []clientaccount.ClientAccount { return dir.accounts }

// Route returns the route with the longest matching path prefix that takes the method.
func (dir *Directory) Route(method, path string) (route.Route, bool) {
	if end := strings.IndexAny(path, "?#"); end >= 0 {
		path = path[:end]
	}
	for prefix := path; prefix != ""; prefix = parent(prefix) {
		if rou, found := pick(dir.routes[prefix], method); found {
			return rou, true
		}
	}
	return pick(dir.routes["/"], method)
}

// HostRoute returns the route of a host with the longest prefix that begins the path and takes the method; such
// prefixes begin and end with a slash.
func (dir *Directory) HostRoute(host, method, path string) (route.Route, bool) {
	if end := strings.IndexAny(path, "?#"); end >= 0 {
		path = path[:end]
	}
	for slash := strings.LastIndexByte(path, '/'); slash >= 0; slash = strings.LastIndexByte(path[:slash], '/') {
		if rou, found := pick(dir.routes[host+path[:slash+1]], method); found {
			return rou, true
		}
	}
	return route.Route{}, false
}

// OpenRoute reports whether a route of that name exists and needs no key anywhere; gates ask it for calls without one.
func (dir *Directory) OpenRoute(name string) bool {
	closed, known := dir.closed[name]
	return known && !closed
}

// parent removes the last segment, so that a prefix ends only at a segment's border.
func parent(path string) string { return path[:max(strings.LastIndexByte(path, '/'), 0)] }

// pick prefers a route for just this method to one for all methods.
func pick(routes []route.Route, method string) (route.Route, bool) {
	anyMethod := -1
	for index := range routes {
		switch routes[index].Method {
		case method:
			return routes[index], true
		case "":
			anyMethod = index
		}
	}
	if anyMethod < 0 {
		return route.Route{}, false
	}
	return routes[anyMethod], true
}

// Account returns the client account that a key belongs to.
func (dir *Directory) Account(has keyhash.Hash) (clientaccount.ClientAccount, bool) {
	index, found := dir.byHash[has]
	if !found {
		return clientaccount.ClientAccount{}, false
	}
	return dir.accounts[index], true
}

// KeyByID returns the client account of the key with a short name, as peers send it.
func (dir *Directory) KeyByID(keyID string) (clientaccount.ClientAccount, bool) {
	index, found := dir.byKeyID[keyID]
	if !found {
		return clientaccount.ClientAccount{}, false
	}
	return dir.accounts[index], true
}

// Withdrawn reports whether a key that has no account is being withdrawn by the prepared patch.
func (dir *Directory) Withdrawn(has keyhash.Hash) bool { return dir.withdrawn[has] }

// stricterRoutes takes every method and path at which the versions could differ and what both allow there.
func stricterRoutes(current, prepared []route.Route) []route.Route {
	one := New(configuration.Configuration{Routes: current}, nil)
	two := New(configuration.Configuration{Routes: prepared}, nil)
	methods, prefixes := map[string]bool{"": true}, map[string]bool{}
	for _, rou := range slices.Concat(current, prepared) {
		methods[rou.Method] = true
		prefixes[rou.PathPrefix] = true
	}
	var merged []route.Route
	for prefix := range prefixes {
		for method := range methods {
			if rou, served := stricterRoute(method, prefix, one, two); served {
				merged = append(merged, rou)
			}
		}
	}
	return merged
}

// stricterRoute keeps the current version's target; a route of the prepared version alone is not served yet.
func stricterRoute(method, prefix string, one, two *Directory) (route.Route, bool) {
	merged, inOld := one.Route(method, prefix)
	next, inNext := two.Route(method, prefix)
	merged.Method, merged.PathPrefix = method, prefix
	merged.Open = merged.Open && inNext && next.Open
	merged.Idempotent = merged.Idempotent && inNext && next.Idempotent
	return merged, inOld
}

func stricterAccounts(current, prepared []clientaccount.ClientAccount) []clientaccount.ClientAccount {
	byName := map[string]clientaccount.ClientAccount{}
	for _, acc := range prepared {
		byName[acc.Name] = acc
	}
	var merged []clientaccount.ClientAccount
	for _, acc := range current {
		other, kept := byName[acc.Name]
		if !kept {
			continue
		}
		acc.Rate = min(acc.Rate, other.Rate)
		acc.Burst = min(acc.Burst, other.Burst)
		acc.Weight = min(acc.Weight, other.Weight)
		acc.PriorityBoost = min(acc.PriorityBoost, other.PriorityBoost)
		acc.Keys = slices.DeleteFunc(slices.Clone(acc.Keys), func(has keyhash.Hash) bool {
			return !slices.Contains(other.Keys, has)
		})
		merged = append(merged, acc)
	}
	return merged
}
