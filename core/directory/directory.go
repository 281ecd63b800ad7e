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
	// routes maps host and path prefix to the routes of that prefix, which differ in their methods.
	routes   map[string][]route.Route
	accounts []clientaccount.ClientAccount
	// closed maps the name of each route to whether any route of that name requires a key.
	closed  map[string]bool
	byHash  map[keyhash.Hash]int
	byKeyID map[string]int
	// withdrawn holds the keys of the current version that the prepared patch removes from their accounts.
	withdrawn map[keyhash.Hash]bool
}

// New builds the directory of a configuration. If there is also a prepared patch, which may or may not be accepted, the
// directory allows only what both versions allow.
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
		key := rou.Host + rou.PathPrefix
		dir.routes[key] = append(dir.routes[key], rou)
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

// Prepared returns the version number of the prepared patch that is enforced as well, or 0.
func (dir *Directory) Prepared() uint64 { return dir.prepared }

// Accounts returns all client accounts with their limits as enforced; the caller must not change them.
func (dir *Directory) Accounts() []clientaccount.ClientAccount { return dir.accounts }

// Route returns the route without a host that has the longest matching path prefix and accepts the method.
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

// HostRoute returns the route of a host that has the longest matching path prefix and accepts the method. Path prefixes
// of routes with a host begin and end with a slash.
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

// IsOpenRoute reports whether routes of that name exist and none of them requires a key. Gates use it to check calls
// without a key.
func (dir *Directory) IsOpenRoute(name string) bool {
	closed, known := dir.closed[name]
	return known && !closed
}

// parent removes the last segment of a path, as prefixes match whole segments only.
func parent(path string) string { return path[:max(strings.LastIndexByte(path, '/'), 0)] }

// pick returns the route for the method, or else the route for all methods.
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

// AccountByKeyID returns the client account of the key with an ID; peers send the ID of a key instead of the key.
func (dir *Directory) AccountByKeyID(keyID string) (clientaccount.ClientAccount, bool) {
	index, found := dir.byKeyID[keyID]
	if !found {
		return clientaccount.ClientAccount{}, false
	}
	return dir.accounts[index], true
}

// Withdrawn reports whether a key is no longer valid because the prepared patch withdraws it.
func (dir *Directory) Withdrawn(has keyhash.Hash) bool { return dir.withdrawn[has] }

// stricterRoutes returns a route for each method and path prefix that occurs in either version, with what both versions
// allow there.
func stricterRoutes(current, prepared []route.Route) []route.Route {
	currentDir := New(configuration.Configuration{Routes: current}, nil)
	preparedDir := New(configuration.Configuration{Routes: prepared}, nil)
	methods, prefixes := map[string]bool{"": true}, map[string]bool{}
	for _, rou := range slices.Concat(current, prepared) {
		methods[rou.Method] = true
		prefixes[rou.PathPrefix] = true
	}
	var merged []route.Route
	for prefix := range prefixes {
		for method := range methods {
			if rou, served := stricterRoute(method, prefix, currentDir, preparedDir); served {
				merged = append(merged, rou)
			}
		}
	}
	return merged
}

// stricterRoute returns the current version's route at a prefix, open or idempotent only if it is so in both versions.
// A route that only the prepared version has is not served yet.
func stricterRoute(method, prefix string, currentDir, preparedDir *Directory) (route.Route, bool) {
	merged, inCurrent := currentDir.Route(method, prefix)
	other, inPrepared := preparedDir.Route(method, prefix)
	merged.Method, merged.PathPrefix = method, prefix
	merged.Open = merged.Open && inPrepared && other.Open
	merged.Idempotent = merged.Idempotent && inPrepared && other.Idempotent
	return merged, inCurrent
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
