package hostnode

import (
	"context"
	"io"
	"time"

	"github.com/google/uuid"

	"flamingoreach/core/admission"
	"flamingoreach/core/allowance"
	"flamingoreach/core/answer"
	"flamingoreach/core/attempt"
	"flamingoreach/core/authentication"
	"flamingoreach/core/call"
	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
	"flamingoreach/core/member"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/core/request"
	"flamingoreach/core/route"
	"flamingoreach/io/message"
)

const (
	// freeGates is the number of gates that a call may ask for a slot, one after another, before another gate counts as
	// a retry.
	freeGates = 4
	// answerGrace is the time after a call's deadline within which its answer may still arrive.
	answerGrace = 50 * time.Millisecond
	// deeperPriorityBoost raises the priority of deeper calls above that of all callers' requests, because a deeper
	// call belongs to a request that already runs.
	deeperPriorityBoost = 1_000_000
	// deeperWaitDivisor divides the time left to a deeper call to get the time that it may wait at a gate.
	deeperWaitDivisor = 2
	// elsewhereAfter is the time after which a caller may send a request again that this host refused because it stops. It
	// needs only as long as it takes to connect to another host.
	elsewhereAfter = 50 * time.Millisecond
)

// setUpCalls creates the runner of attempts and the admission and sets the function fields of the gate, the picker and
// the peer server that calls need.
func (nod *Node) setUpCalls() {
	nod.runner = &attempt.Runner{
		Candidates: nod.candidates,
		WhyNone:    nod.whyNone,
		NewID:      uuid.New,
		Choose:     nod.picker.ChooseByExpectedLatency,
		OnSend:     nod.picker.RecordSent,
		OnAnswer: func(id, account string, ans answer.Answer, elapsed time.Duration) {
			nod.picker.RecordAnswer(id, account, ans, elapsed)
			nod.metrics.ObserveAttempt(elapsed)
			nod.recordEvacuatedAnswer(id, ans)
		},
		OnLost:     nod.picker.RecordLost,
		OnCancel:   nod.picker.RecordCancelled,
		SpendRetry: nod.retryBudget.Spend,
		// Serve earns the retries, for callers' requests only.
		EarnRetry:      func(string) {},
		OnRetry:        nod.metrics.CountRetry,
		OnRetryDenied:  nod.metrics.CountDeniedRetry,
		FreeGates:      freeGates,
		RefuseWhenFull: nod.picker.RefuseWhenFull,
	}
	nod.picker.MaySpill = nod.linkBudget.Take
	nod.admission = &admission.Admission{
		Configuration: func() *configuration.Configuration { return nod.view.Load().Configuration },
		FindRoute: func(req request.Request) (route.Route, bool) {
			return nod.view.Load().Directory.HostRoute(req.Host, req.Method, req.Path)
		},
		Authenticate: func(credential string) (clientaccount.ClientAccount, string, *refusal.Refusal) {
			aut, ref := authentication.Check(nod.view.Load().Directory, credential)
			return aut.Account, aut.KeyID, ref
		},
		// A node without contact to the store keeps serving with the configuration that it has, so there is no fence.
		CheckFence:        func() *refusal.Refusal { return nil },
		ChooseDestination: nod.splitter.Choose,
		NewID:             uuid.New,
		TakeToken:         nod.shares.Take,
	}
	nod.gate.PayloadSize = func(payload any) int {
		msg, _ := payload.(message.Message)
		if msg.Delivered {
			return 0
		}
		return msg.Size()
	}
	nod.peerServer.RunCall = nod.runAtGate
}

