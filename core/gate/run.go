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

// retryAfter is the time after which a caller that was refused under overload may retry.
const retryAfter = time.Second

// Run admits a call, waits for a slot, executes it at most once and returns its answer with the opaque
// payload that execute returned; a refusal says whether the call ran. A duplicate delivery of a call gets the
// answer of the first one. The call must have a deadline.
func (gat *Gate) Run(ctx context.Context, cal call.Call, execute func(ctx context.Context) (answer.Answer, any)) (answer.Answer, any) {
	ans, payload := gat.dedupeAndRun(ctx, cal, execute)
	if gat.OnEnd != nil {
		gat.OnEnd(cal, ans)
	}
	return ans, payload
}

func (gat *Gate) dedupeAndRun(ctx context.Context, cal call.Call, execute func(ctx context.Context) (answer.Answer, any)) (answer.Answer, any) {
	ent, fresh, ref := gat.findOrInsert(cal)
	switch {
	case ref != nil:
		return gat.refuse(cal, ref), nil
	case !fresh:
		return gat.answerDuplicate(ctx, cal, ent)
	}
	ans, payload := gat.runOnce(ctx, cal, ent, execute)
	return gat.completeAnswer(cal, ans), payload
}

// runOnce runs the first delivery of a call. An answer is stored even if execute panics, so that duplicate deliveries
// do not wait until their deadlines.
func (gat *Gate) runOnce(ctx context.Context, cal call.Call, ent *dedupe.Entry, execute func(ctx context.Context) (answer.Answer, any)) (ans answer.Answer, payload any) {
	ans.Refusal = refusal.Unknown(reason.Internal, "gate.execute")
	defer func() { gat.storeAnswer(ent, ans, payload) }()
	if ref := gat.admit(ctx, cal); ref != nil {
		ans = answer.Answer{AllowanceLeft: cal.Allowance, Refusal: ref}
		return ans, nil
	}
	return gat.execute(ctx, cal, execute)
}

// refuse counts a refusal and returns it as an answer.
func (gat *Gate) refuse(cal call.Call, ref *refusal.Refusal) answer.Answer {
	gat.mut.Lock()
	gat.refused[ref.Reason]++
	gat.mut.Unlock()
	return gat.completeAnswer(cal, answer.Answer{AllowanceLeft: cal.Allowance, Refusal: ref})
}

// admit waits until the call holds a slot and returns nil, or returns the refusal.
func (gat *Gate) admit(ctx context.Context, cal call.Call) *refusal.Refusal {
	gat.mut.Lock()
	wai, ref := gat.enter(cal, time.Now())
	gat.mut.Unlock()
	if wai != nil {
		ref = gat.await(ctx, cal, wai)
	}
	if ref == nil {
		if ref = gat.recheck(ctx, cal); ref != nil {
			gat.releaseUnusedSlot(cal)
		}
	}
	if ref != nil {
		gat.mut.Lock()
		gat.refused[ref.Reason]++
		gat.mut.Unlock()
	}
	return ref
}

// recheck refuses a call that holds a slot if the conditions of its admission changed while it waited.
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
	down, closed, quarantined := gat.state == Down, gat.closed, gat.quarantined(cal, now)
	gat.mut.Unlock()
	switch {
	case closed != reason.None:
		return overloaded(closed, step)
	case down:
		return acceptableElsewhere(reason.BackendServerDown, step)
	case quarantined:
		return refusal.NotRun(reason.Quarantined, step)
	case gat.Recheck != nil:
		return gat.Recheck(cal)
	}
	return nil
}

// enter gives the call a slot, or queues it and returns its waiter, or refuses it. The gate's mutex must be held.
func (gat *Gate) enter(cal call.Call, now time.Time) (*queue.Waiter, *refusal.Refusal) {
	gat.endIntervals(now)
	gat.admissionLevel.Observe(cal.Priority)
	if ref := gat.refusalInState(); ref != nil {
		return nil, ref
	}
	if gat.quarantined(cal, now) {
		return nil, refusal.NotRun(reason.Quarantined, "gate.enter")
	}
	if !now.Before(cal.Deadline) {
		return nil, refusal.NotRun(reason.DeadlineExceeded, "gate.enter")
	}
	if gat.hasFreeSlot(cal.Depth > 0, now) && gat.queue.Ahead(cal.Priority) == 0 && gat.takePace(now) {
		gat.takeSlot(cal.Depth > 0, now)
		gat.standingDelay.Observe(0)
		return nil, nil
	}
	if ref := gat.refusalWhenFull(cal, now); ref != nil {
		return nil, ref
	}
	if gat.policy.On(gatepolicy.AdmissionLevel) && !gat.admissionLevel.Admits(cal.Priority) && gat.queue.UsesUpGuaranteedPlaces(cal.Account) {
		return nil, overloaded(reason.AdmissionLevel, "gate.enter")
	}
	if gat.policy.On(gatepolicy.QueueDelay) && cal.Deadline.Sub(now) < gat.expectedWait(cal.Priority)+gat.serviceTime {
		return nil, acceptableElsewhere(reason.DeadlineTooShort, "gate.enter")
	}
	wai := queue.NewWaiter(cal.Account, cal.Priority, now)
	wai.Deeper = cal.Depth > 0
	switch refused := gat.queue.Push(wai); {
	case refused == wai:
		return nil, overloaded(reason.QueueFull, "gate.enter")
	case refused != nil:
		refused.Ready <- overloaded(reason.Shed, "gate.displace")
	}
	gat.startPaceTimer(now)
	return wai, nil
}

