package departurecheck

import (
	"context"
	"time"

	"flamingoreach/core/announcement"
	"flamingoreach/core/departure"
	"flamingoreach/core/departurecheck/verdict"
)

const (
	// nodesTimeout bounds the time for which the other nodes are asked. A node knows them about 0.3 s after its start.
	nodesTimeout = 300 * time.Millisecond
	// storeDelay is how long the store is not read while the other nodes have not answered. Nodes that are known answer within
	// milliseconds. Together with storeTimeout it stays within the 0.5 s in which a backend server that has not left must serve
	// again.
	storeDelay = 100 * time.Millisecond
	// storeTimeout bounds one read of the store, which takes up to 0.3 s when the store is slow.
	storeTimeout = 350 * time.Millisecond
	// probeTimeout bounds the probe of the backend server. A live process on the same host answers within milliseconds.
	probeTimeout = 300 * time.Millisecond
	// retryTimeout is how long the check waits for the other nodes or the store once the probe has not shown that the backend
	// server serves. It bounds how long a backend server is out of use because nobody answers.
	retryTimeout = 2 * time.Second
	// retryInterval is the time between two rounds of questions while the check waits.
	retryInterval = 300 * time.Millisecond
)

// Check asks the other nodes and the store, and only if neither answers the backend server itself. Its methods block and are
// safe for concurrent use.
type Check struct {
	// AskNodes asks the other nodes for the latest departure on this host. decided is false if too few of them can tell
	// which one is the latest, or that there is none.
	AskNodes func(ctx context.Context) (dep departure.Departure, found, decided bool)
	// ReadStore reads the latest departure on this host from the store.
	ReadStore func(ctx context.Context) (dep departure.Departure, found bool, err error)
	// Probe asks the backend server whether it serves. An error means that it did not say.
	Probe func(ctx context.Context, ann announcement.Announcement) (serving bool, err error)
}

// Run returns the verdict on the process of an announcement. It takes storeDelay, storeTimeout, probeTimeout and retryTimeout
// together at most, and a round of questions more.
func (che *Check) Run(ctx context.Context, ann announcement.Announcement) verdict.Verdict {
	if ver := che.ask(ctx, ann); ver.Decided {
		return ver
	}
	serving, err := che.probe(ctx, ann)
	if err == nil && serving {
		return verdict.Verdict{Decided: true, Source: verdict.Probe}
	}
	for giveUpAt := time.Now().Add(retryTimeout); time.Now().Before(giveUpAt) && ctx.Err() == nil; {
		if !wait(ctx, retryInterval) {
			break
		}
		if ver := che.ask(ctx, ann); ver.Decided {
			return ver
		}
	}
	if err == nil || ctx.Err() != nil {
		// The backend server itself says that it does not serve.
		return verdict.Verdict{Source: verdict.Probe}
	}
	return verdict.Verdict{Decided: true, Source: verdict.None}
}

// nodesAnswer is the result of AskNodes.
type nodesAnswer struct {
	departure      departure.Departure
	found, decided bool
}

// ask asks the other nodes and, unless they know of a departure that covers the announcement, the store. That the nodes know
// of none counts only if the store does not answer, because this node may not have reached them at the departure.
func (che *Check) ask(ctx context.Context, ann announcement.Announcement) verdict.Verdict {
	nodesCtx, cancel := context.WithTimeout(ctx, nodesTimeout)
	defer cancel()
	answers := make(chan nodesAnswer, 1)
	go func() {
		dep, found, decided := che.AskNodes(nodesCtx)
		answers <- nodesAnswer{dep, found, decided}
	}()
	var nodes nodesAnswer
	answered := false
	select {
	case nodes = <-answers:
		answered = true
	case <-time.After(storeDelay):
	}
	if nodes.covers(ann) {
		return nodes.verdict()
	}
	dep, found, err := che.readStore(ctx)
	if err == nil && found && dep.Covers(ann) {
		cancel()
	}
	if !answered {
		nodes = <-answers
	}
	switch {
	case nodes.covers(ann):
		return nodes.verdict()
	case err == nil:
		return verdict.Verdict{Decided: true, Departure: dep, Found: found, Source: verdict.Store}
	case nodes.decided:
		return nodes.verdict()
	}
	return verdict.Verdict{}
}

func (ans nodesAnswer) covers(ann announcement.Announcement) bool {
	return ans.found && ans.departure.Covers(ann)
}

func (ans nodesAnswer) verdict() verdict.Verdict {
	return verdict.Verdict{Decided: true, Departure: ans.departure, Found: ans.found, Source: verdict.Nodes}
}

func (che *Check) readStore(ctx context.Context) (departure.Departure, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return che.ReadStore(ctx)
}

func (che *Check) probe(ctx context.Context, ann announcement.Announcement) (serving bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return che.Probe(ctx, ann)
}

// wait returns false if the context ends first.
func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
