package gate

import (
	"context"
	"time"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/dedupe"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/queue"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

// comeBack is the time after which a caller may try again that was refused under overload.
const comeBack = time.Second

// Run admits a call, waits for its turn, executes it at most once and returns its answer with the opaque
// payload that execute returned; a refusal says whether the call ran. A repeated delivery gets the answer of
// the first one. The call must have a deadline.
func (gat *Gate) Run(ctx context.Context, cal call.Call, execute func(ctx context.Context) (answer.Answer, any)) (answer.Answer, any) {
	ans, payload := gat.decide(ctx, cal, execute)
	if gat.Ended != nil {
		gat.Ended(cal, ans)
	}
	return ans, payload
}

func (gat *Gate) decide(ctx context.Context, cal call.Call, execute func(ctx context.Context) (answer.Answer, any)) (answer.Answer, any) {
	ent, fresh, ref := gat.begin(cal)
	switch {
	case ref != nil:
		return gat.refuse(cal, ref), nil
	case !fresh:
		return gat.repeat(ctx, cal, ent)
	}
	ans, payload := gat.runOnce(ctx, cal, ent, execute)
	return gat.fill(cal, ans), payload
}

// runOnce runs the first delivery of a call; repeats learn of its end also if execute panics.
func (gat *Gate) runOnce(ctx context.Context, cal call.Call, ent *dedupe.Entry, execute func(ctx context.Context) (answer.Answer, any)) (ans answer.Answer, payload any) {
	ans.Refusal = refusal.Unknown(reason.Internal, "gate.execute")
	defer func() { gat.settle(ent, ans, payload) }()
	if ref := gat.admit(ctx, cal); ref != nil {
		ans = answer.Answer{AllowanceLeft: cal.Allowance, Refusal: ref}
		return ans, nil
	}
	return gat.execute(ctx, cal, execute)
}

// refuse counts a refusal and returns its answer.
func (gat *Gate) refuse(cal call.Call, ref *refusal.Refusal) answer.Answer {
	gat.mut.Lock()
	gat.refused[ref.Reason]++
	gat.mut.Unlock()
	return gat.fill(cal, answer.Answer{AllowanceLeft: cal.Allowance, Refusal: ref})
}

// admit returns nil once the call holds a slot, or the refusal.
func (gat *Gate) admit(ctx context.Context, cal call.Call) *refusal.Refusal {
	gat.mut.Lock()
	wai, ref := gat.enter(cal, time.Now())
	gat.mut.Unlock()
	if wai != nil {
		ref = gat.await(ctx, cal, wai)
	}
	if ref == nil {
		if ref = gat.recheck(ctx, cal); ref != nil {
			gat.release(cal)
		}
	}
	if ref != nil {
		gat.mut.Lock()
		gat.refused[ref.Reason]++
		gat.mut.Unlock()
	}
	return ref
}

// recheck refuses a call that holds a slot if what admitted it no longer holds.
func (gat *Gate) recheck(ctx context.Context, cal call.Call) *refusal.Refusal {
	const step = "gate.recheck"
	if ctx.Err() != nil {
		return refusal.NotRun(reason.Cancelled, step)
	}
	now := time.Now()
	if !now.Before(cal.Deadline) {
		return refusal.NotRun(reason.DeadlineExceeded, step)
	}
	gat.mut.Lock()
	down, held := gat.state == Down, gat.quarantined(cal, now)
	gat.mut.Unlock()
	switch {
	case down:
		return elsewhere(reason.BackendServerDown, step)
	case held:
		return refusal.NotRun(reason.Quarantined, step)
	case gat.Recheck != nil:
		return gat.Recheck(cal)
	}
	return nil
}

// enter takes a slot, or a place in the queue, or refuses.
func (gat *Gate) enter(cal call.Call, now time.Time) (*queue.Waiter, *refusal.Refusal) {
	gat.endIntervals(now)
	gat.lev.Saw(cal.Priority)
	if ref := gat.closed(); ref != nil {
		return nil, ref
	}
	if gat.quarantined(cal, now) {
		return nil, refusal.NotRun(reason.Quarantined, "gate.enter")
	}
	if !now.Before(cal.Deadline) {
		return nil, refusal.NotRun(reason.DeadlineExceeded, "gate.enter")
	}
	if gat.free(cal.Depth > 0, now) && gat.que.Ahead(cal.Priority) == 0 {
		gat.take(cal.Depth > 0, now)
		gat.del.Observe(0)
		return nil, nil
	}
	if cal.AtOnce {
		return nil, elsewhere(reason.SlotsInUse, "gate.enter")
	}
	if gat.pol.On(gatepolicy.AdmissionLevel) && !gat.lev.Admits(cal.Priority) && gat.que.Beyond(cal.Account) {
		return nil, overloaded(reason.AdmissionLevel, "gate.enter")
	}
	if gat.pol.On(gatepolicy.SheddingDelay) && cal.Deadline.Sub(now) < gat.expectedWait(cal.Priority)+gat.service {
		return nil, elsewhere(reason.DeadlineTooShort, "gate.enter")
	}
	wai := queue.NewWaiter(cal.Account, cal.Priority, now)
	wai.Deeper = cal.Depth > 0
	switch vic := gat.que.Push(wai); {
	case vic == wai:
		return nil, overloaded(reason.QueueFull, "gate.enter")
	case vic != nil:
		vic.Ready <- overloaded(reason.Shed, "gate.displace")
	}
	return wai, nil
}

// closed returns the refusal of a state that admits no calls.
func (gat *Gate) closed() *refusal.Refusal {
	switch gat.state {
	case Draining:
		return elsewhere(reason.Draining, "gate.enter")
	case Down:
		return elsewhere(reason.BackendServerDown, "gate.enter")
	}
	return nil
}

// expectedWait estimates the time that a call of the given priority would wait.
func (gat *Gate) expectedWait(priority int) time.Duration {
	return gat.service * time.Duration(gat.que.Ahead(priority)+1) / time.Duration(gat.limit())
}

// await returns nil when it is the waiter's turn, or the refusal.
func (gat *Gate) await(ctx context.Context, cal call.Call, wai *queue.Waiter) *refusal.Refusal {
	why, until := reason.QueueTimeout, wai.Arrived.Add(gat.queueWait(cal))
	if cal.Deadline.Before(until) {
		why, until = reason.DeadlineExceeded, cal.Deadline
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case ref := <-wai.Ready:
		return ref
	case <-timer.C:
	case <-ctx.Done():
		why = reason.Cancelled
	}
	return gat.leave(cal, wai, why)
}

// leave gives up a waiter's place, or the slot that it was given at the same moment.
func (gat *Gate) leave(cal call.Call, wai *queue.Waiter, why reason.Reason) *refusal.Refusal {
	gat.mut.Lock()
	removed := gat.que.Remove(wai)
	gat.signalIdle()
	gat.mut.Unlock()
	if !removed {
		if ref := <-wai.Ready; ref != nil {
			return ref
		}
		gat.release(cal)
	}
	if why == reason.QueueTimeout {
		return overloaded(why, "gate.await")
	}
	return refusal.NotRun(why, "gate.await")
}

// queueWait returns the time that a call may wait.
func (gat *Gate) queueWait(cal call.Call) time.Duration {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	if cal.QueueWait > 0 {
		return min(cal.QueueWait, gat.pol.QueueWait)
	}
	return gat.pol.QueueWait
}

// execute runs an admitted call, also gives its slot back if the function panics.
func (gat *Gate) execute(ctx context.Context, cal call.Call, run func(ctx context.Context) (answer.Answer, any)) (ans answer.Answer, payload any) {
	fli := &flight{call: cal, started: time.Now()}
	gat.mut.Lock()
	gat.running[fli] = struct{}{}
	gat.executed++
	gat.mut.Unlock()
	if gat.Started != nil {
		gat.Started(cal)
	}
	ans.Refusal = refusal.Unknown(reason.Internal, "gate.execute")
	defer func() { gat.land(fli, &ans) }()
	ans, payload = run(ctx)
	return ans, payload
}

// land gives the slot of an ended call to the next one.
func (gat *Gate) land(fli *flight, ans *answer.Answer) {
	now := time.Now()
	gat.mut.Lock()
	defer gat.mut.Unlock()
	latency := now.Sub(fli.started)
	if ans.Refusal == nil {
		gat.observe(now, latency)
		if ans.ServiceTime == 0 {
			ans.ServiceTime = latency
		}
	}
	gat.judge(fli, ans, now)
	delete(gat.running, fli)
	gat.giveBack(fli.call)
	gat.endIntervals(now)
	gat.dispatch()
	gat.signalIdle()
}

// observe follows the latency of calls that ended with a whole answer.
func (gat *Gate) observe(now time.Time, latency time.Duration) {
	gat.lim.Observe(now, latency, gat.held)
	if gat.service == 0 {
		gat.service = latency
	}
	gat.service += (latency - gat.service) / serviceSamples
	if gat.state == Warming && !gat.lim.Starting() {
		gat.fire("warmed")
	}
}

// free reports whether a call may have a slot now. Some slots are kept for deeper calls: what their callers have
// done already is lost if they are refused.
func (gat *Gate) free(deeper bool, now time.Time) bool {
	if deeper {
		return gat.held < gat.limit()
	}
	kept := min(gat.deeper.Kept(now), int(gat.pol.KeptForDeeper*float64(gat.limit())))
	return gat.held+kept < gat.limit()
}

// take gives a slot to a call.
func (gat *Gate) take(deeper bool, now time.Time) {
	gat.held++
	if deeper {
		gat.deeper.Began(now)
	}
}

// giveBack frees the slot of a call.
func (gat *Gate) giveBack(cal call.Call) {
	gat.held--
	if cal.Depth > 0 {
		gat.deeper.Ended()
	}
}

// release gives up a slot whose call did not run.
func (gat *Gate) release(cal call.Call) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.giveBack(cal)
	gat.dispatch()
	gat.signalIdle()
}

