package gate

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"flamingoreach/charts"
	"flamingoreach/core/admissionlevel"
	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/death"
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
	// queueDelayTargetDivisor divides QueueWait to get the standing queue delay above which the gate sheds calls.
	queueDelayTargetDivisor = 10
	// serviceTimeSamples is the number of calls over which the moving average of the service time runs.
	serviceTimeSamples = 32
	// queueRecoveryIntervals is the number of intervals without standing delay after which a shortened queue has its
	// full length again.
	queueRecoveryIntervals = 8
)

// The states of the chart gate that SetState accepts.
const (
	Warming  = "warming"
	Serving  = "serving"
	Draining = "draining"
	Down     = "down"
)

// eventFor maps a state to the event of the chart gate that leads to it.
var eventFor = map[string]string{Warming: "started", Serving: "warmed", Draining: "drained", Down: "crashed"}

var gateMachine = machine.MustNew(charts.MustLoad("gate"), []string{"started", "warmed", "drained", "crashed"},
	map[string]func(*Gate) bool{"notLeaving": func(gat *Gate) bool { return gat.idle == nil }},
	map[string]func(*Gate){
		"markSuspects":  (*Gate).markSuspects,
		"refuseWaiting": (*Gate).refuseWaiting,
		"restartCold":   (*Gate).restartCold,
	})

// Gate admits, queues and runs the calls of one backend server.
type Gate struct {
	// Recheck, if set, is called right before a call runs and returns a refusal if the call may no longer run, for
	// example because its key was withdrawn while it waited.
	Recheck func(cal call.Call) *refusal.Refusal
	// PayloadSize, if set, returns the size of a payload in bytes; without it each payload counts as
	// defaultPayloadSize.
	PayloadSize func(payload any) int
	// OnStart, if set, is called with each call that is handed to the backend server, and OnEnd with the answer of
	// each call, refusals included.
	OnStart func(cal call.Call)
	OnEnd   func(cal call.Call, ans answer.Answer)
	// OnDeath, if set, is called with each death of the backend server's process that the gate notices. The gate is locked
	// meanwhile, so it must not be called.
	OnDeath func(dea death.Death)

	mut    sync.Mutex
	policy gatepolicy.Policy
	state  string
	// closed is the reason for which all calls are refused, whatever the state, or empty.
	closed  reason.Reason
	queue   *queue.Queue
	running map[*execution]struct{}
	// slotsInUse includes the slots of calls that are admitted but do not run yet.
	slotsInUse int
	// deeperCalls counts the deeper calls that run, to reserve slots for them.
	deeperCalls      deepercalls.Count
	concurrencyLimit *limit.Limit
	standingDelay    standingdelay.Delay
	admissionLevel   *admissionlevel.Level
	dedupe           *dedupe.Table
	quarantine       *quarantine.List
	// failed maps the contents of calls that ended without an answer to the last failure. If the backend
	// server's process turns out to have died, they are suspects.
	failed map[content]failure
	// serviceTime is the moving average of the time that calls take to run.
	serviceTime time.Duration
	// idle is nil until Drain is called, and is closed when no call runs or waits.
	idle chan struct{}
	// pace and paceRate are nil unless SetPace has set them. pacedUntil is the time until which pace has held up calls, and
	// paceTimer is set while a timer is to dispatch the waiting calls at that time.
	pace       func(now time.Time) time.Duration
	paceRate   func(now time.Time) (rate float64, cold bool)
	pacedUntil time.Time
	paceTimer  *time.Timer
	executed   uint64
	duplicates uint64
	// deaths counts the deaths of the backend server's process, unattributed those without suspects.
	deaths, unattributed uint64
	refused              map[reason.Reason]uint64
}

// execution is one call that runs, or ran, on the backend server.
type execution struct {
	call    call.Call
	started time.Time
	// deathID identifies the death of the backend server's process that was noticed while the call ran, at diedAt.
	deathID uuid.UUID
	diedAt  time.Time
}

// New returns a gate in the state Warming.
func New(pol gatepolicy.Policy) *Gate {
	gat := &Gate{
		state:   gateMachine.Initial(),
		running: map[*execution]struct{}{},
		failed:  map[content]failure{},
		refused: map[reason.Reason]uint64{},
	}
	gat.policy = pol.WithDefaults()
	gat.concurrencyLimit = limit.New(gat.policy.Slots)
	gat.admissionLevel = admissionlevel.New()
	gat.dedupe = dedupe.New(time.Now())
	gat.quarantine = quarantine.New(gat.policy.QuarantineTime)
	gat.queue = queue.New(gat.policy.QueueLength, func(account string) float64 { return gat.policy.Weight(account) })
	gat.apply()
	return gat
}

