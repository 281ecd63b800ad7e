package lease

import (
	"slices"
	"time"

	"flamingoreach/core/grant"
)

func (lea *Lease) leasedUntil() time.Time {
	if lea.renewedAt.IsZero() {
		return time.Time{}
	}
	return lea.renewedAt.Add(Duration)
}

// updateState fires the events that follow from the clock and from the answers of the members.
func (lea *Lease) updateState(now time.Time) {
	lea.majorityUntil = time.Time{}
	if at, ok := lea.majority(lea.answeredAt, now); ok {
		lea.majorityUntil = at.Add(AnswerWindow)
	}
	lea.openGrants(now)
	if now.Before(lea.leasedUntil()) {
		lea.fire("renewed")
		return
	}
	lea.fire("leaseExpired")
	if !lea.answeredByMajority() {
		lea.fire("unheard")
	}
}

func (lea *Lease) answeredByMajority() bool { return time.Now().Before(lea.majorityUntil) }

// majority returns the latest time that more than half of the members have reached or passed.
func (lea *Lease) majority(times map[string]time.Time, now time.Time) (time.Time, bool) {
	members := lea.Members()
	var reached []time.Time
	for _, id := range members {
		if id == lea.id {
			reached = append(reached, now)
		} else if at, ok := times[id]; ok {
			reached = append(reached, at)
		}
	}
	need := len(members)/2 + 1
	if len(reached) < need {
		return time.Time{}, false
	}
	slices.SortFunc(reached, func(one, other time.Time) int { return other.Compare(one) })
	return reached[need-1], true
}

// majorityLeftEarlierLeaders returns the earliest time since which more than half of the members have answered no
// earlier leader.
func (lea *Lease) majorityLeftEarlierLeaders() (time.Time, bool) {
	members := lea.Members()
	var left []time.Time
	for _, id := range members {
		if id == lea.id {
			left = append(left, lea.began)
		} else if at, ok := lea.leftEarlierLeadersAt[id]; ok {
			left = append(left, at)
		}
	}
	need := len(members)/2 + 1
	if len(left) < need {
		return time.Time{}, false
	}
	slices.SortFunc(left, time.Time.Compare)
	return left[need-1], true
}

// openGrants determines from when this leader may grant: when the last tokens of earlier leaders have expired.
// An earlier leader granted only within its lease, which had ended at firstRenewedAt, or while a majority answered it.
func (lea *Lease) openGrants(now time.Time) {
	if lea.grantsFrom.IsZero() {
		left, ok := lea.majorityLeftEarlierLeaders()
		if !ok {
			return
		}
		end := left.Add(AnswerWindow + ClockMargin)
		if lea.firstRenewedAt.After(end) {
			end = lea.firstRenewedAt
		}
		lea.grantsFrom = end.Add(grant.TokenValidity + grant.ClockMargin)
	}
	if !now.Before(lea.grantsFrom) {
		lea.fire("opened")
	}
}
