package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingoreach/core/member"
	"flamingoreach/core/membership/update"
)

// entry is a member with its liveness and its places in the indexes of the list.
type entry struct {
	member   member.Member
	liveness string
	// since is when the last update was accepted or the liveness changed; for a suspect, pauses of this process are added.
	since time.Time
	// challenged is set once this node has probed the suspect itself at challengeTime.
	challenged bool
	// hash covers the ID and the incarnation; as each change that a member announces raises its incarnation, it covers
	// all of the member's own fields.
	hash uint64
	// position is the member's place on the ring of its data centre.
	position uint64
}

// dataCentre holds the live members of one data centre and a digest of them.
type dataCentre struct {
	digest uint64
	live   []*entry
	// lastContact is when an exchange message from one of its nodes was last received.
	lastContact time.Time
}

// position returns a member's place on the probe ring of its data centre.
func position(id string) uint64 { return xxhash.Sum64String(id) }

func (ent *entry) isLive() bool { return ent.liveness == alive || ent.liveness == suspect }

// update returns the entry as it is sent to nodes of the same data centre.
func (ent *entry) update() update.Update {
	return update.Update{Member: ent.member, Liveness: ent.liveness}
}

// updateWithoutSuspicion is like update but reports a suspect as alive, because only nodes of the member's own data
// centre can confirm or refute a suspicion.
func (ent *entry) updateWithoutSuspicion() update.Update {
	upd := ent.update()
	if upd.Liveness == suspect {
		upd.Liveness = alive
	}
	return upd
}

func hashOf(mem member.Member) uint64 {
	dig := xxhash.New()
	_, _ = dig.WriteString(mem.ID)
	_, _ = dig.Write(binary.BigEndian.AppendUint64(nil, mem.Incarnation))
	return dig.Sum64()
}

// index adds a live entry to all lookup tables and digests.
func (lis *List) index(ent *entry) {
	ent.hash = hashOf(ent.member)
	lis.digest ^= ent.hash
	cen := lis.dataCentre(ent.member.DataCentre)
	cen.digest ^= ent.hash
	cen.live = insert(cen.live, ent, byID)
	lis.live = insert(lis.live, ent, byID)
	lis.services[ent.member.Service] = insert(lis.services[ent.member.Service], ent, byID)
	if ent != lis.self && ent.member.DataCentre == lis.self.member.DataCentre {
		lis.ring = insert(lis.ring, ent, byPosition)
	}
}

// unindex reverses index; it must be called before the entry changes.
func (lis *List) unindex(ent *entry) {
	lis.digest ^= ent.hash
	cen := lis.dataCentre(ent.member.DataCentre)
	cen.digest ^= ent.hash
	cen.live = remove(cen.live, ent, byID)
	lis.live = remove(lis.live, ent, byID)
	service := ent.member.Service
	lis.services[service] = remove(lis.services[service], ent, byID)
	if len(lis.services[service]) == 0 {
		delete(lis.services, service)
	}
	if ent != lis.self && ent.member.DataCentre == lis.self.member.DataCentre {
		lis.ring = remove(lis.ring, ent, byPosition)
	}
}

func (lis *List) dataCentre(name string) *dataCentre {
	cen, known := lis.dataCentres[name]
	if !known {
		cen = &dataCentre{}
		lis.dataCentres[name] = cen
	}
	return cen
}

func byID(ent, other *entry) int { return strings.Compare(ent.member.ID, other.member.ID) }

func byPosition(ent, other *entry) int {
	return cmp.Or(cmp.Compare(ent.position, other.position), byID(ent, other))
}

func insert(entries []*entry, ent *entry, compare func(ent, other *entry) int) []*entry {
	at, found := slices.BinarySearchFunc(entries, ent, compare)
	if found {
		return entries
	}
	return slices.Insert(entries, at, ent)
}

func remove(entries []*entry, ent *entry, compare func(ent, other *entry) int) []*entry {
	at, found := slices.BinarySearchFunc(entries, ent, compare)
	if !found {
		return entries
	}
	return slices.Delete(entries, at, at+1)
}
