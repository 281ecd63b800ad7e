package view

import (
	"slices"

	"flamingoreach/core/configuration"
	"flamingoreach/core/directory"
	"flamingoreach/core/evacuation"
	"flamingoreach/core/keyowner"
	"flamingoreach/core/member"
	"flamingoreach/core/placement"
)

// View is a snapshot of the configuration and the members, used for handling calls; it is not changed once published.
type View struct {
	// Configuration is the version in force, or nil before the first one is known.
	Configuration *configuration.Configuration
	Directory     *directory.Directory
	// Self is this node's own entry.
	Self    member.Member
	Members []member.Member
	// Evacuation holds the data centres whose members take no new work.
	Evacuation evacuation.Evacuation

	// Owners holds the owners of idempotency keys of this node's own service.
	Owners *keyowner.Owners

	// serving and all hold members by service.
	serving map[string][]member.Member
	all     map[string][]member.Member
}

// New returns a view; the arguments must not be changed afterwards.
func New(cfg *configuration.Configuration, dir *directory.Directory, self member.Member, members []member.Member) *View {
	return build(cfg, dir, self, members, evacuation.Evacuation{})
}

func build(cfg *configuration.Configuration, dir *directory.Directory, self member.Member, members []member.Member, eva evacuation.Evacuation) *View {
	vie := &View{
		Configuration: cfg, Directory: dir, Self: self, Members: members, Evacuation: eva, Owners: &keyowner.Owners{},
		serving: map[string][]member.Member{}, all: map[string][]member.Member{},
	}
	for _, mem := range members {
		vie.all[mem.Service] = append(vie.all[mem.Service], mem)
		if takesWork(mem) && !eva.Includes(mem.DataCentre) {
			vie.serving[mem.Service] = append(vie.serving[mem.Service], mem)
		}
	}
	return vie
}

func takesWork(mem member.Member) bool { return mem.State == "serving" || mem.State == "warming" }

// IsEvacuated reports whether members of a service in the allowed regions take no new work only because their data centres
// are evacuated.
func (vie *View) IsEvacuated(service string, regions []string) bool {
	return slices.ContainsFunc(vie.all[service], func(mem member.Member) bool {
		return takesWork(mem) && placement.Allows(regions, mem.Region) && vie.Evacuation.Includes(mem.DataCentre)
	})
}

// Serving returns the members of a service that take new work.
func (vie *View) Serving(service string) []member.Member { return vie.serving[service] }

// All returns all members of a service, including those that take no new work.
func (vie *View) All(service string) []member.Member { return vie.all[service] }

// Peers returns the other nodes of a service.
func (vie *View) Peers(service string) []member.Member {
	var peers []member.Member
	for _, mem := range vie.all[service] {
		if mem.ID != vie.Self.ID {
			peers = append(peers, mem)
		}
	}
	return peers
}

// WithConfiguration returns a copy with another configuration.
func (vie *View) WithConfiguration(cfg *configuration.Configuration, dir *directory.Directory) *View {
	next := *vie
	next.Configuration = cfg
	next.Directory = dir
	return &next
}

// WithMembers returns a copy with other members. Members of this node's own service that are lost are kept in the
// record of key owners.
func (vie *View) WithMembers(self member.Member, members []member.Member) *View {
	next := build(vie.Configuration, vie.Directory, self, members, vie.Evacuation)
	next.Owners = vie.Owners.WithMembers(next.All(self.Service))
	return next
}

// WithEvacuation returns a copy with other evacuated data centres.
func (vie *View) WithEvacuation(eva evacuation.Evacuation) *View {
	next := build(vie.Configuration, vie.Directory, vie.Self, vie.Members, eva)
	next.Owners = vie.Owners
	return next
}