// refusalInState returns the refusal of all calls if the gate's state admits none, otherwise nil.
func (gat *Gate) refusalInState() *refusal.Refusal {
	if gat.closed != reason.None {
		return overloaded(gat.closed, "gate.enter")
	}
	switch gat.state {
	case Draining:
		return acceptableElsewhere(reason.Draining, "gate.enter")
	case Down:
		return acceptableElsewhere(reason.BackendServerDown, "gate.enter")
	}
	return nil
}

// expectedWait estimates how long a call of the given priority that arrives now will wait.
func (gat *Gate) expectedWait(priority int) time.Duration {
	return gat.serviceTime * time.Duration(gat.queue.Ahead(priority)+1) / time.Duration(gat.limit())
}

// await waits until the waiter gets a slot and returns nil, or returns the refusal.
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
	return gat.abandonWait(cal, wai, why)
}

// abandonWait removes a waiter whose time is over, or whose call was cancelled, from the queue and returns its
// refusal. If the waiter got a slot at the same time, abandonWait releases it.
func (gat *Gate) abandonWait(cal call.Call, wai *queue.Waiter, why reason.Reason) *refusal.Refusal {
	gat.mut.Lock()
	removed := gat.queue.Remove(wai)
	if why == reason.QueueTimeout && gat.paced(time.Now()) {
		why = reason.BackendServerCold
	}
	gat.signalIdle()
	gat.mut.Unlock()
	if !removed {
		if ref := <-wai.Ready; ref != nil {
			return ref
		}
		gat.releaseUnusedSlot(cal)
	}
	if why == reason.QueueTimeout || why == reason.BackendServerCold {
		return overloaded(why, "gate.await")
	}
	return refusal.NotRun(why, "gate.await")
}

// queueWait returns how long a call may wait in the queue, apart from its deadline.
func (gat *Gate) queueWait(cal call.Call) time.Duration {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	return gat.longestWait(cal)
}

// longestWait is queueWait for a caller that holds the mutex.
func (gat *Gate) longestWait(cal call.Call) time.Duration {
	if cal.QueueWait > 0 {
		return min(cal.QueueWait, gat.policy.QueueWait)
	}
	return gat.policy.QueueWait
}

// execute runs an admitted call and frees its slot, even if run panics.
func (gat *Gate) execute(ctx context.Context, cal call.Call, run func(ctx context.Context) (answer.Answer, any)) (ans answer.Answer, payload any) {
	exe := &execution{call: cal, started: time.Now()}
	gat.mut.Lock()
	gat.running[exe] = struct{}{}
	gat.executed++
	gat.mut.Unlock()
	if gat.OnStart != nil {
		gat.OnStart(cal)
	}
	ans.Refusal = refusal.Unknown(reason.Internal, "gate.execute")
	defer func() { gat.finish(exe, &ans) }()
	ans, payload = run(ctx)
	return ans, payload
}

// finish records the end of a call and gives its slot to the next one that waits.
func (gat *Gate) finish(exe *execution, ans *answer.Answer) {
	now := time.Now()
	gat.mut.Lock()
	defer gat.mut.Unlock()
	latency := now.Sub(exe.started)
	if ans.Refusal == nil {
		gat.recordLatency(now, latency)
		if ans.ServiceTime == 0 {
			ans.ServiceTime = latency
		}
	}
	gat.updateQuarantine(exe, ans, now)
	delete(gat.running, exe)
	gat.freeSlot(exe.call)
	gat.endIntervals(now)
	gat.dispatch()
	gat.signalIdle()
}

