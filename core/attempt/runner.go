package attempt

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

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

// Runner makes the attempts of calls. It acts only through its function fields.
type Runner struct {
	// Candidates returns the members that may take a call.
	Candidates func(cal call.Call) []member.Member
	// Choose returns the member for the next attempt, and false if none is left; tried lists the IDs of the members to
	// which earlier attempts of the call were sent.
	Choose func(cal call.Call, candidates []member.Member, tried []string) (member.Member, bool)
	// WhyNone, if set, returns the reason for which a call has no candidates; without it the reason is
	// reason.NoBackendServer.
	WhyNone func(cal call.Call) reason.Reason
	// NewID, if set, returns the ID for a call that asks members again, see noteRefusal.
	NewID func() uuid.UUID
	// OnSend is called before each attempt. One of the other three is called when the attempt ends: OnAnswer with the
	// answer or refusal of the member, OnLost if no valid answer came, OnCancel if the call was cancelled before.
	OnSend   func(id string)
	OnAnswer func(id, account string, ans answer.Answer, elapsed time.Duration)
	OnLost   func(id string, candidates []member.Member)
	OnCancel func(id string)
	// SpendRetry takes a retry from the node's retry budget and reports whether there was one; EarnRetry is called after
	// each successful call.
	SpendRetry func(service string) bool
	EarnRetry  func(service string)
	// FreeGates is the number of gates that a call may try without spending its allowance or the retry budget, as long as
	// each gate refuses the call before its backend server gets it. With 0, each gate after the first counts as a retry.
	FreeGates int
	// RefuseWhenFull, if set, reports whether a member's gate must refuse the call rather than queue it if the call
	// would have to wait for a slot, because other members are to be asked first; tried lists the IDs of the members to
	// which attempts were sent, this one included.
	RefuseWhenFull func(mem member.Member, candidates []member.Member, tried []string) bool
	// OnRetry is called before each retry with the reason for which the attempt before it failed.
	OnRetry func(why reason.Reason)
	// OnRetryDenied, if set, is called when a member is left for a retry but the allowance or the retry budget is spent.
	OnRetryDenied func(why reason.Reason)
}

// progress holds the state of one call's attempts; the chart callAttempt runs on it.
type progress struct {
	runner     *Runner
	ctx        context.Context //nolint:containedctx // a progress lives as long as its call
	cal        call.Call
	allowance  *allowance.Allowance
	send       func(ctx context.Context, mem member.Member, cal call.Call) (answer.Answer, error)
	candidates []member.Member
	// tried lists the IDs of the members to which attempts were sent, in order.
	tried []string
	// full lists those of them that refused the call only because it would have had to wait.
	full []string
	// moved is set once the call has left a data centre that is evacuated.
	moved   bool
	chosen  member.Member
	result  answer.Answer
	refusal *refusal.Refusal
	// mayHaveRun is set once an attempt's outcome is unknown; the call must then not be reported as not run, whatever
	// later attempts say.
	mayHaveRun bool
	event      string
}

var callAttempt = machine.MustNew(charts.MustLoad("callAttempt"),
	[]string{"chosen", "noneLeft", "answered", "refusedNotRun", "lost", "cancelled"},
	map[string]func(*progress) bool{
		"mayRetryNotRun":  (*progress).mayRetryNotRun,
		"mayRetryUnknown": (*progress).mayRetryUnknown,
	},
	map[string]func(*progress){
		"send":            (*progress).sendOnce,
		"refuse":          (*progress).refuse,
		"refuseCancelled": (*progress).refuseCancelled,
		"recordSuccess":   func(pro *progress) { pro.runner.EarnRetry(pro.cal.Service) },
		"countRetry":      func(pro *progress) { pro.runner.OnRetry(pro.refusal.Reason) },
	})