// dispatch gives free slots to waiting calls.
func (gat *Gate) dispatch() {
	for now := time.Now(); ; {
		if !gat.free(true, now) {
			return
		}
		wai := gat.que.Pop(!gat.free(false, now))
		if wai == nil {
			return
		}
		gat.take(wai.Deeper, now)
		gat.del.Observe(gat.drainTime())
		wai.Ready <- nil
	}
}

// drainTime estimates how long the waiting calls of the admitted priorities need until the last of them has a
// slot. Unlike the time that one call waited it does not depend on the order in which they are taken, and calls
// below the admission level do not raise it further.
func (gat *Gate) drainTime() time.Duration {
	return gat.service * time.Duration(gat.que.Ahead(gat.lev.Value())) / time.Duration(gat.limit())
}

// endIntervals moves the admission level and the bound of the queue when an interval has ended.
func (gat *Gate) endIntervals(now time.Time) {
	gat.del.Ended(now, gat.drainTime(), func(delayed bool) {
		gat.lev.IntervalEnded(delayed)
		if !gat.pol.On(gatepolicy.SheddingDelay) {
			return
		}
		bound := gat.que.Bound() + gat.que.Length()/boundSteps + 1
		if delayed {
			bound = max(gat.que.Bound()*3/4, gat.limit()/2, 1)
		}
		for _, wai := range gat.que.SetBound(bound) {
			wai.Ready <- overloaded(reason.Shed, "gate.standingDelay")
		}
	})
}

// fill completes an answer with the call's ID and the gate's present load.
func (gat *Gate) fill(cal call.Call, ans answer.Answer) answer.Answer {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	ans.CallID = cal.ID
	if gat.pol.On(gatepolicy.AdmissionLevel) && gat.que.Beyond(cal.Account) {
		ans.AdmissionLevel = gat.lev.Value()
	}
	ans.Load = float64(gat.held+gat.que.Len()) / float64(gat.limit())
	return ans
}

// overloaded returns a refusal of a call that did not run and may be accepted elsewhere or later.
func overloaded(why reason.Reason, step string) *refusal.Refusal {
	ref := elsewhere(why, step)
	ref.RetryAfter = comeBack
	return ref
}
