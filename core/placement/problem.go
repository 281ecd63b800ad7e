package placement

import (
	"slices"
	"strings"

	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
)

// Problem is a restriction in a configuration that names an unknown region, or that leaves a route without a region.
type Problem struct {
	// Route or Account names the entry. Both are set if the two have no region in common; Account is then the first such
	// account of Accounts.
	Route, Account string
	Accounts       int
	// Regions are the regions that are not known, or those of the account that the route does not allow.
	Regions []string
	// RegionsLeft is the number of regions that remain to the entry.
	RegionsLeft int
}

// accountGroup holds the client accounts with the same regions.
type accountGroup struct {
	regions []string
	first   string
	count   int
}

// Problems returns the problems of a configuration's restrictions: at most one of unknown regions for each route and
// account, and at most one of accounts without a common region for each route. Nothing is reported as unknown if no region
// is known.
func Problems(cfg *configuration.Configuration, known []string) []Problem {
	var problems []Problem
	for index := range cfg.Routes {
		rou := &cfg.Routes[index]
		if unknown := missing(rou.Regions, known); len(unknown) > 0 {
			problems = append(problems, Problem{Route: rou.Name, Regions: unknown, RegionsLeft: len(rou.Regions) - len(unknown)})
		}
	}
	for index := range cfg.Accounts {
		acc := &cfg.Accounts[index]
		if unknown := missing(acc.Regions, known); len(unknown) > 0 {
			problems = append(problems, Problem{Account: acc.Name, Accounts: 1, Regions: unknown, RegionsLeft: len(acc.Regions) - len(unknown)})
		}
	}
	groups := groupAccounts(cfg.Accounts)
	for index := range cfg.Routes {
		rou := &cfg.Routes[index]
		if rou.Open || len(rou.Regions) == 0 {
			continue
		}
		if pro := disjoint(rou.Regions, groups); pro.Accounts > 0 {
			pro.Route = rou.Name
			problems = append(problems, pro)
		}
	}
	return problems
}

// missing returns the regions that are not known.
func missing(regions, known []string) []string {
	var unknown []string
	for _, region := range regions {
		if len(known) > 0 && !slices.Contains(known, region) {
			unknown = append(unknown, region)
		}
	}
	return unknown
}

// groupAccounts returns the restricted accounts by their regions. There are few different lists, so that comparing each
// route with each group is cheap also where there are thousands of routes and accounts.
func groupAccounts(accounts []clientaccount.ClientAccount) []accountGroup {
	var groups []accountGroup
	byRegions := map[string]int{}
	for index := range accounts {
		acc := &accounts[index]
		if len(acc.Regions) == 0 {
			continue
		}
		key := strings.Join(acc.Regions, "\x00")
		at, found := byRegions[key]
		if !found {
			at = len(groups)
			byRegions[key] = at
			groups = append(groups, accountGroup{regions: acc.Regions, first: acc.Name})
		}
		groups[at].count++
	}
	return groups
}

// disjoint returns the problem of the accounts that have no region in common with a route; it has no accounts if there are
// none.
func disjoint(regions []string, groups []accountGroup) Problem {
	var pro Problem
	for _, gro := range groups {
		if slices.ContainsFunc(regions, func(region string) bool { return slices.Contains(gro.regions, region) }) {
			continue
		}
		if pro.Accounts == 0 {
			pro.Account, pro.Regions = gro.first, gro.regions
		}
		pro.Accounts += gro.count
	}
	return pro
}
