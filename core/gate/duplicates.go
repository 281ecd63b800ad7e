package gate

import (
	"context"
	"time"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/dedupe"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

// defaultPayloadSize is the size in bytes that a payload counts for if PayloadSize is not set.
const defaultPayloadSize = 1024

// findOrInsert returns the entry of the call's first delivery, or inserts one and returns true if this is the first.
// The entry is nil if the call may run without being remembered.
func (gat *Gate) findOrInsert(cal call.Call) (*dedupe.Entry, bool, *refusal.Refusal) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	if !gat.policy.On(gatepolicy.Dedupe) {
		return nil, true, nil
	}
	return gat.dedupe.Begin(cal, time.Now())
}

// storeAnswer stores the answer of a first delivery, for duplicates of it.
func (gat *Gate) storeAnswer(ent *dedupe.Entry, ans answer.Answer, payload any) {
	if ent == nil {
		return
	}
	size := 0
	if payload != nil {
		size = defaultPayloadSize
		if gat.PayloadSize != nil {
			size = gat.PayloadSize(payload)
		}
	}
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.dedupe.Settle(ent, ans, payload, size, time.Now())
}

// answerDuplicate waits until the first delivery has ended and returns its stored answer. If the duplicate's deadline
// passes before, or the duplicate is cancelled, it refuses the duplicate with outcome unknown.
func (gat *Gate) answerDuplicate(ctx context.Context, cal call.Call, ent *dedupe.Entry) (answer.Answer, any) {
	gat.mut.Lock()
	gat.duplicates++
	done := ent.Done()
	gat.mut.Unlock()
	timer := time.NewTimer(time.Until(cal.Deadline))
	defer timer.Stop()
	select {
	case <-done:
	default:
		select {
		case <-done:
		case <-timer.C:
			return gat.refuse(cal, refusal.Unknown(reason.RepeatInProgress, "gate.repeat")), nil
		case <-ctx.Done():
			return gat.refuse(cal, refusal.Unknown(reason.RepeatInProgress, "gate.repeat")), nil
		}
	}
	gat.mut.Lock()
	ans, payload := ent.Result()
	gat.mut.Unlock()
	return gat.completeAnswer(cal, ans), payload
}
