package admission

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"flamingoreach/core/allowance"
	"flamingoreach/core/call"
	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/core/request"
	"flamingoreach/core/route"
)

// MaxDepth bounds the depth of a request tree, so that a cycle of calls ends.
const MaxDepth = 32

// routePriorities is above the priority of any route, where accounts have priorities of their own.
const routePriorities = 1000

// queueParts is the part of its target latency that a call may wait at a gate, as a divisor: a refusal that comes
// no later still leaves the caller the time to come back.
const queueParts = 8

// Admission admits calls; its function fields are its seams.
type Admission struct {
	// Configuration returns the version in force, or nil before the first one is known.
	Configuration func() *configuration.Configuration
	// FindRoute matches a request's host, method and path.
	FindRoute func(req request.Request) (route.Route, bool)
	// Authenticate returns the account and the ID of the key that a credential shows.
	Authenticate func(credential string) (clientaccount.ClientAccount, string, *refusal.Refusal)
	// CheckFence refuses keyed calls while this node may have missed a configuration.
	CheckFence func() *refusal.Refusal
	// ChoosePart, if set, picks the service of a route that divides its calls.
	ChoosePart func(rou route.Route) string
	// NewID, if set, names calls in place of version 7 UUIDs, whose time is of use only where hosts' clocks agree.
	NewID func() uuid.UUID
	// TakeToken takes one token of an account's rate, and may wait for one for a bounded time.
	TakeToken func(ctx context.Context, account string) *refusal.Refusal
}

// Admit returns the call with its allowance, or the call with no more than its ID and the refusal of it.
func (adm *Admission) Admit(ctx context.Context, req request.Request) (call.Call, *allowance.Allowance, *refusal.Refusal) {
	cal := call.Call{ID: adm.newID(), IdempotencyKey: req.IdempotencyKey, RequestID: req.ID, CallerService: req.CallerService}
	cfg := adm.Configuration()
	if cfg == nil {
		ref := refusal.NotRun(reason.NoConfiguration, "admit")
		ref.RetryAfter = time.Second
		return cal, nil, ref
	}
	rou, found := adm.FindRoute(req)
	if !found {
		return cal, nil, refusal.NotRun(reason.UnknownRoute, "find route")
	}
	cal.Service = adm.service(rou)
	cal.Route = rou.Name
	cal.Priority = rou.Priority
	cal.Idempotent = rou.Idempotent
	cal.Deadline = time.Now().Add(timeout(rou, req))
	cal.QueueWait = rou.TargetLatency / queueParts
	if req.Parent != nil {
		return adm.admitBelow(cal, rou, req)
	}
	return adm.admitRoot(ctx, cal, cfg, rou, req)
}

// admitBelow gives a deeper call the account, priority, deadline and part of the allowance of its parent.
func (adm *Admission) admitBelow(cal call.Call, rou route.Route, req request.Request) (call.Call, *allowance.Allowance, *refusal.Refusal) {
	parent := req.Parent.Call
	if parent.Depth+1 >= MaxDepth {
		return cal, nil, refusal.NotRun(reason.DepthExceeded, "admit deeper call")
	}
	if parent.KeyID == "" && !rou.Open {
		return cal, nil, refusal.NotRun(reason.KeyMissing, "admit deeper call")
	}
	if parent.KeyID != "" {
		if ref := adm.CheckFence(); ref != nil {
			return cal, nil, ref
		}
	}
	cal.Root = parent.Root
	cal.Depth = parent.Depth + 1
	cal.Account = parent.Account
	cal.KeyID = parent.KeyID
	cal.Priority = parent.Priority
	if parent.Deadline.Before(cal.Deadline) {
		cal.Deadline = parent.Deadline
	}
	cal.Fingerprint = fingerprint(cal, req)
	cal.Allowance = req.Parent.Allowance.Lend()
	return cal, allowance.New(cal.Allowance), nil
}

func (adm *Admission) admitRoot(ctx context.Context, cal call.Call, cfg *configuration.Configuration, rou route.Route, req request.Request) (call.Call, *allowance.Allowance, *refusal.Refusal) {
	cal.Root = cal.ID
	if !rou.Open {
		acc, keyID, ref := adm.Authenticate(req.Credential)
		if ref != nil {
			return cal, nil, ref
		}
		// The fence is asked after the configuration was read, so that a process that was frozen in between
		// does not go by an old one.
		if ref := adm.CheckFence(); ref != nil {
			return cal, nil, ref
		}
		if ref := adm.TakeToken(ctx, acc.Name); ref != nil {
			cal.Account = acc.Name
			return cal, nil, ref
		}
		cal.Account = acc.Name
		cal.KeyID = keyID
		cal.Priority = priority(cal.Priority, acc)
	}
	cal.Fingerprint = fingerprint(cal, req)
	cal.Allowance = cfg.RetryAllowance
	if rou.Attempts > 0 {
		cal.Allowance = rou.Attempts - 1
	}
	return cal, allowance.New(cal.Allowance), nil
}

// priority returns the priority of an account's call on a route of the given one. Where accounts have their own,
// the route's decides among calls of equal ones.
func priority(ofRoute int, acc clientaccount.ClientAccount) int {
	if acc.Priority != nil {
		return *acc.Priority*routePriorities + ofRoute
	}
	return ofRoute + acc.PriorityBoost
}

// service returns the service that runs the next call of a route.
func (adm *Admission) service(rou route.Route) string {
	if len(rou.Parts) > 0 && adm.ChoosePart != nil {
		return adm.ChoosePart(rou)
	}
	return rou.Service
}

// timeout is the shorter one of the caller's and the route's.
func timeout(rou route.Route, req request.Request) time.Duration {
	if req.Timeout > 0 && (req.Timeout < rou.Timeout || rou.Timeout == 0) {
		return req.Timeout
	}
	return rou.Timeout
}

// fingerprint identifies a call's content, for the quarantine of calls that crash backend servers.
func fingerprint(cal call.Call, req request.Request) uint64 {
	dig := xxhash.New()
	for _, part := range []string{cal.Account, cal.Route, req.Method, req.Path} {
		_, _ = dig.WriteString(part)
		_, _ = dig.Write([]byte{0})
	}
	return dig.Sum64() ^ req.Digest
}

func (adm *Admission) newID() uuid.UUID {
	if adm.NewID != nil {
		return adm.NewID()
	}
	return uuid.Must(uuid.NewV7())
}