// Serve admits and runs a request that begins on this host. If the answer is a refusal, the message may hold the
// failure response of a backend server.
func (nod *Node) Serve(ctx context.Context, req request.Request, msg message.Message) (answer.Answer, message.Message) {
	started := time.Now()
	cal, alw, ref := nod.admission.Admit(ctx, req)
	if ref != nil {
		return nod.refuseRequest(cal, req, ref, started)
	}
	if cal.KeyID == "" && len(nod.view.Load().Configuration.Accounts) > 0 {
		treatAsDeeper(&cal)
	} else {
		// Only callers' requests earn retries: the bound on retries is relative to these, and one request may make many
		// deeper calls.
		nod.retryBudget.Earn(cal.Service)
	}
	if ref := nod.checkRegions(cal); ref != nil {
		return nod.refuseRequest(cal, req, ref, started)
	}
	if win := nod.stopWindow.Load(); win != nil && !win.Admits(started, cal.Deadline) {
		ref := refusal.NotRun(reason.Draining, "take request during the stop")
		ref.RetryAfter = elsewhereAfter
		return nod.refuseRequest(cal, req, ref, started)
	}
	ctx, cancel := context.WithDeadline(ctx, cal.Deadline.Add(answerGrace))
	defer cancel()
	defer nod.onRequestsEnd(cancel)()
	ans, reply, attempts := nod.runAttempts(ctx, cal, alw, msg)
	if ref := ans.Refusal; ref != nil && ref.Outcome == outcome.NotRun && nod.requestsEnded() {
		ref.Reason, ref.RetryAfter = reason.Draining, elsewhereAfter
	}
	nod.recordEnd(cal, req, ans, attempts, started)
	return ans, reply
}

// refuseRequest ends a request of which no attempt was made.
func (nod *Node) refuseRequest(cal call.Call, req request.Request, ref *refusal.Refusal, started time.Time) (answer.Answer, message.Message) {
	ans := answer.Answer{CallID: cal.ID, Refusal: ref}
	nod.recordEnd(cal, req, ans, 0, started)
	return ans, message.Message{}
}

// treatAsDeeper gives a call without an API key, that is, on an open route, the properties of a deeper call: depth 1, a
// priority above that of callers' requests, and a wait at a gate of at most 1/deeperWaitDivisor of its remaining time.
// The bound on the wait is at least 1 ms, because 0 would set none. Where client accounts are configured, such calls
// come almost only from backend servers. A caller's request on an open route cannot be distinguished from them and is
// treated alike.
func treatAsDeeper(cal *call.Call) {
	cal.Depth = 1
	cal.Priority += deeperPriorityBoost
	cal.QueueWait = max(time.Until(cal.Deadline)/deeperWaitDivisor, time.Millisecond)
}

// runAttempts makes the attempts of a call and returns the answer, its message and the number of attempts. If several
// backend servers respond with a failure, the message is the last one's.
func (nod *Node) runAttempts(ctx context.Context, cal call.Call, alw *allowance.Allowance, msg message.Message) (answer.Answer, message.Message, int) {
	var reply message.Message
	attempts := 0
	ans := nod.runner.Run(ctx, cal, alw, func(ctx context.Context, mem member.Member, cal call.Call) (answer.Answer, error) {
		attempts++
		started := time.Now()
		ans, received, err := nod.send(ctx, mem, cal, msg)
		if received.Status != 0 {
			reply = received
		}
		if err == nil && ans.Refusal == nil {
			nod.picker.RecordRouteLatency(mem.ID, cal.Route, time.Since(started))
		}
		return ans, err
	})
	return ans, reply, attempts
}

// send makes one attempt of a call, at this node's gate or at another node's.
func (nod *Node) send(ctx context.Context, mem member.Member, cal call.Call, msg message.Message) (answer.Answer, message.Message, error) {
	cal.CallerDataCentre = nod.settings.DataCentre
	if mem.ID == nod.id {
		ans, reply := nod.runAtGate(ctx, cal, msg)
		return endAttempts(ans, reply), reply, nil
	}
	ans, reply, err := nod.peerClient.Run(ctx, mem.Peer, cal, nod.version(), msg)
	ans = endAttempts(ans, reply)
	if mem.Region != nod.self.Region {
		nod.linkBudget.RecordSize(msg.Size() + reply.Size())
	}
	return ans, reply, err
}

// endAttempts returns the answer to an attempt without its refusal if the caller has got the head of a long answer. There must
// be no further attempt then; the caller learns by the end of its connection that the answer is cut.
func endAttempts(ans answer.Answer, reply message.Message) answer.Answer {
	if reply.Delivered {
		ans.Refusal = nil
	}
	return ans
}

