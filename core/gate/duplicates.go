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

// unitSize is the size in bytes that an answer counts for when its payload's size is not known.
const unitSize = 1024

// begin finds the first delivery of a call, or notes this one as the first.
func (gat *Gate) begin(cal call.Call) (*dedupe.Entry, bool, *refusal.Refusal) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	if !gat.pol.On(gatepolicy.Dedupe) {
		return nil, true, nil
	}
	return gat.ded.Begin(cal, time.Now())
}

// settle stores the answer of a first delivery.
func (gat *Gate) settle(ent *dedupe.Entry, ans answer.Answer, payload any) {
	if ent == nil {
		return
	}
	size := 0
	if payload != nil {
		size = unitSize
		if gat.PayloadSize != nil {
			size = gat.PayloadSize(payload)
		}
	}
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.ded.Settle(ent, ans, payload, size, time.Now())
}

// repeat answers a repeated delivery from memory, once the first one has ended.
func (gat *Gate) repeat(ctx context.Context, cal call.Call, ent *dedupe.Entry) (answer.Answer, any) {
	gat.mut.Lock()
	gat.repeats++
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
	return gat.fill(cal, ans), payload
}
