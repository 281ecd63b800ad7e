package departurecheck_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/announcement"
	"flamingoreach/core/departure"
	"flamingoreach/core/departurecheck"
	"flamingoreach/core/departurecheck/verdict"
)

// sources are fakes: the other nodes and the store answer from the given times on, and never if these are negative.
type sources struct {
	nodesFrom, storeFrom time.Duration
	// storeTakes is the duration of a read of the store.
	storeTakes time.Duration
	// storeDep is what the store has in place of dep, if set.
	storeDep *departure.Departure
	// silent makes them give no answer until the context ends, instead of an error at once.
	silent        bool
	found         bool
	serving       bool
	probeErr      error
	reads, probes int
	began         time.Time
	dep           departure.Departure
}

func (sou *sources) available(ctx context.Context, from time.Duration) bool {
	if from >= 0 && time.Since(sou.began) >= from {
		return true
	}
	if sou.silent {
		<-ctx.Done()
	}
	return false
}

func (sou *sources) check() *departurecheck.Check {
	sou.began = time.Now()
	return &departurecheck.Check{
		AskNodes: func(ctx context.Context) (departure.Departure, bool, bool) {
			answers := sou.available(ctx, sou.nodesFrom)
			return sou.dep, sou.found && answers, answers
		},
		ReadStore: func(ctx context.Context) (departure.Departure, bool, error) {
			sou.reads++
			if !sou.available(ctx, sou.storeFrom) {
				return departure.Departure{}, false, io.ErrUnexpectedEOF
			}
			select {
			case <-time.After(sou.storeTakes):
			case <-ctx.Done():
				return departure.Departure{}, false, ctx.Err()
			}
			if sou.storeDep != nil {
				return *sou.storeDep, true, nil
			}
			return sou.dep, sou.found, nil
		},
		Probe: func(context.Context, announcement.Announcement) (bool, error) {
			sou.probes++
			return sou.serving, sou.probeErr
		},
	}
}

// Guards against a check that takes too long, asks the store or the backend server without need, or takes a backend server
// into use that has left.
func TestTheCheckAsksTheNextSourceOnlyIfOneCannotAnswer(t *testing.T) {
	const never = -1
	dep := departure.Departure{ServerID: "a"}
	for name, test := range map[string]struct {
		sou           sources
		expected      verdict.Verdict
		reads, probes int
		within        time.Duration
	}{
		"nodes, store unavailable":  {sources{storeFrom: never}, verdict.Verdict{Decided: true, Source: verdict.Nodes}, 1, 0, 0},
		"nodes, store silent":       {sources{storeFrom: never, silent: true}, verdict.Verdict{Decided: true, Source: verdict.Nodes}, 1, 0, 500 * time.Millisecond},
		"nodes, store":              {sources{}, verdict.Verdict{Decided: true, Source: verdict.Store}, 1, 0, 0},
		"nodes not told, store":     {sources{storeDep: &dep}, verdict.Verdict{Decided: true, Found: true, Departure: dep, Source: verdict.Store}, 1, 0, 0},
		"store slow":                {sources{nodesFrom: never, silent: true, storeTakes: 300 * time.Millisecond}, verdict.Verdict{Decided: true, Source: verdict.Store}, 1, 0, 500 * time.Millisecond},
		"nodes, left":               {sources{found: true, dep: dep}, verdict.Verdict{Decided: true, Found: true, Departure: dep, Source: verdict.Nodes}, 0, 0, 0},
		"store":                     {sources{nodesFrom: never, silent: true}, verdict.Verdict{Decided: true, Source: verdict.Store}, 1, 0, 500 * time.Millisecond},
		"store, left":               {sources{nodesFrom: never, found: true, dep: dep}, verdict.Verdict{Decided: true, Found: true, Departure: dep, Source: verdict.Store}, 1, 0, 0},
		"probe":                     {sources{nodesFrom: never, storeFrom: never, silent: true, serving: true}, verdict.Verdict{Decided: true, Source: verdict.Probe}, 1, 1, 500 * time.Millisecond},
		"probe, left":               {sources{nodesFrom: never, storeFrom: never}, verdict.Verdict{Source: verdict.Probe}, 8, 1, 2500 * time.Millisecond},
		"probe, left, nodes later":  {sources{nodesFrom: time.Second, storeFrom: never, found: true, dep: dep}, verdict.Verdict{Decided: true, Found: true, Departure: dep, Source: verdict.Nodes}, 4, 1, 1500 * time.Millisecond},
		"probe, fails, store later": {sources{nodesFrom: never, storeFrom: time.Second}, verdict.Verdict{Decided: true, Source: verdict.Store}, 5, 1, 1500 * time.Millisecond},
		"nobody":                    {sources{nodesFrom: never, storeFrom: never, probeErr: io.ErrUnexpectedEOF}, verdict.Verdict{Decided: true, Source: verdict.None}, 8, 1, 2500 * time.Millisecond},
		"nobody, silent":            {sources{nodesFrom: never, storeFrom: never, silent: true, probeErr: io.ErrUnexpectedEOF}, verdict.Verdict{Decided: true, Source: verdict.None}, 4, 1, 3500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sou := test.sou
				require.Equal(t, test.expected, sou.check().Run(t.Context(), announcement.Announcement{ID: "a"}))
				require.Equal(t, test.reads, sou.reads)
				require.Equal(t, test.probes, sou.probes)
				require.LessOrEqual(t, time.Since(sou.began), test.within)
			})
		})
	}
}
