package gate

import (
	"time"

	"flamingoreach/core/call"
	"flamingoreach/core/queue"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

// SetPace sets the functions that pace the calls of a backend server while it is cold, or with nil switches the pace off.
// Take is called before a call takes a slot; it counts the call and returns 0, or returns the time after which a call may
// run. Rate returns the present number of calls per second, or 0 if it is unlimited. Both are called while the gate is
// locked, so they must not call it.
func (gat *Gate) SetPace(take func(now time.Time) time.Duration, rate func(now time.Time) (rate float64, cold bool)) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.pace, gat.paceRate, gat.pacedUntil = take, rate, time.Time{}
	// The timer was set by the former pace; the present one may let calls run earlier.
	if gat.paceTimer != nil {
		gat.paceTimer.Stop()
		gat.paceTimer = nil
	}
	gat.dispatch()
}

// takePace reports whether the pace lets a call run now, and counts the call if so.
func (gat *Gate) takePace(now time.Time) bool {
	if gat.pace == nil {
		return true
	}
	wait := gat.pace(now)
	gat.pacedUntil = now.Add(wait)
	return wait <= 0
}

// paced reports whether the pace holds up calls.
func (gat *Gate) paced(now time.Time) bool { return gat.pace != nil && now.Before(gat.pacedUntil) }

// refusalWhenFull returns the refusal of a call that cannot run at once, or nil if it may wait. A call that the pace holds up
// and whose turn would come too late is refused at once, so that it can go elsewhere in time.
func (gat *Gate) refusalWhenFull(cal call.Call, now time.Time) *refusal.Refusal {
	const step = "gate.pace"
	paced := gat.paced(now)
	switch {
	case cal.RefuseWhenFull && paced:
		return acceptableElsewhere(reason.BackendServerCold, step)
	case cal.RefuseWhenFull:
		return acceptableElsewhere(reason.SlotsInUse, "gate.enter")
	case !paced:
		return nil
	}
	longest := min(gat.longestWait(cal), cal.Deadline.Sub(now))
	turn := gat.pacedUntil.Sub(now)
	if rate, _ := gat.paceRate(now); rate > 0 {
		ahead := gat.queue.Ahead(cal.Priority)
		if cal.Depth > 0 {
			ahead = gat.queue.Deeper()
		}
		turn += time.Duration(float64(ahead) / rate * float64(time.Second))
	}
	if turn > longest {
		return overloaded(reason.BackendServerCold, step)
	}
	return nil
}

// next removes and returns the next waiting call, or nil if none may run now. While the backend server is paced, deeper calls
// go first, because the work that their callers have already done is lost if they are refused.
func (gat *Gate) next(onlyDeeper bool, now time.Time) *queue.Waiter {
	if gat.pace == nil {
		return gat.queue.Pop(onlyDeeper)
	}
	if rate, _ := gat.paceRate(now); rate > 0 && gat.queue.Next(true) != nil {
		onlyDeeper = true
	}
	if gat.queue.Next(onlyDeeper) == nil {
		return nil
	}
	if !gat.takePace(now) {
		gat.startPaceTimer(now)
		return nil
	}
	return gat.queue.Pop(onlyDeeper)
}

// startPaceTimer makes a timer dispatch the waiting calls when the pace next lets one run.
func (gat *Gate) startPaceTimer(now time.Time) {
	if gat.paceTimer != nil || gat.queue.Len() == 0 || !gat.paced(now) {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(gat.pacedUntil.Sub(now), func() {
		gat.mut.Lock()
		defer gat.mut.Unlock()
		if gat.paceTimer != timer {
			return
		}
		gat.paceTimer = nil
		gat.dispatch()
		gat.signalIdle()
	})
	gat.paceTimer = timer
}