// Configure changes the policy; running and waiting calls are kept.
func (gat *Gate) Configure(pol gatepolicy.Policy) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.policy = pol.WithDefaults()
	gat.apply()
	gat.dispatch()
}

// apply copies the policy's settings to the components of the gate.
func (gat *Gate) apply() {
	gat.queue.SetLength(gat.policy.QueueLength)
	gat.queue.FIFO = !gat.policy.On(gatepolicy.FairQueue)
	gat.concurrencyLimit.SetSlots(gat.policy.Slots)
	gat.standingDelay.Target = gat.policy.QueueWait / queueDelayTargetDivisor
	gat.quarantine.Period = gat.policy.QuarantineTime
	gat.dedupe.KeyRetention, gat.dedupe.ClockSkew = gat.policy.IdempotencyRetention, gat.policy.ClockSkew
	gat.dedupe.MaxCalls, gat.dedupe.MaxBytes = gat.policy.MaxDedupeCalls, gat.policy.MaxDedupeBytes
}

// SetState requests a state; a transition that the chart gate does not allow has no effect.
func (gat *Gate) SetState(state string) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.fire(eventFor[state])
}

// Crashed reports that the backend server's process died: running calls become suspects, waiting calls are refused.
func (gat *Gate) Crashed() { gat.SetState(Down) }

// SetClosed closes the gate for a reason, or opens it again with reason.None. While it is closed it refuses all calls,
// waiting ones at once, as not run and acceptable elsewhere; running calls end. The state of the backend server changes
// independently of that. When it opens, the dedupe table resumes, because other gates may have run the calls of older
// idempotency keys.
func (gat *Gate) SetClosed(why reason.Reason) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	if why == reason.None && gat.closed != reason.None {
		gat.dedupe.Resume(time.Now())
	}
	gat.closed = why
	if why != reason.None {
		gat.refuseAllWaiting(overloaded(why, "gate.closed"))
		gat.signalIdle()
	}
}

// Drain stops the admission of calls for good and waits until the admitted ones have ended. If the context ends
// first, it returns the context's error.
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

// Stats returns a copy of the gate's counters and current values.
func (gat *Gate) Stats() gatestats.Stats {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.endIntervals(time.Now())
	refused := make(map[reason.Reason]uint64, len(gat.refused))
	for why, count := range gat.refused {
		refused[why] = count
	}
	kept, bytes := gat.dedupe.Len()
	return gatestats.Stats{
		Deaths: gat.deaths, UnattributedDeaths: gat.unattributed,
		State: gat.state, Running: len(gat.running), Waiting: gat.queue.Len(), Limit: gat.limit(),
		Executed: gat.executed, Duplicates: gat.duplicates, Refused: refused,
		Level: gat.admissionLevel.Value(), DedupeEntries: kept, DedupeBytes: bytes, Quarantined: gat.quarantine.CountRefused(time.Now()),
		CrashRecordsEvicted: gat.quarantine.Evicted(),
	}
}

func (gat *Gate) fire(event string) { gat.state = gateMachine.Fire(gat, gat.state, event) }

func (gat *Gate) refuseWaiting() {
	gat.refuseAllWaiting(acceptableElsewhere(reason.BackendServerDown, "gate.crashed"))
}

// refuseAllWaiting gives each waiting call a copy of a refusal, since the call's own side may change it.
func (gat *Gate) refuseAllWaiting(ref *refusal.Refusal) {
	for wai := gat.queue.Pop(false); wai != nil; wai = gat.queue.Pop(false) {
		own := *ref
		wai.Ready <- &own
	}
}

// restartCold restarts the limit's slow start for a backend server that has just started, and resumes the dedupe table,
// because other gates may have run the calls of older idempotency keys while this one was down.
func (gat *Gate) restartCold() {
	gat.concurrencyLimit.Restart()
	gat.dedupe.Resume(time.Now())
}

func (gat *Gate) limit() int {
	if gat.policy.On(gatepolicy.AdaptiveLimit) {
		return gat.concurrencyLimit.Value()
	}
	return gat.policy.Slots
}

// signalIdle closes idle, for which Drain waits, if no call runs or waits.
func (gat *Gate) signalIdle() {
	if gat.idle == nil || gat.slotsInUse > 0 || gat.queue.Len() > 0 {
		return
	}
	select {
	case <-gat.idle:
	default:
		close(gat.idle)
	}
}

// acceptableElsewhere returns a refusal of a call that did not run and that another backend server may accept.
func acceptableElsewhere(why reason.Reason, step string) *refusal.Refusal {
	ref := refusal.NotRun(why, step)
	ref.Elsewhere = true
	return ref
}