// Run makes attempts until one is answered or no further one is allowed. The returned answer carries a refusal if no
// attempt was answered. The function send transports one attempt; if it returns an error other than a
// *refusal.Refusal, the outcome of that attempt is unknown.
func (run *Runner) Run(ctx context.Context, cal call.Call, alw *allowance.Allowance, send func(ctx context.Context, mem member.Member, cal call.Call) (answer.Answer, error)) answer.Answer {
	pro := &progress{runner: run, ctx: ctx, cal: cal, allowance: alw, send: send, candidates: run.Candidates(cal)}
	state := callAttempt.Initial()
	for !callAttempt.Final(state) {
		if state == "choosing" {
			pro.event = pro.choose()
		}
		state = callAttempt.Fire(pro, state, pro.event)
	}
	if state == "refused" {
		pro.result.Refusal = pro.finalRefusal()
	}
	pro.result.CallID = cal.ID
	pro.result.AllowanceLeft = alw.Left()
	return pro.result
}

// finalRefusal returns the last refusal, with outcome unknown if any earlier attempt may have run.
func (pro *progress) finalRefusal() *refusal.Refusal {
	if pro.mayHaveRun && pro.refusal.Outcome == outcome.NotRun {
		ref := *pro.refusal
		ref.Outcome = outcome.Unknown
		return &ref
	}
	return pro.refusal
}

// choose chooses the member for the next attempt and returns the chart's next event.
func (pro *progress) choose() string {
	if pro.ctx.Err() != nil {
		return "cancelled"
	}
	mem, found := pro.runner.Choose(pro.cal, pro.candidates, pro.tried)
	if !found {
		if pro.refusal == nil {
			pro.refusal = refusal.NotRun(pro.whyNone(), "choose backend server")
			pro.refusal.RetryAfter = time.Second
		}
		return "noneLeft"
	}
	pro.chosen = mem
	return "chosen"
}

// whyNone returns the reason for which no member can be asked.
func (pro *progress) whyNone() reason.Reason {
	if len(pro.candidates) == 0 && pro.runner.WhyNone != nil {
		return pro.runner.WhyNone(pro.cal)
	}
	return reason.NoBackendServer
}

// sendOnce makes one attempt and sets the chart's next event by its result.
func (pro *progress) sendOnce() {
	pro.tried = append(pro.tried, pro.chosen.ID)
	cal := pro.cal
	cal.Allowance = pro.allowance.LendAllButOne()
	cal.RefuseWhenFull = pro.runner.RefuseWhenFull != nil && pro.runner.RefuseWhenFull(pro.chosen, pro.candidates, pro.tried)
	pro.runner.OnSend(pro.chosen.ID)
	started := time.Now()
	ans, err := pro.send(pro.ctx, pro.chosen, cal)
	if err == nil && ans.CallID != cal.ID {
		err = pro.withPeer(refusal.Unknown(reason.AnswerMismatched, "compare call ID"))
	}
	if err != nil {
		pro.handleFailure(cal.Allowance, err)
		return
	}
	pro.allowance.Return(ans.AllowanceLeft)
	pro.runner.OnAnswer(pro.chosen.ID, cal.Account, ans, time.Since(started))
	pro.result = ans
	pro.refusal = ans.Refusal
	pro.noteRefusal()
	pro.setEvent()
}

// noteRefusal lets a call that waited at a gate whose data centre is then evacuated ask, once, the members again that it
// left for that gate because it would have had to wait there. Members that are new since the call began count too, and
// those of the evacuated data centre do not if there are others, even if this node has not heard of the evacuation yet:
// while they are untried, the call would not wait at any other gate, see RefuseWhenFull. The call gets another ID, because
// a gate does not run an ID that it has refused: a late delivery of it must not run.
func (pro *progress) noteRefusal() {
	switch {
	case pro.refusal == nil:
	case pro.refusal.Reason == reason.SlotsInUse:
		pro.full = append(pro.full, pro.chosen.ID)
	case pro.refusal.Reason == reason.DataCentreEvacuated && !pro.moved:
		pro.moved = true
		pro.candidates = pro.runner.Candidates(pro.cal)
		others := slices.DeleteFunc(slices.Clone(pro.candidates), func(mem member.Member) bool {
			return mem.DataCentre == pro.chosen.DataCentre
		})
		if len(others) > 0 {
			pro.candidates = others
		}
		if len(pro.full) == 0 || pro.runner.NewID == nil {
			return
		}
		pro.cal.ID = pro.runner.NewID()
		pro.tried = slices.DeleteFunc(pro.tried, func(id string) bool { return slices.Contains(pro.full, id) })
	}
}