// runAtGate asks the local gate to run a call on the backend server.
func (nod *Node) runAtGate(ctx context.Context, cal call.Call, msg message.Message) (answer.Answer, message.Message) {
	if cal.Service != nod.settings.Service {
		ref := refusal.NotRun(reason.NoBackendServer, "check service at gate")
		ref.Elsewhere = true
		return answer.Answer{CallID: cal.ID, AllowanceLeft: cal.Allowance, Refusal: ref}, message.Message{}
	}
	if ref := nod.checkOwnRegion(cal); ref != nil {
		ans := answer.Answer{CallID: cal.ID, AllowanceLeft: cal.Allowance, Refusal: ref}
		nod.metrics.CountRefusal("gate", ref.Reason)
		nod.logGateRefusal(cal, ans)
		return ans, message.Message{}
	}
	nod.recordLateCall(cal)
	cal.Variant = msg.Variant(cal.Fingerprint)
	delivers := false
	if deliver := msg.Deliver; deliver != nil {
		msg.Deliver = func(ctx context.Context, ans answer.Answer, reply message.Message, body io.Reader) error {
			delivers, ans.Load = true, nod.gate.Load()
			return deliver(ctx, ans, reply, body)
		}
	}
	ans, payload := nod.gate.Run(ctx, cal, func(ctx context.Context) (answer.Answer, any) {
		ann := nod.backend.Load()
		if ann == nil {
			ref := refusal.NotRun(reason.BackendServerDown, "find backend server")
			ref.Elsewhere = true
			return answer.Answer{CallID: cal.ID, AllowanceLeft: cal.Allowance, Refusal: ref}, nil
		}
		ans, received := nod.platform.Execute(ctx, *ann, cal, msg)
		return ans, received
	})
	if ans.Refusal != nil {
		nod.metrics.CountRefusal("gate", ans.Refusal.Reason)
		nod.logGateRefusal(cal, ans)
	}
	nod.crashLink.AwaitSpread(ctx, ans.Refusal)
	reply, _ := payload.(message.Message)
	if reply.Delivered && !delivers {
		// The answer went to the first delivery of the call.
		ref := refusal.Unknown(reason.RepeatUnresolved, "find answer")
		ref.Outcome = outcome.Ran
		ans.Refusal = ref
		return ans, message.Message{}
	}
	return ans, reply
}

// logGateRefusal logs a refusal by the local gate and the load that the gate reported, except when all slots are in
// use.
func (nod *Node) logGateRefusal(cal call.Call, ans answer.Answer) {
	if ans.Refusal.Reason == reason.SlotsInUse {
		return
	}
	nod.gateLog.Write("gate refused", "requestId", cal.RequestID, "callId", cal.ID, "route", cal.Route, "step", ans.Refusal.Step,
		"reason", ans.Refusal.Reason, "outcome", ans.Refusal.Outcome, "load", ans.Load,
		"fingerprint", cal.Fingerprint, "variant", cal.Variant)
}

// recordEnd logs and counts the end of a request that began on this host.
func (nod *Node) recordEnd(cal call.Call, req request.Request, ans answer.Answer, attempts int, started time.Time) {
	layer := "ingress"
	if cal.Depth > 0 {
		layer = "deeper"
	}
	out, dec := outcome.Ran, nod.servedLog
	fields := []any{
		"requestId", req.ID, "callId", cal.ID, "route", cal.Route, "service", cal.Service, "account", cal.Account,
		"priority", cal.Priority, "attempts", attempts, "elapsed", time.Since(started),
		"version", nod.version(), "versionAge", time.Since(time.Unix(0, nod.versionAppliedAt.Load())).Round(time.Millisecond),
		"members", len(nod.view.Load().Serving(cal.Service)),
	}
	if cal.Regions != nil {
		fields = append(fields, "regions", cal.Regions)
	}
	if eva := nod.view.Load().Evacuation; len(eva.DataCentres) > 0 {
		fields = append(fields, "evacuated", eva.DataCentres)
	}
	if ref := ans.Refusal; ref != nil {
		out, dec = ref.Outcome, nod.refusedLog
		nod.metrics.CountRefusal(layer, ref.Reason)
		fields = append(fields, "step", ref.Step, "reason", ref.Reason, "retryAfter", ref.RetryAfter)
		if ref.Peer.IsValid() {
			fields = append(fields, "peer", ref.Peer)
		}
	} else {
		nod.metrics.CountAnswer(layer)
	}
	dec.Write("request ended", append(fields, "outcome", out)...)
}

// RecordRefusal logs and counts a request that was refused before it could be admitted.
func (nod *Node) RecordRefusal(req request.Request, ref *refusal.Refusal) {
	nod.recordEnd(call.Call{}, req, answer.Answer{Refusal: ref}, 0, time.Now())
}
