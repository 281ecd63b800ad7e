package gate

import (
	"context"
	"sync"
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/admissionlevel"
	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/dedupe"
	"flamingoreach/core/deepercalls"
	"flamingoreach/core/gatepolicy"
	"flamingoreach/core/gatestats"
	"flamingoreach/core/limit"
	"flamingoreach/core/machine"
	"flamingoreach/core/quarantine"
	"flamingoreach/core/queue"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/core/standingdelay"
)

const (
	// targetParts is the part of QueueWait above which a delay that stands leads to shedding, as a divisor.
	targetParts = 10
	// serviceSamples is the number of calls over which the service time is averaged.
	serviceSamples = 32
	// boundSteps is the number of clear intervals in which the queue regains all its places.
	boundSteps = 8
)

// The states of the chart gate, as SetState takes them.
const (
	Warming  = "warming"
	Serving  = "serving"
	Draining = "draining"
	Down     = "down"
)

// eventFor names the event of the chart gate that asks for a state.
var eventFor = map[string]string{Warming: "started", Serving: "warmed", Draining: "drained", Down: "crashed"}

var lifecycle = machine.MustNew(charts.Must("gate"), []string{"started", "warmed", "drained", "crashed"},
	map[string]func(*Gate) bool{"staying": func(gat *Gate) bool { return gat.idle == nil }},
	map[string]func(*Gate){
		"suspectRunning": (*Gate).suspectRunning,
		"refuseWaiting":  (*Gate).refuseWaiting,
		"startSlowly":    (*Gate).startSlowly,
	})

// Gate admits, queues and runs the calls of one backend server.
type Gate struct {
	// Recheck, if set, is asked right before a call runs and returns a refusal if it must not run any more.
	Recheck func(cal call.Call) *refusal.Refusal
	// PayloadSize, if set, returns the size of a payload in bytes; without it each answer counts as unitSize.
	PayloadSize func(payload any) int
	// Started, if set, is told of each call that is handed to the backend server, Ended of each answer.
	Started func(cal call.Call)
	Ended   func(cal call.Call, ans answer.Answer)

	mut     sync.Mutex
	pol     gatepolicy.Policy
	state   string
	que     *queue.Queue
	running map[*flight]struct{}
	// held is the number of slots in use, those of calls that are about to run included.
	held int
	// deeper follows the calls of work that runs elsewhere, for which slots are kept.
	deeper deepercalls.Count
	lim    *limit.Limit
	del    standingdelay.Delay
	lev    *admissionlevel.Level
	ded    *dedupe.Table
	qua    *quarantine.List
	// failed holds the calls that the backend server lost of late; their process may be found dead later.
	failed []*flight
	// service is the moving average of the time that calls ran.
	service time.Duration
	// idle is set once Drain was called, and closed when no call runs or waits.
	idle     chan struct{}
	executed uint64
	repeats  uint64
	refused  map[reason.Reason]uint64
}

// flight is one call between its admission and its end.
type flight struct {
	call    call.Call
	started time.Time
	// ended is set when the backend server lost the call.
	ended time.Time
	// suspect says that the backend server died while the call ran.
	suspect bool
}

// New returns a gate in the state warming.
func New(pol gatepolicy.Policy) *Gate {
	gat := &Gate{
		state:   lifecycle.Initial(),
		running: map[*flight]struct{}{},
		refused: map[reason.Reason]uint64{},
	}
	gat.pol = pol.WithDefaults()
	gat.lim = limit.New(gat.pol.Slots)
	gat.lev = admissionlevel.New()
	gat.ded = dedupe.New(time.Now())
	gat.qua = quarantine.New(gat.pol.QuarantineTime)
	gat.que = queue.New(gat.pol.QueueLength, func(account string) float64 { return gat.pol.Weight(account) })
	gat.apply()
	return gat
}

// Configure changes the policy; running and waiting calls are kept.
func (gat *Gate) Configure(pol gatepolicy.Policy) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.pol = pol.WithDefaults()
	gat.apply()
	gat.dispatch()
}

// apply passes the policy on to the gate's parts.
func (gat *Gate) apply() {
	gat.que.SetLength(gat.pol.QueueLength)
	gat.que.InOrder = !gat.pol.On(gatepolicy.FairQueue)
	gat.lim.SetSlots(gat.pol.Slots)
	gat.del.Target = gat.pol.QueueWait / targetParts
	gat.qua.Time = gat.pol.QuarantineTime
	gat.ded.Keep, gat.ded.ClockSkew = gat.pol.IdempotencyKeep, gat.pol.ClockSkew
	gat.ded.MaxCalls, gat.ded.MaxBytes = gat.pol.KeptCalls, gat.pol.KeptBytes
}

// SetState asks for a state of the chart gate; a change that the chart does not allow has no effect.
func (gat *Gate) SetState(state string) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.fire(eventFor[state])
}

// Crashed says that the backend server's process died: its running calls are suspects, waiting ones are refused.
func (gat *Gate) Crashed() { gat.SetState(Down) }

// Drain admits no more calls and waits until the admitted ones have ended; it fails with the context's error.
func (gat *Gate) Drain(ctx context.Context) error {
	gat.mut.Lock()
	gat.fire("drained")
	if gat.idle == nil {
		gat.idle = make(chan struct{})
	}
	idle := gat.idle
	gat.signalIdle()
	gat.mut.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stats returns a copy of the gate's counters and present values.
func (gat *Gate) Stats() gatestats.Stats {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.endIntervals(time.Now())
	refused := make(map[reason.Reason]uint64, len(gat.refused))
	for why, count := range gat.refused {
		refused[why] = count
	}
	kept, bytes := gat.ded.Len()
	return gatestats.Stats{
		State: gat.state, Running: len(gat.running), Waiting: gat.que.Len(), Limit: gat.limit(),
		Executed: gat.executed, Repeats: gat.repeats, Refused: refused,
		Level: gat.lev.Value(), Kept: kept, KeptBytes: bytes, Quarantined: gat.qua.Len(time.Now()),
	}
}

func (gat *Gate) fire(event string) { gat.state = lifecycle.Fire(gat, gat.state, event) }

func (gat *Gate) refuseWaiting() {
	for wai := gat.que.Pop(false); wai != nil; wai = gat.que.Pop(false) {
		wai.Ready <- elsewhere(reason.BackendServerDown, "gate.crashed")
	}
}

// startSlowly begins with a cold backend server; gates that stood in for this one may have run older keys.
func (gat *Gate) startSlowly() {
	gat.lim.Restart()
	gat.ded.Resume(time.Now())
}

func (gat *Gate) limit() int {
	if gat.pol.On(gatepolicy.AdaptiveLimit) {
		return gat.lim.Value()
	}
	return gat.pol.Slots
}

// signalIdle tells Drain that the last call has ended.
func (gat *Gate) signalIdle() {
	if gat.idle == nil || gat.held > 0 || gat.que.Len() > 0 {
		return
	}
	select {
	case <-gat.idle:
	default:
		close(gat.idle)
	}
}

// elsewhere returns a refusal of a call that did not run and that another backend server may accept.
func elsewhere(why reason.Reason, step string) *refusal.Refusal {
	ref := refusal.NotRun(why, step)
	ref.Elsewhere = true
	return ref
}
