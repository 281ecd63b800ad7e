package dedupe

import (
	"time"

	"github.com/google/uuid"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

// Entry is the table's record of one call.
type Entry struct {
	id          uuid.UUID
	key         scopedKey
	idempotent  bool
	fingerprint uint64
	idExpires   time.Time
	keyExpires  time.Time

	settled bool
	// answerEvicted says that the answer was dropped to keep the table within MaxBytes.
	answerEvicted bool
	// done is made when a duplicate waits and closed when the call has ended.
	done    chan struct{}
	ans     answer.Answer
	payload any
	size    int
	// heldByID and heldByKey say which of the table's maps hold the entry.
	heldByID, heldByKey bool
	// bucket is the second in whose bucket the entry expires.
	bucket int64
}

// scopedKey is an idempotency key with its scope, one account and route.
type scopedKey struct{ account, route, key string }

func scopedKeyOf(cal call.Call) scopedKey {
	return scopedKey{cal.Account, cal.Route, cal.IdempotencyKey}
}

// Settled reports whether the call has ended.
func (ent *Entry) Settled() bool { return ent.settled }

// Done returns a channel that is closed when the call has ended.
func (ent *Entry) Done() <-chan struct{} {
	if ent.done == nil {
		ent.done = make(chan struct{})
		if ent.settled {
			close(ent.done)
		}
	}
	return ent.done
}

// Result returns the answer and the payload of a call that has ended.
func (ent *Entry) Result() (answer.Answer, any) {
	if ent.answerEvicted {
		return answer.Answer{Refusal: ranBefore()}, nil
	}
	return ent.ans, ent.payload
}

// ranBefore refuses a duplicate of a call that ran and whose answer is no longer kept.
func ranBefore() *refusal.Refusal {
	return &refusal.Refusal{Reason: reason.RepeatUnresolved, Outcome: outcome.Ran, Step: "gate.dedupe"}
}

// notRun reports whether the call ended without the backend server having run it.
func (ent *Entry) notRun() bool {
	return ent.ans.Refusal != nil && ent.ans.Refusal.Outcome == outcome.NotRun
}

func (ent *Entry) removed() bool { return !ent.heldByID && !ent.heldByKey }
