package ingressrig

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"flamingoreach/core/allowance"
	"flamingoreach/core/answer"
	"flamingoreach/core/attempt"
	"flamingoreach/core/call"
	"flamingoreach/core/deeperlimit"
	"flamingoreach/core/gate"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/handle"
	"flamingoreach/core/linkbudget"
	"flamingoreach/core/locality"
	"flamingoreach/core/member"
	"flamingoreach/core/pick"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/core/retrybudget"
)

// crashDelay is the time after which the other nodes of a service learn of a crash of one of its backend servers.
const crashDelay = time.Second

// host is one backend server with its node and gate.
type host struct {
	rig         *Rig
	dataCentre  DataCentre
	member      member.Member
	gat         *gate.Gate
	ser         *server
	runner      *attempt.Runner
	linkBudget  *linkbudget.Budget
	deeperLimit *deeperlimit.Limit
	mut         sync.Mutex
	ran         *rand.Rand
}

func newHost(rig *Rig, number int, dac DataCentre, ser Service, serviceTime func() time.Duration) *host {
	slots := rig.sce.slots(ser)
	hos := &host{
		rig: rig, dataCentre: dac, deeperLimit: deeperlimit.New(slots), ser: newServer(slots, ser.ContentionExponent, serviceTime), gat: gate.New(rig.policy(slots)),
		ran: rand.New(rand.NewPCG(rig.seed, 1<<40+uint64(number))),
		member: member.Member{
			ID: ser.Name + "-" + dac.Name, Service: ser.Name, Region: dac.Region, DataCentre: dac.Name, Slots: slots,
			State: "serving", Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(number)}), 7000),
		},
	}
	hos.gat.SetState(gate.Serving)
	hos.linkBudget = linkbudget.New(rig.network.bytesPerSecond)
	hos.linkBudget.SetLink(rig.network.bytesPerSecond, max(1, rig.hostsIn(dac.Region)))
	hos.runner = hos.newRunner()
	return hos
}

func (hos *host) newRunner() *attempt.Runner {
	pic := pick.New(locality.Locality{Region: hos.dataCentre.Region, DataCentre: hos.dataCentre.Name})
	pic.Random = hos.randomIntN
	pic.MaySpill = hos.linkBudget.Take
	bud := retrybudget.New()
	run := &attempt.Runner{
		Candidates: func(cal call.Call) []member.Member { return hos.rig.members[cal.Service] },
		Choose:     pic.Choose,
		OnSend:     pic.RecordSent, OnAnswer: pic.RecordAnswer, OnLost: pic.RecordLost, OnCancel: pic.RecordCancelled,
		SpendRetry: func(string) bool { return bud.Spend() },
		EarnRetry:  func(string) { bud.Earn(retryRatio) },
		OnRetry:    func(reason.Reason) {},
	}
	if !hos.rig.con.RetryBudget {
		run.SpendRetry = func(string) bool { return true }
	}
	if !hos.rig.con.Picker {
		run.Choose = hos.chooseRandom
	}
	return run
}

func (hos *host) randomIntN(below int) int {
	hos.mut.Lock()
	defer hos.mut.Unlock()
	return hos.ran.IntN(below)
}

// chooseRandom chooses a random member of the host's region that was not tried yet, or any of them if all were tried.
func (hos *host) chooseRandom(_ call.Call, candidates []member.Member, tried []string) (member.Member, bool) {
	var inRegion, untried []member.Member
	for _, mem := range candidates {
		if mem.Region != hos.dataCentre.Region {
			continue
		}
		inRegion = append(inRegion, mem)
		if !slices.Contains(tried, mem.ID) {
			untried = append(untried, mem)
		}
	}
	if len(untried) > 0 {
		inRegion = untried
	}
	return inRegion[hos.randomIntN(len(inRegion))], true
}

// send makes the attempts of a call and reports whether the final answer is complete and without an error.
func (hos *host) send(ctx context.Context, req *request, cal call.Call, alw *allowance.Allowance) (answer.Answer, bool) {
	good := false
	ans := hos.runner.Run(ctx, cal, alw, func(ctx context.Context, mem member.Member, cal call.Call) (answer.Answer, error) {
		good = false
		req.deliveries.Add(1)
		to := hos.rig.hosts[mem.ID]
		if err := hos.rig.network.carry(ctx, hos.dataCentre, to.dataCentre, hos.rig.sce.MessageBytes, req.offset()); err != nil {
			return answer.Answer{}, err
		}
		ans, payload := to.gat.Run(ctx, cal, func(ctx context.Context) (answer.Answer, any) { return to.execute(ctx, req, cal) })
		size := hos.rig.sce.AnswerBytes
		if ans.Refusal != nil {
			size = refusalBytes
		}
		if err := hos.rig.network.carry(ctx, to.dataCentre, hos.dataCentre, size, req.offset()); err != nil {
			return answer.Answer{}, err
		}
		if mem.Region != hos.dataCentre.Region {
			hos.linkBudget.RecordSize(hos.rig.sce.MessageBytes + size)
		}
		good, _ = payload.(bool)
		return ans, nil
	})
	return ans, good && ans.Refusal == nil
}

