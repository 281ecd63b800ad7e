package pick

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/keyowner"
	"flamingoreach/core/locality"
	"flamingoreach/core/mechanism"
	"flamingoreach/core/member"
)

// Picker chooses backend servers by this node's observations of them; it is safe for concurrent use.
type Picker struct {
	// Random returns a random number below its argument; tests replace it.
	Random func(below int) int
	// Uses reports whether a mechanism of the overload policy is on.
	Uses func(mec mechanism.Mechanism) bool
	// MaySpill reports whether one more call may go to another region, and counts that call against the link's budget.
	MaySpill func() bool

	self         locality.Locality
	observations sync.Map
	ejections    atomic.Uint64
	// callers is the number of nodes among which the cold rates of members are divided.
	callers atomic.Int64
	// returns maps each data centre whose load returns after an evacuation to its return; nil if there is none.
	returns atomic.Pointer[map[string]dataCentreReturn]
}

// New returns a picker for a node in the given region and data centre.
func New(self locality.Locality) *Picker {
	return &Picker{self: self, Random: rand.IntN, MaySpill: func() bool { return true }, Uses: func(mechanism.Mechanism) bool { return true }}
}

func (pic *Picker) observe(id string) *observation {
	if obs, known := pic.observations.Load(id); known {
		return obs.(*observation)
	}
	obs, _ := pic.observations.LoadOrStore(id, &observation{
		pic: pic, state: ejection.Initial(), latency: initialLatency, levels: map[string]levelReport{},
	})
	return obs.(*observation)
}

// Choose returns the member for the next attempt of a call, and false if none is left. Candidates are the members of
// the call's service that take new work; tried lists the IDs of the members already tried. Calls whose idempotency key
// has an owner go to that owner. Other calls go to the better of two random members among the nearest that are
// eligible, or farther if that one is highly loaded.
func (pic *Picker) Choose(cal call.Call, candidates []member.Member, tried []string) (member.Member, bool) {
	if keyowner.Needed(cal) {
		return chooseOwner(cal, candidates, tried)
	}
	for distance := pic.firstDistance(); distance < locality.Distances; distance++ {
		near := pic.eligible(cal, candidates, tried, distance)
		if len(near) == 0 {
			continue
		}
		if distance == locality.OtherRegion && !pic.MaySpill() {
			break
		}
		best := pic.betterOfTwo(near)
		// If the member in the same data centre is highly loaded, those of the whole region are considered.
		if distance == locality.SameDataCentre && pic.observe(best.ID).recentLoad() > highLoad {
			best = pic.betterOfTwo(pic.eligible(cal, candidates, tried, locality.SameRegion))
		}
		if distance < locality.OtherRegion {
			best = pic.spillToOtherRegion(cal, candidates, tried, best)
		}
		return best, true
	}
	return member.Member{}, false
}

// firstDistance returns the distance up to which members are considered first; without the mechanism of locality, these
// are the members of all regions.
func (pic *Picker) firstDistance() int {
	if pic.Uses(mechanism.Locality) {
		return locality.SameDataCentre
	}
	return locality.OtherRegion
}

// chooseOwner returns the owner of the call's idempotency key, so that a duplicate delivery gets the stored answer. If
// the owner was tried, it returns the member that all nodes agree on as the next owner.
func chooseOwner(cal call.Call, candidates []member.Member, tried []string) (member.Member, bool) {
	untried := slices.DeleteFunc(slices.Clone(candidates), func(mem member.Member) bool { return slices.Contains(tried, mem.ID) })
	return keyowner.Of(cal, untried)
}

// eligible lists the untried members up to a distance that are not ejected and admit the call's priority.
func (pic *Picker) eligible(cal call.Call, candidates []member.Member, tried []string, distance int) []member.Member {
	near := make([]member.Member, 0, len(candidates))
	ejects, levels := pic.Uses(mechanism.Ejection), pic.Uses(mechanism.AdmissionLevel)
	for _, mem := range candidates {
		if pic.distance(mem) > distance || slices.Contains(tried, mem.ID) {
			continue
		}
		obs := pic.observe(mem.ID)
		if (!ejects || !obs.isEjected()) && (!levels || obs.admits(cal.Account, cal.Priority)) {
			near = append(near, mem)
		}
	}
	return near
}

// spillToOtherRegion returns a member in another region if the nearby one reports a load above spillLoad, a member
// there reports none above highLoad, and the budget of the link allows it; otherwise it returns the nearby one.
func (pic *Picker) spillToOtherRegion(cal call.Call, candidates []member.Member, tried []string, near member.Member) member.Member {
	if pic.observe(near.ID).recentLoad() <= spillLoad {
		return near
	}
	far := slices.DeleteFunc(pic.eligible(cal, candidates, tried, locality.OtherRegion), func(mem member.Member) bool {
		return pic.distance(mem) < locality.OtherRegion || pic.observe(mem.ID).recentLoad() > highLoad
	})
	if len(far) == 0 || !pic.MaySpill() {
		return near
	}
	return pic.betterOfTwo(far)
}

// betterOfTwo returns the one with the lower score of two random members.
func (pic *Picker) betterOfTwo(members []member.Member) member.Member {
	first := pic.Random(len(members))
	if len(members) == 1 {
		return members[first]
	}
	second := (first + 1 + pic.Random(len(members)-1)) % len(members)
	if pic.score(members[second]) < pic.score(members[first]) {
		return members[second]
	}
	return members[first]
}

func (pic *Picker) score(mem member.Member) float64 {
	return pic.observe(mem.ID).score(mem.Slots, pic.distance(mem))
}

func (pic *Picker) distance(mem member.Member) int {
	return pic.self.Distance(locality.Locality{Region: mem.Region, DataCentre: mem.DataCentre})
}

// RecordSent records that an attempt is sent to a member.
func (pic *Picker) RecordSent(id string) { pic.observe(id).sent() }

// RecordAnswer records a member's answer or refusal to a client account's call and the time that it took.
func (pic *Picker) RecordAnswer(id, account string, ans answer.Answer, elapsed time.Duration) {
	pic.observe(id).answered(account, ans, elapsed)
}

// RecordCancelled records that an attempt was cancelled before the member answered.
func (pic *Picker) RecordCancelled(id string) { pic.observe(id).cancelled() }

// RecordLost records an attempt without a valid answer. Candidates are the members of the service, of which at most the
// fraction maxEjectedFraction may be ejected.
func (pic *Picker) RecordLost(id string, candidates []member.Member) {
	ejected := 1
	for _, mem := range candidates {
		if mem.ID != id && pic.observe(mem.ID).isEjected() {
			ejected++
		}
	}
	pic.observe(id).lost(float64(ejected) <= maxEjectedFraction*float64(len(candidates)))
}

// Forget drops the observation of a member that has left.
func (pic *Picker) Forget(id string) { pic.observations.Delete(id) }

// Ejections returns the number of ejections so far.
func (pic *Picker) Ejections() uint64 { return pic.ejections.Load() }
