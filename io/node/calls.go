package node

import (
	"context"
	"net/netip"
	"time"

	"flamingoreach/core/admission"
	"flamingoreach/core/allowance"
	"flamingoreach/core/answer"
	"flamingoreach/core/attempt"
	"flamingoreach/core/call"
	"flamingoreach/core/configuration"
	"flamingoreach/core/keyowner"
	"flamingoreach/core/mechanism"
	"flamingoreach/core/member"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/core/request"
	"flamingoreach/core/route"
	"flamingoreach/io/message"
)

// setUpCalls creates the runner of attempts and the admission, and sets the function fields of the gate, the picker and
// the backend server's client that calls need.
func (nod *Node) setUpCalls() {
	nod.runner = &attempt.Runner{
		Candidates: nod.candidates,
		Choose:     nod.picker.Choose,
		OnSend:     nod.picker.RecordSent,
		OnAnswer: func(id, account string, ans answer.Answer, elapsed time.Duration) {
			nod.picker.RecordAnswer(id, account, ans, elapsed)
			nod.metrics.ObserveAttempt(elapsed)
		},
		OnLost:        nod.picker.RecordLost,
		OnCancel:      nod.picker.RecordCancelled,
		SpendRetry:    func(string) bool { return !nod.uses(mechanism.RetryBudget) || nod.retryBudget.Spend() },
		EarnRetry:     func(string) { nod.earnRetry() },
		OnRetry:       nod.metrics.CountRetry,
		OnRetryDenied: nod.metrics.CountDeniedRetry,
	}
	nod.admission = &admission.Admission{
		Configuration: func() *configuration.Configuration { return nod.view.Load().Configuration },
		FindRoute: func(req request.Request) (route.Route, bool) {
			return nod.view.Load().Directory.Route(req.Method, req.Path)
		},
		Authenticate: nod.authenticate,
		CheckFence:   nod.checkFence,
		TakeToken:    nod.takeToken,
	}
	nod.gate.Recheck = nod.recheck
	nod.gate.PayloadSize = payloadSize
	nod.picker.Uses = nod.uses
	nod.recordGate()
	nod.backendClient.OnFailure = nod.checkCrash
}

// uses reports whether the configuration in force enables a mechanism; without a configuration all are enabled.
func (nod *Node) uses(mec mechanism.Mechanism) bool {
	cfg := nod.view.Load().Configuration
	return cfg == nil || cfg.Uses(mec)
}

func payloadSize(payload any) int {
	msg, _ := payload.(message.Message)
	return msg.Size()
}

func (nod *Node) earnRetry() {
	if cfg := nod.view.Load().Configuration; cfg != nil {
		nod.retryBudget.Earn(cfg.RetryBudgetRatio)
	}
}

// candidates returns the members that attempts of a call may go to: those that accept new calls, or all members of the
// service if the call must go to the owner of its idempotency key.
func (nod *Node) candidates(cal call.Call) []member.Member {
	vie := nod.view.Load()
	if keyowner.Needed(cal) {
		return vie.All(cal.Service)
	}
	return vie.Serving(cal.Service)
}

// recheck refuses a call whose key was withdrawn after the ingress node admitted the call.
func (nod *Node) recheck(cal call.Call) *refusal.Refusal {
	vie := nod.view.Load()
	if vie.Directory == nil {
		return refusal.NotRun(reason.NoConfiguration, "check key at gate")
	}
	if cal.KeyID == "" {
		if !vie.Directory.IsOpenRoute(cal.Route) {
			return refusal.NotRun(reason.KeyMissing, "check key at gate")
		}
		return nil
	}
	if ref := nod.checkFence(); ref != nil {
		return ref
	}
	if _, valid := vie.Directory.AccountByKeyID(cal.KeyID); !valid {
		return refusal.NotRun(reason.KeyWithdrawn, "check key at gate")
	}
	return nil
}

// runAdmitted runs an admitted call at the gates of its service. Deeper calls are subject to the limit on those in flight
// to each service.
func (nod *Node) runAdmitted(ctx context.Context, cal call.Call, alw *allowance.Allowance, msg message.Message) (answer.Answer, message.Message) {
	if cal.Depth == 0 || !nod.uses(mechanism.DeeperLimit) {
		return nod.runAttempts(ctx, cal, alw, msg)
	}
	if ref := nod.deeperLimit.Enter(cal.Service, cal.Priority); ref != nil {
		return answer.Answer{CallID: cal.ID, AllowanceLeft: alw.Left(), Refusal: ref}, message.Message{}
	}
	var ans answer.Answer
	defer func() { nod.deeperLimit.Leave(cal.Service, ans) }()
	var reply message.Message
	ans, reply = nod.runAttempts(ctx, cal, alw, msg)
	return ans, reply
}

// runAttempts makes the attempts of a call, at the local gate or at other nodes, and returns the answer and its message.
func (nod *Node) runAttempts(ctx context.Context, cal call.Call, alw *allowance.Allowance, msg message.Message) (answer.Answer, message.Message) {
	var reply message.Message
	ans := nod.runner.Run(ctx, cal, alw, func(ctx context.Context, mem member.Member, cal call.Call) (answer.Answer, error) {
		if mem.ID == nod.id {
			var ans answer.Answer
			ans, reply = nod.runAtGate(ctx, cal, msg)
			return ans, nil
		}
		ans, remote, err := nod.peerClient.Run(ctx, mem.Peer, cal, nod.version(), msg)
		reply = remote
		if mem.Region != nod.self.Region {
			nod.linkBudget.RecordSize(msg.Size() + remote.Size())
		}
		return ans, err
	})
	return ans, reply
}

// runAtGate runs a call on the local backend server if the gate admits it, else returns the gate's refusal.
func (nod *Node) runAtGate(ctx context.Context, cal call.Call, msg message.Message) (answer.Answer, message.Message) {
	if cal.Service != nod.settings.Node.Service {
		ref := refusal.NotRun(reason.NoBackendServer, "check service at gate")
		ref.Elsewhere = true
		return answer.Answer{CallID: cal.ID, AllowanceLeft: cal.Allowance, Refusal: ref}, message.Message{}
	}
	if ref := nod.view.Load().Owners.Check(cal, nod.id); ref != nil {
		nod.metrics.CountRefusal("gate", ref.Reason)
		return answer.Answer{CallID: cal.ID, AllowanceLeft: cal.Allowance, Refusal: ref}, message.Message{}
	}
	cal.Variant = msg.Variant(cal.Fingerprint)
	ans, payload := nod.gate.Run(ctx, cal, func(ctx context.Context) (answer.Answer, any) {
		address := nod.backendServerAddress.Load()
		if address == nil {
			address = &netip.AddrPort{}
		}
		return nod.execute(ctx, *address, cal, msg)
	})
	if ans.Refusal != nil {
		nod.metrics.CountRefusal("gate", ans.Refusal.Reason)
		nod.logs.Gate.Debug("refused", "callId", cal.ID, "step", ans.Refusal.Step, "reason", ans.Refusal.Reason, "outcome", ans.Refusal.Outcome)
	}
	nod.crashLink.AwaitSpread(ctx, ans.Refusal)
	reply, _ := payload.(message.Message)
	return ans, reply
}

func (nod *Node) execute(ctx context.Context, address netip.AddrPort, cal call.Call, msg message.Message) (answer.Answer, any) {
	ans, reply := nod.backendClient.Execute(ctx, address, cal, msg)
	if ans.Refusal != nil && ans.Refusal.Reason == reason.BackendServerDown {
		nod.handleCrash()
	}
	return ans, reply
}
