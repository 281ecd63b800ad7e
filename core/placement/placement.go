package placement

import (
	"slices"

	"flamingoreach/core/member"
)

// Intersect returns the regions that both a route and a client account allow, where an empty list allows all. It reports
// whether there is a restriction; if not, the regions are nil. The result may be one of the arguments and must not be
// changed.
func Intersect(route, account []string) (regions []string, bound bool) {
	switch {
	case len(route) == 0 && len(account) == 0:
		return nil, false
	case len(account) == 0:
		return route, true
	case len(route) == 0:
		return account, true
	}
	regions = make([]string, 0, min(len(route), len(account)))
	for _, region := range route {
		if slices.Contains(account, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}

// Allows reports whether the regions of a call include a region; nil includes all, an empty list none.
func Allows(regions []string, region string) bool {
	return regions == nil || slices.Contains(regions, region)
}

// HasMember reports whether any of the members is in one of a call's regions.
func HasMember(regions []string, members []member.Member) bool {
	for index := range members {
		if Allows(regions, members[index].Region) {
			return true
		}
	}
	return false
}

// Filter returns the members that are in one of a call's regions. Without a restriction it returns its argument and
// allocates nothing.
func Filter(regions []string, members []member.Member) []member.Member {
	if regions == nil {
		return members
	}
	allowed := make([]member.Member, 0, len(members))
	for index := range members {
		if Allows(regions, members[index].Region) {
			allowed = append(allowed, members[index])
		}
	}
	return allowed
}