// setEvent sets the chart's next event by the refusal of the last attempt, nil if it was answered.
func (pro *progress) setEvent() {
	switch {
	case pro.refusal == nil:
		pro.event = "answered"
	case pro.refusal.Outcome == outcome.NotRun:
		pro.event = "refusedNotRun"
	default:
		pro.event = "lost"
		pro.mayHaveRun = true
	}
}

// handleFailure handles an attempt without a valid answer. The allowance lent to the attempt is returned only if it did
// not run, because otherwise the member may have spent it.
func (pro *progress) handleFailure(lent int, err error) {
	if pro.ctx.Err() != nil {
		pro.runner.OnCancel(pro.chosen.ID)
		pro.refusal = pro.withPeer(refusal.Unknown(reason.Cancelled, "wait for answer"))
		pro.event = "cancelled"
		return
	}
	pro.runner.OnLost(pro.chosen.ID, pro.candidates)
	ref, isRefusal := err.(*refusal.Refusal) //nolint:errorlint // send returns refusals unwrapped
	if !isRefusal {
		ref = pro.withPeer(refusal.Unknown(reason.PeerUnreachable, "wait for answer"))
	}
	if ref.Outcome == outcome.NotRun {
		pro.allowance.Return(lent)
	}
	pro.refusal = ref
	pro.setEvent()
}

func (pro *progress) withPeer(ref *refusal.Refusal) *refusal.Refusal {
	ref.Peer = pro.chosen.Peer
	return ref
}

// mayRetryNotRun allows another attempt after one that certainly did not run. A call whose idempotency key has an owner
// goes to another member only if the owner refuses all calls, because the caller may send the request again and
// it may then reach the owner, which would run it a second time.
func (pro *progress) mayRetryNotRun() bool {
	if keyowner.Needed(pro.cal) && !keyowner.RefusesAllCalls(pro.refusal.Reason) {
		return false
	}
	if !pro.refusal.Elsewhere {
		return false
	}
	if !pro.refusal.Offered && len(pro.tried) < pro.runner.FreeGates {
		return pro.canTryAnother()
	}
	return pro.spendRetry()
}

// mayRetryUnknown allows another attempt although the call may have run, which is safe only for idempotent calls.
func (pro *progress) mayRetryUnknown() bool {
	return pro.cal.Idempotent && pro.refusal.Reason != reason.Quarantined && pro.spendRetry()
}

// canTryAnother reports whether there is time left, and a member, for another attempt.
func (pro *progress) canTryAnother() bool {
	if pro.ctx.Err() != nil || !time.Now().Before(pro.cal.Deadline) {
		return false
	}
	_, found := pro.runner.Choose(pro.cal, pro.candidates, pro.tried)
	return found
}

// spendRetry takes one retry from the call's allowance and one from the node's retry budget, and reports whether both
// had one.
func (pro *progress) spendRetry() bool {
	// The check for a member comes first, so that no retry is spent if no member is left.
	if !pro.canTryAnother() {
		return false
	}
	switch {
	case pro.allowance.Left() == 0:
		pro.reportDenied(reason.AllowanceSpent)
		return false
	case !pro.runner.SpendRetry(pro.cal.Service):
		pro.reportDenied(reason.RetryBudgetSpent)
		return false
	}
	return pro.allowance.Spend()
}

func (pro *progress) reportDenied(why reason.Reason) {
	if pro.runner.OnRetryDenied != nil {
		pro.runner.OnRetryDenied(why)
	}
}

// refuse does nothing: the last attempt, or choose if there was none, has set the refusal.
func (pro *progress) refuse() {}

// refuseCancelled sets the reason of the cancellation, and the outcome not run if no attempt was made.
func (pro *progress) refuseCancelled() {
	why := reason.Cancelled
	if context.Cause(pro.ctx) == context.DeadlineExceeded { //nolint:errorlint // set by the context package itself
		why = reason.DeadlineExceeded
	}
	if len(pro.tried) == 0 {
		pro.refusal = refusal.NotRun(why, "choose backend server")
		return
	}
	pro.refusal.Reason = why
}