// recordLatency passes the latency of a call that was answered to the limit and to the average service time.
func (gat *Gate) recordLatency(now time.Time, latency time.Duration) {
	gat.concurrencyLimit.Observe(now, latency, gat.slotsInUse)
	if gat.serviceTime == 0 {
		gat.serviceTime = latency
	}
	gat.serviceTime += (latency - gat.serviceTime) / serviceTimeSamples
	if gat.state == Warming && !gat.concurrencyLimit.Starting() {
		gat.fire("warmed")
	}
}

// hasFreeSlot reports whether a call can have a slot now. Some slots are reserved for deeper calls, because the
// work that their callers have already done is lost if they are refused.
func (gat *Gate) hasFreeSlot(deeper bool, now time.Time) bool {
	if deeper {
		return gat.slotsInUse < gat.limit()
	}
	reserved := min(gat.deeperCalls.Reserved(now), int(gat.policy.MaxDeeperReserve*float64(gat.limit())))
	return gat.slotsInUse+reserved < gat.limit()
}

// takeSlot counts a slot as in use by a call.
func (gat *Gate) takeSlot(deeper bool, now time.Time) {
	gat.slotsInUse++
	if deeper {
		gat.deeperCalls.Begin(now)
	}
}

// freeSlot counts the slot of a call as free.
func (gat *Gate) freeSlot(cal call.Call) {
	gat.slotsInUse--
	if cal.Depth > 0 {
		gat.deeperCalls.End()
	}
}

// releaseUnusedSlot frees the slot of a call that did not run and gives it to the next one that waits.
func (gat *Gate) releaseUnusedSlot(cal call.Call) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.freeSlot(cal)
	gat.dispatch()
	gat.signalIdle()
}

// dispatch gives free slots to waiting calls.
func (gat *Gate) dispatch() {
	for now := time.Now(); ; {
		if !gat.hasFreeSlot(true, now) {
			return
		}
		wai := gat.next(!gat.hasFreeSlot(false, now), now)
		if wai == nil {
			return
		}
		gat.takeSlot(wai.Deeper, now)
		gat.standingDelay.Observe(gat.queueDrainTime())
		wai.Ready <- nil
	}
}

// queueDrainTime estimates how long it takes until the last of the waiting calls at or above the admission level
// has a slot. Unlike the measured wait of a single call, the estimate does not depend on the order in which calls
// leave the queue, and calls below the admission level do not raise it.
func (gat *Gate) queueDrainTime() time.Duration {
	return gat.serviceTime * time.Duration(gat.queue.Ahead(gat.admissionLevel.Value())) / time.Duration(gat.limit())
}

// endIntervals adjusts the admission level and the bound of the queue after each interval that has ended.
func (gat *Gate) endIntervals(now time.Time) {
	gat.standingDelay.EndIntervals(now, gat.queueDrainTime(), func(delayed bool) {
		gat.admissionLevel.EndInterval(delayed)
		if !gat.policy.On(gatepolicy.QueueDelay) {
			return
		}
		bound := gat.queue.Bound() + gat.queue.Length()/queueRecoveryIntervals + 1
		if delayed {
			bound = max(gat.queue.Bound()*3/4, gat.limit()/2, 1)
		}
		for _, wai := range gat.queue.SetBound(bound) {
			wai.Ready <- overloaded(reason.Shed, "gate.standingDelay")
		}
	})
}

// completeAnswer adds the call's ID, the gate's load and, for accounts that use up their guaranteed places in the
// queue, the admission level to an answer.
func (gat *Gate) completeAnswer(cal call.Call, ans answer.Answer) answer.Answer {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	ans.CallID = cal.ID
	if gat.policy.On(gatepolicy.AdmissionLevel) && gat.queue.UsesUpGuaranteedPlaces(cal.Account) {
		ans.AdmissionLevel = gat.admissionLevel.Value()
	}
	ans.Load = gat.load()
	return ans
}

// Load returns the calls that run or wait, relative to the slots.
func (gat *Gate) Load() float64 {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	return gat.load()
}

// load is Load for a caller that holds the mutex.
func (gat *Gate) load() float64 {
	load := float64(gat.slotsInUse+gat.queue.Len()) / float64(gat.limit())
	if gat.pace != nil && gat.paced(time.Now()) {
		load = max(load, 1)
	}
	return load
}

// overloaded returns a refusal of a call that did not run and that may be accepted elsewhere, or here later.
func overloaded(why reason.Reason, step string) *refusal.Refusal {
	ref := acceptableElsewhere(why, step)
	ref.RetryAfter = retryAfter
	return ref
}
