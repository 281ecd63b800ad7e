package directory_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
	"flamingoreach/core/directory"
	"flamingoreach/core/keyhash"
	"flamingoreach/core/route"
)

func TestRouteTakesTheLongestPrefixOnASegmentBorder(t *testing.T) {
	dir := directory.New(configuration.Configuration{Version: 4, Routes: []route.Route{
		{Name: "quotes", PathPrefix: "/quotes"},
		{Name: "postQuotes", PathPrefix: "/quotes", Method: "POST"},
		{Name: "live", PathPrefix: "/quotes/live", Method: "GET"},
	}}, nil)
	for _, cas := range [][3]string{
		{"GET", "/quotes", "quotes"},
		{"POST", "/quotes/", "postQuotes"},
		{"GET", "/quotes/live/eur?x=/quotes", "live"},
		{"POST", "/quotes/live", "postQuotes"},
		{"GET", "/quotesX", ""},
		{"GET", "", ""},
		{"GET", "quotes", ""},
	} {
		rou, found := dir.Route(cas[0], cas[1])
		require.Equal(t, cas[2], rou.Name, cas)
		require.Equal(t, cas[2] != "", found)
	}
	require.Equal(t, uint64(4), dir.Version())
}

func drawRoutes(t *rapid.T) []route.Route {
	var routes []route.Route
	for _, prefix := range []string{"/", "/a", "/a/b"} {
		for _, method := range []string{"", "GET", "POST"} {
			if rapid.Bool().Draw(t, "listed") {
				routes = append(routes, route.Route{
					Name: method + prefix, Method: method, PathPrefix: prefix,
					Open: rapid.Bool().Draw(t, "open"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
				})
			}
		}
	}
	return routes
}

func drawAccounts(t *rapid.T) []clientaccount.ClientAccount {
	var accounts []clientaccount.ClientAccount
	for _, key := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 4, rapid.ID).Draw(t, "keys") {
		name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
		index := slices.IndexFunc(accounts, func(acc clientaccount.ClientAccount) bool { return acc.Name == name })
		if index < 0 {
			index = len(accounts)
			accounts = append(accounts, clientaccount.ClientAccount{Name: name, Rate: rapid.Float64Range(1, 9).Draw(t, "rate")})
		}
		accounts[index].Keys = append(accounts[index].Keys, keyhash.Of(string(rune('0'+key))))
	}
	return accounts
}

// requireStricterRoutes checks the routes of the directory of both versions against those of each version.
func requireStricterRoutes(t *rapid.T, currentDir, preparedDir, both *directory.Directory) {
	for _, method := range []string{"GET", "POST", "PUT"} {
		for _, path := range []string{"/", "/a", "/a/b", "/a/b/c", "/ab"} {
			have, found := both.Route(method, path)
			old, inCurrent := currentDir.Route(method, path)
			next, inPrepared := preparedDir.Route(method, path)
			require.Equal(t, inCurrent, found)
			require.Equal(t, old.Name, have.Name)
			require.Equal(t, inCurrent && inPrepared && old.Open && next.Open, have.Open)
			require.False(t, both.IsOpenRoute(have.Name) && !have.Open)
			require.Equal(t, inCurrent && old.Open, currentDir.IsOpenRoute(old.Name))
			require.Equal(t, inCurrent && inPrepared && old.Idempotent && next.Idempotent, have.Idempotent)
		}
	}
}

// Whatever the directory of both versions allows, each version must allow by itself.
func TestPreparedPatchIsEnforcedAsTheStricterOfBoth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := configuration.Configuration{Version: 1, Routes: drawRoutes(t), Accounts: drawAccounts(t)}
		prepared := configuration.Configuration{Version: 2, Routes: drawRoutes(t), Accounts: drawAccounts(t)}
		currentDir, preparedDir := directory.New(current, nil), directory.New(prepared, nil)
		both := directory.New(current, &prepared)
		require.Equal(t, uint64(1), both.Version())
		requireStricterRoutes(t, currentDir, preparedDir, both)
		for key := range 6 {
			has := keyhash.Of(string(rune('0' + key)))
			have, valid := both.Account(has)
			old, inCurrent := currentDir.Account(has)
			next, inPrepared := preparedDir.Account(has)
			require.Equal(t, inCurrent && inPrepared && old.Name == next.Name, valid)
			if valid {
				require.InDelta(t, min(old.Rate, next.Rate), have.Rate, 0)
			}
			_, byID := both.AccountByKeyID(has.ID())
			require.Equal(t, valid, byID)
			require.Equal(t, inCurrent && !valid, both.Withdrawn(has))
		}
	})
}

func large() configuration.Configuration {
	cfg := configuration.Configuration{}
	for index := range 770 {
		name := string(rune('a'+index%26)) + string(rune('a'+index/26))
		cfg.Routes = append(cfg.Routes, route.Route{Name: name, PathPrefix: "/" + name + "/v1"})
		cfg.Accounts = append(cfg.Accounts, clientaccount.ClientAccount{Name: name, Keys: []keyhash.Hash{keyhash.Of(name)}})
	}
	return cfg
}

// BenchmarkNew builds a directory from two versions of 770 routes and accounts, as happens for each prepared patch.
func BenchmarkNew(b *testing.B) {
	current, prepared := large(), large()
	b.ReportAllocs()
	for b.Loop() {
		directory.New(current, &prepared)
	}
}

func BenchmarkLookup(b *testing.B) {
	dir, has := directory.New(large(), nil), keyhash.Of("ba")
	keyID := has.ID()
	b.ReportAllocs()
	for b.Loop() {
		_, routed := dir.Route("GET", "/ba/v1/trades/2026/12")
		_, known := dir.Account(has)
		_, byID := dir.AccountByKeyID(keyID)
		if !routed || !known || !byID {
			b.Fatal("not found")
		}
	}
}
