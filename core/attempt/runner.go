package attempt

import (
	"context"
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/allowance"
	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/keyowner"
	"flamingoreach/core/machine"
	"flamingoreach/core/member"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

// Runner makes the attempts of calls; its function fields are its effects.
type Runner struct {
	// Candidates returns the members that may take a call.
	Candidates func(cal call.Call) []member.Member
	// Choose picks the member for the next attempt.
	Choose func(cal call.Call, candidates []member.Member, tried []string) (member.Member, bool)
	// Sent, Answered, Lost and Cancelled are told of each attempt's course.
	Sent      func(id string)
	Answered  func(id, account string, ans answer.Answer, elapsed time.Duration)
	Lost      func(id string, candidates []member.Member)
	Cancelled func(id string)
	// SpendRetry and EarnRetry keep the node's retry budget.
	SpendRetry func(service string) bool
	EarnRetry  func(service string)
	// FreeGates is the number of gates that a call may ask one after the other, as long as each refuses it before its
	// backend server was asked, without spending its allowance or the budget; 0 makes each further gate a retry.
	FreeGates int
	// AtOnce, if set, reports whether an attempt at a member must not wait for a slot, because others are to be asked
	// first; tried lists the members asked so far, this one included.
	AtOnce func(mem member.Member, candidates []member.Member, tried []string) bool
	// OnRetry is told the reason of each retry.
	OnRetry func(why reason.Reason)
	// OnDenied, if set, is told why a retry that could have helped is not made.
	OnDenied func(why reason.Reason)
}

// course is the subject of the chart callAttempt.
type course struct {
	run        *Runner
	ctx        context.Context //nolint:containedctx // lives as long as one call
	cal        call.Call
	allowance  *allowance.Allowance
	send       func(ctx context.Context, mem member.Member, cal call.Call) (answer.Answer, error)
	candidates []member.Member
	tried      []string
	chosen     member.Member
	result     answer.Answer
	refusal    *refusal.Refusal
	// mayHaveRun is set once an attempt's outcome is unknown; no later refusal can say "not run" then.
	mayHaveRun bool
	event      string
}

var callAttempt = machine.MustNew(charts.Must("callAttempt"),
	[]string{"chosen", "noneLeft", "answered", "refusedNotRun", "lost", "cancelled"},
	map[string]func(*course) bool{
		"mayRetry":  (*course).mayRetry,
		"mayRepeat": (*course).mayRepeat,
	},
	map[string]func(*course){
		"send":            (*course).sendOnce,
		"refuse":          (*course).refuse,
		"refuseCancelled": (*course).refuseCancelled,
		"recordSuccess":   func(cou *course) { cou.run.EarnRetry(cou.cal.Service) },
		"countRetry":      func(cou *course) { cou.run.OnRetry(cou.refusal.Reason) },
	})

// Run makes attempts until one is answered or none may follow. The answer carries a refusal where there is
// no whole answer. Send transports one attempt; an error of it means that the attempt's outcome is unknown,
// unless it is a *refusal.Refusal.
func (run *Runner) Run(ctx context.Context, cal call.Call, alw *allowance.Allowance, send func(ctx context.Context, mem member.Member, cal call.Call) (answer.Answer, error)) answer.Answer {
	cou := &course{run: run, ctx: ctx, cal: cal, allowance: alw, send: send, candidates: run.Candidates(cal)}
	state := callAttempt.Initial()
	for !callAttempt.Final(state) {
		if state == "choosing" {
			cou.event = cou.choose()
		}
		state = callAttempt.Fire(cou, state, cou.event)
	}
	if state == "refused" {
		cou.result.Refusal = cou.finalRefusal()
	}
	cou.result.CallID = cal.ID
	cou.result.AllowanceLeft = alw.Left()
	return cou.result
}

func (cou *course) finalRefusal() *refusal.Refusal {
	if cou.mayHaveRun && cou.refusal.Outcome == outcome.NotRun {
		ref := *cou.refusal
		ref.Outcome = outcome.Unknown
		return &ref
	}
	return cou.refusal
}

func (cou *course) choose() string {
	if cou.ctx.Err() != nil {
		return "cancelled"
	}
	mem, found := cou.run.Choose(cou.cal, cou.candidates, cou.tried)
	if !found {
		if cou.refusal == nil {
			cou.refusal = refusal.NotRun(reason.NoBackendServer, "choose backend server")
			cou.refusal.RetryAfter = time.Second
		}
		return "noneLeft"
	}
	cou.chosen = mem
	return "chosen"
}

// sendOnce makes one attempt and sets the event that its result is.
func (cou *course) sendOnce() {
	cou.tried = append(cou.tried, cou.chosen.ID)
	cal := cou.cal
	cal.Allowance = cou.allowance.LendAllButOne()
	cal.AtOnce = cou.run.AtOnce != nil && cou.run.AtOnce(cou.chosen, cou.candidates, cou.tried)
	cou.run.Sent(cou.chosen.ID)
	started := time.Now()
	ans, err := cou.send(cou.ctx, cou.chosen, cal)
	if err == nil && ans.CallID != cal.ID {
		err = cou.note(refusal.Unknown(reason.AnswerMismatched, "compare call ID"))
	}
	if err != nil {
		cou.failed(cal.Allowance, err)
		return
	}
	cou.allowance.Return(ans.AllowanceLeft)
	cou.run.Answered(cou.chosen.ID, cal.Account, ans, time.Since(started))
	cou.result = ans
	cou.refusal = ans.Refusal
	cou.setEvent()
}

func (cou *course) setEvent() {
	switch {
	case cou.refusal == nil:
		cou.event = "answered"
	case cou.refusal.Outcome == outcome.NotRun:
		cou.event = "refusedNotRun"
	default:
		cou.event = "lost"
		cou.mayHaveRun = true
	}
}

// failed handles an attempt without an answer. Its part of the allowance comes back only if it did not run.
func (cou *course) failed(lent int, err error) {
	if cou.ctx.Err() != nil {
		cou.run.Cancelled(cou.chosen.ID)
		cou.refusal = cou.note(refusal.Unknown(reason.Cancelled, "wait for answer"))
		cou.event = "cancelled"
		return
	}
	cou.run.Lost(cou.chosen.ID, cou.candidates)
	ref, typed := err.(*refusal.Refusal) //nolint:errorlint // send returns refusals unwrapped
	if !typed {
		ref = cou.note(refusal.Unknown(reason.PeerUnreachable, "wait for answer"))
	}
	if ref.Outcome == outcome.NotRun {
		cou.allowance.Return(lent)
	}
	cou.refusal = ref
	cou.setEvent()
}

func (cou *course) note(ref *refusal.Refusal) *refusal.Refusal {
	ref.Peer = cou.chosen.Peer
	return ref
}

// mayRetry allows another attempt after a proof that the call did not run. A call with a home goes on only if
// the home itself takes no calls, because a repeat may reach the home later.
func (cou *course) mayRetry() bool {
	if keyowner.Needed(cou.cal) && !keyowner.RefusesAllCalls(cou.refusal.Reason) {
		return false
	}
	if !cou.refusal.Elsewhere {
		return false
	}
	if !cou.refusal.Offered && len(cou.tried) < cou.run.FreeGates {
		return cou.mayGoOn()
	}
	return cou.spend()
}

// mayRepeat allows another attempt though the call may have run.
func (cou *course) mayRepeat() bool {
	return cou.cal.Idempotent && cou.refusal.Reason != reason.Quarantined && cou.spend()
}

// mayGoOn reports whether there is time and a member left for another attempt.
func (cou *course) mayGoOn() bool {
	if cou.ctx.Err() != nil || !time.Now().Before(cou.cal.Deadline) {
		return false
	}
	_, found := cou.run.Choose(cou.cal, cou.candidates, cou.tried)
	return found
}

func (cou *course) spend() bool {
	// A choice is looked for first, so that no attempt is spent in vain.
	if !cou.mayGoOn() {
		return false
	}
	switch {
	case cou.allowance.Left() == 0:
		cou.denied(reason.AllowanceSpent)
		return false
	case !cou.run.SpendRetry(cou.cal.Service):
		cou.denied(reason.RetryBudgetSpent)
		return false
	}
	return cou.allowance.Spend()
}

func (cou *course) denied(why reason.Reason) {
	if cou.run.OnDenied != nil {
		cou.run.OnDenied(why)
	}
}

func (cou *course) refuse() {}

// refuseCancelled tells the outcome of the last attempt, or that none was made.
func (cou *course) refuseCancelled() {
	why := reason.Cancelled
	if context.Cause(cou.ctx) == context.DeadlineExceeded { //nolint:errorlint // set by the context package itself
		why = reason.DeadlineExceeded
	}
	if len(cou.tried) == 0 {
		cou.refusal = refusal.NotRun(why, "choose backend server")
		return
	}
	cou.refusal.Reason = why
}