// sendLimited is like send, but refuses the call if the control has the deeper limit and it is reached.
func (hos *host) sendLimited(ctx context.Context, req *request, cal call.Call, alw *allowance.Allowance) (answer.Answer, bool) {
	if !hos.rig.con.DeeperLimit {
		return hos.send(ctx, req, cal, alw)
	}
	if ref := hos.deeperLimit.Enter(cal.Service, cal.Priority); ref != nil {
		return answer.Answer{AllowanceLeft: cal.Allowance, Refusal: ref}, false
	}
	ans, good := hos.send(ctx, req, cal, alw)
	hos.deeperLimit.Leave(cal.Service, ans)
	return ans, good
}

// execute runs a call on the backend server. The payload is false if the answer reports an error.
func (hos *host) execute(ctx context.Context, req *request, cal call.Call) (answer.Answer, any) {
	req.executions.Add(1)
	if !hos.rig.con.PropagateCancellation {
		ctx = context.WithoutCancel(ctx)
	}
	factor, died, up := hos.ser.enter()
	if !up {
		ref := refusal.NotRun(reason.BackendServerDown, "ingressrig.execute")
		ref.Elsewhere = true
		return answer.Answer{AllowanceLeft: cal.Allowance, Refusal: ref}, nil
	}
	defer hos.ser.leave()
	han := handle.Handle{Call: cal, Allowance: allowance.New(cal.Allowance)}
	size := factor * req.size
	deeper := req.deep && cal.Depth == 0
	if deeper {
		size /= 2
	}
	if ref := hos.work(ctx, died, size); ref != nil {
		return answer.Answer{Refusal: ref}, nil
	}
	if req.crashing {
		hos.crash()
		return answer.Answer{Refusal: refusal.Unknown(reason.BackendServerFailed, "ingressrig.execute")}, nil
	}
	if deeper {
		if !hos.callDeeper(ctx, req, han) {
			return hos.failedAnswer(han), false
		}
		if ref := hos.work(ctx, died, size); ref != nil {
			return answer.Answer{Refusal: ref}, nil
		}
	}
	return answer.Answer{AllowanceLeft: han.Allowance.Left()}, true
}

// failedAnswer returns the answer to a call whose deeper call failed.
func (hos *host) failedAnswer(han handle.Handle) answer.Answer {
	ans := answer.Answer{AllowanceLeft: han.Allowance.Left()}
	if hos.rig.con.RetryErrors {
		ans.Refusal = refusal.Unknown(reason.BackendServerFailed, "ingressrig.deeper")
	}
	return ans
}

func (hos *host) work(ctx context.Context, died chan struct{}, size float64) *refusal.Refusal {
	alive, err := hos.ser.work(ctx, died, size)
	switch {
	case err != nil:
		return refusal.Unknown(reason.Cancelled, "ingressrig.work")
	case !alive:
		return refusal.Unknown(reason.BackendServerFailed, "ingressrig.work")
	}
	return nil
}

// callDeeper makes a running call's call to the second service and reports whether it succeeded.
func (hos *host) callDeeper(ctx context.Context, req *request, han handle.Handle) bool {
	cal := han.Call
	cal.ID = req.newID()
	cal.Service = hos.rig.sce.Deep.Name
	cal.Depth++
	cal.Idempotent = true
	cal.Allowance = extraAttempts
	if hos.rig.con.TreeAllowance {
		cal.Allowance = han.Allowance.Lend()
	}
	alw := allowance.New(cal.Allowance)
	ans, good := hos.sendLimited(ctx, req, cal, alw)
	if hos.rig.con.TreeAllowance {
		han.Allowance.Return(ans.AllowanceLeft)
	}
	return good
}

// crash ends the backend server's process, announces the crash to the other nodes of the service after crashDelay, and
// restarts the process after restartTime. It does nothing if the process is down.
func (hos *host) crash() {
	if !hos.ser.crash() {
		return
	}
	hos.gat.Crashed()
	hos.rig.wait.Go(func() {
		time.Sleep(crashDelay)
		for _, mem := range hos.rig.members[hos.member.Service] {
			if mem.ID != hos.member.ID {
				records, _ := hos.gat.CrashRecords(0, hos.gat.CrashRevision())
				hos.rig.hosts[mem.ID].gat.AddCrashRecords(records)
			}
		}
		time.Sleep(restartTime - crashDelay)
		hos.ser.restart()
		hos.gat.SetState(gate.Warming)
	})
}

// policy returns the policy of a gate with the given number of slots, which the control may replace.
func (rig *Rig) policy(slots int) gatepolicy.Policy {
	pol := gatepolicy.Policy{
		Slots: slots, QueueLength: queueLength, QueueWait: queueWait, Weights: map[string]float64{}, Off: rig.con.Off,
	}
	for _, acc := range rig.sce.Accounts {
		pol.Weights[acc.Name] = acc.DemandFraction
	}
	if rig.con.Slots > 0 {
		pol.Slots = rig.con.Slots
	}
	return pol
}
