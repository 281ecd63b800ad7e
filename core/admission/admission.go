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
	"flamingoreach/core/placement"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/core/request"
	"flamingoreach/core/route"
)

// MaxDepth bounds the depth of a request tree, so that services that call each other in a cycle come to an end.
const MaxDepth = 32

// accountPriorityStep multiplies an account's own priority. It is greater than the priority of any route, so that
// the account's priority takes precedence.
const accountPriorityStep = 1000

// queueWaitDivisor divides a route's target latency to get the time that a call may wait at a gate. A refusal within
// that time leaves the caller enough time to retry.
const queueWaitDivisor = 8

// Admission admits calls; the node sets its function fields.
type Admission struct {
	// Configuration returns the configuration in force, or nil before the node has received one.
	Configuration func() *configuration.Configuration
	// FindRoute matches a request's host, method and path.
	FindRoute func(req request.Request) (route.Route, bool)
	// Authenticate returns the account that a credential's key belongs to, and the key's ID.
	Authenticate func(credential string) (clientaccount.ClientAccount, string, *refusal.Refusal)
	// CheckFence returns a refusal of calls with a key while this node may have missed a configuration.
	CheckFence func() *refusal.Refusal
	// ChooseDestination, if set, returns the service for the next call of a route with weighted destinations.
	ChooseDestination func(rou route.Route) string
	// NewID, if set, generates the call IDs. Otherwise they are UUIDs of version 7, whose time is useful only if the
	// hosts' clocks agree.
	NewID func() uuid.UUID
	// TakeToken takes one token of an account's rate; it may wait for a bounded time until there is one.
	TakeToken func(ctx context.Context, account string) *refusal.Refusal
}

// Admit returns the admitted call with its allowance, or the refusal with an incomplete call that has its ID.
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
	cal.QueueWait = rou.TargetLatency / queueWaitDivisor
	cal.Regions, _ = placement.Intersect(rou.Regions, nil)
	if req.Parent != nil {
		return adm.admitDeeper(cal, rou, req)
	}
	return adm.admitRoot(ctx, cal, cfg, rou, req)
}

// admitDeeper gives a deeper call the account and priority of its parent, a deadline that is not later than the
// parent's, and part of the parent's allowance.
func (adm *Admission) admitDeeper(cal call.Call, rou route.Route, req request.Request) (call.Call, *allowance.Allowance, *refusal.Refusal) {
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
		// The regions of a route and an account of different versions may restrict a call less than either version does.
		if adm.Configuration().Version != cfg.Version {
			return adm.Admit(ctx, req)
		}
		// The fence is checked after the configuration was read, so that a process that was suspended in between
		// does not use an outdated configuration.
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
		cal.Regions, _ = placement.Intersect(rou.Regions, acc.Regions)
	}
	cal.Fingerprint = fingerprint(cal, req)
	cal.Allowance = cfg.RetryAllowance
	if rou.Attempts > 0 {
		cal.Allowance = rou.Attempts - 1
	}
	return cal, allowance.New(cal.Allowance), nil
}

// priority returns the priority of an account's call on a route with the given priority. If the account has its own
// priority, that of the route only decides between calls of equal account priority.
func priority(routePriority int, acc clientaccount.ClientAccount) int {
	if acc.Priority != nil {
		return *acc.Priority*accountPriorityStep + routePriority
	}
	return routePriority + acc.PriorityBoost
}

// service returns the service to which the next call of a route goes.
func (adm *Admission) service(rou route.Route) string {
	if len(rou.Destinations) > 0 && adm.ChooseDestination != nil {
		return adm.ChooseDestination(rou)
	}
	return rou.Service
}

// timeout returns the shorter of the caller's timeout and the route's, where zero means none.
func timeout(rou route.Route, req request.Request) time.Duration {
	if req.Timeout > 0 && (req.Timeout < rou.Timeout || rou.Timeout == 0) {
		return req.Timeout
	}
	return rou.Timeout
}

// fingerprint hashes a call's content, for the quarantine of calls that crash backend servers. It does not depend on the
// route, whose name a new version of the configuration may change.
func fingerprint(cal call.Call, req request.Request) uint64 {
	dig := xxhash.New()
	for _, field := range []string{cal.Account, req.Host, req.Method, req.Path} {
		_, _ = dig.WriteString(field)
		_, _ = dig.Write([]byte{0})
	}
	return dig.Sum64() ^ req.BodyDigest
}

func (adm *Admission) newID() uuid.UUID {
	if adm.NewID != nil {
		return adm.NewID()
	}
	return uuid.Must(uuid.NewV7())
}
