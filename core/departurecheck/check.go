package departurecheck

import (
	"context"
	"time"

	"flamingoreach/core/announcement"
	"flamingoreach/core/departure"
	"flamingoreach/core/departurecheck/verdict"
)

const (
	// nodesTimeout bounds the time for which the other nodes are asked. A node knows them about 0.3 s after its start. Together
	// with storeTimeout it stays within the 0.5 s in which a backend server that has not left must serve again.
	nodesTimeout = 300 * time.Millisecond
	// storeTimeout bounds one read of the store, which normally answers within milliseconds.
	storeTimeout = 200 * time.Millisecond
	// probeTimeout bounds the probe of the backend server. A live process on the same host answers within milliseconds.
	probeTimeout = 300 * time.Millisecond
	// patience is how long the check waits for the other nodes or the store once the probe has not shown that the backend
	// server serves. It bounds how long a backend server is out of use because nobody answers.
	patience = 2 * time.Second
	// retryInterval is the time between two rounds of questions while the check waits.
	retryInterval = 300 * time.Millisecond
)

// Check asks the other nodes, then the store, and only if neither answers the backend server itself. Its methods block and
// are safe for concurrent use.
type Check struct {
	// AskNodes asks the other nodes for the latest departure on this host. decided is false if too few of them can tell
	// which one is the latest, or that there is none.
	AskNodes func(ctx context.Context) (dep departure.Departure, found, decided bool)
	// ReadStore reads the latest departure on this host from the store.
	ReadStore func(ctx context.Context) (dep departure.Departure, found bool, err error)
	// Probe asks the backend server whether it serves. An error means that it did not say.
	Probe func(ctx context.Context, ann announcement.Announcement) (serving bool, err error)
}

// Run returns the verdict on the process of an announcement. It takes nodesTimeout, storeTimeout, probeTimeout and patience
// together at most, and a round of questions more.
func (che *Check) Run(ctx context.Context, ann announcement.Announcement) verdict.Verdict {
	if ver := che.ask(ctx, ann); ver.Decided {
		return ver
	}
	serving, err := che.probe(ctx, ann)
	if err == nil && serving {
		return verdict.Verdict{Decided: true, Source: verdict.Probe}
	}
	for giveUpAt := time.Now().Add(patience); time.Now().Before(giveUpAt) && ctx.Err() == nil; {
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

// ask asks the other nodes and, if they neither decide nor know of a departure that covers the announcement, the store.
func (che *Check) ask(ctx context.Context, ann announcement.Announcement) verdict.Verdict {
	nodesCtx, cancel := context.WithTimeout(ctx, nodesTimeout)
	dep, found, decided := che.AskNodes(nodesCtx)
	cancel()
	if decided || found && dep.Covers(ann) {
		return verdict.Verdict{Decided: true, Departure: dep, Found: found, Source: verdict.Nodes}
	}
	storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	dep, found, err := che.ReadStore(storeCtx)
	if err != nil {
		return verdict.Verdict{}
	}
	return verdict.Verdict{Decided: true, Departure: dep, Found: found, Source: verdict.Store}
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
