package keyowner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"flamingoreach/core/call"
	"flamingoreach/core/member"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

const (
	// keyRetention is how long a lost member is remembered; callers must not send a call again after that time.
	keyRetention = 10 * time.Minute
	// failureDetectionTime is the longest time until the failure of a member is detected, plus the difference between
	// two clocks.
	failureDetectionTime = 15 * time.Second
	// retryAfter is the time after which two nodes agree on the members again, and so on the owner.
	retryAfter = time.Second
)

// Owners holds the members of one service and its recently lost ones; it is never changed once published.
type Owners struct {
	members []member.Member
	lost    []lostMember
}

type lostMember struct {
	id     string
	lostAt time.Time
}

// Needed reports whether a call must go to the owner of its key: it has an idempotency key and must not run twice.
func Needed(cal call.Call) bool { return cal.IdempotencyKey != "" && !cal.Idempotent }

// RefusesAllCalls reports whether a refusal with this reason means that the member refuses all calls for now. If it is
// the owner of a key, another member may then act for it.
func RefusesAllCalls(why reason.Reason) bool {
	switch why {
	case reason.Draining, reason.BackendServerDown, reason.DataCentreEvacuated, reason.EvacuationUnknown:
		return true
	}
	return false
}

// Of returns the owner of a call's key among the members of its service, and false if there are none.
func Of(cal call.Call, members []member.Member) (member.Member, bool) {
	if len(members) == 0 {
		return member.Member{}, false
	}
	best, highest := members[0], weight(cal, members[0].ID)
	for _, mem := range members[1:] {
		if wei := weight(cal, mem.ID); wei > highest {
			best, highest = mem, wei
		}
	}
	return best, true
}

func weight(cal call.Call, id string) uint64 {
	dig := xxhash.New()
	for _, part := range []string{cal.Account, cal.Route, cal.IdempotencyKey, id} {
		_, _ = dig.WriteString(part)
		_, _ = dig.Write([]byte{0})
	}
	return dig.Sum64()
}

// WithMembers returns the owners for a changed list of the service's members.
func (own *Owners) WithMembers(members []member.Member) *Owners {
	now := time.Now()
	next := &Owners{members: slices.Clone(members)}
	for _, los := range own.lost {
		if now.Sub(los.lostAt) < keyRetention {
			next.lost = append(next.lost, los)
		}
	}
	for _, old := range own.members {
		gone := !slices.ContainsFunc(members, func(mem member.Member) bool { return mem.ID == old.ID })
		if gone {
			next.lost = append(next.lost, lostMember{id: old.ID, lostAt: now})
		}
	}
	return next
}

// Check refuses a call whose key is owned by another member, or that a lost member may have run.
func (own *Owners) Check(cal call.Call, self string) *refusal.Refusal {
	if !Needed(cal) {
		return nil
	}
	ownWeight := weight(cal, self)
	for _, mem := range own.members {
		if takesCalls(mem) && weight(cal, mem.ID) > ownWeight {
			ref := refusal.NotRun(reason.NotHome, "find home of idempotency key")
			ref.RetryAfter = retryAfter
			return ref
		}
	}
	for _, los := range own.lost {
		if weight(cal, los.id) > ownWeight && mayPredate(cal.IdempotencyKey, los.lostAt) {
			return refusal.Unknown(reason.HomeLost, "find home of idempotency key")
		}
	}
	return nil
}

func takesCalls(mem member.Member) bool { return mem.State == "serving" || mem.State == "warming" }

// mayPredate reports whether a key may have been made before the loss of a member was detected. Only a UUID of
// version 7 carries its time; any other key may be older.
func mayPredate(key string, lost time.Time) bool {
	if time.Since(lost) >= keyRetention {
		return false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return true
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds).Before(lost.Add(failureDetectionTime))
}
