package timeline

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"flamingoreach/core/reason"
	"flamingoreach/io/demo/observation"
)

const (
	// BinLength is the resolution in which recovery is measured.
	BinLength = 250 * time.Millisecond
	// recoveredShare is the fraction of requests in a bin that must get complete answers for the bin to count as recovered.
	recoveredShare = 0.95
)

// Timeline aggregates the observations so far. It has no lock: only the control thread of the demonstration uses it.
type Timeline struct {
	// Steady holds the names of the accounts that offer no more than their rate; recovery and wrongful refusals are measured
	// by their requests only.
	Steady map[string]bool
	bins   []bin
	// Complete counts complete answers by account.
	Complete map[string]int
	// executed holds, by account, the requests whose observation reports Executed.
	executed map[string][]span
	// WrongfulRefusals counts refusals of requests that the rate of their account covers, by reason.
	WrongfulRefusals map[reason.Reason]int
	// AnswersLost counts the requests whose observation reports AnswerLost.
	AnswersLost int

	// completeSinceReport and refusedSinceReport count from the last call of ProgressLine.
	completeSinceReport int
	refusedSinceReport  map[reason.Reason]int
	lastComplete        map[string]time.Time
}

// span is the time from the sending of a request to its answer, in which the request took its token.
type span struct {
	sent time.Time
	done time.Time
}

type bin struct {
	offered  int
	complete int
}

// New returns an empty timeline; steady names the accounts that offer no more than their rate.
func New(steady ...string) *Timeline {
	tim := &Timeline{
		Steady: map[string]bool{}, Complete: map[string]int{}, executed: map[string][]span{},
		WrongfulRefusals: map[reason.Reason]int{}, refusedSinceReport: map[reason.Reason]int{}, lastComplete: map[string]time.Time{},
	}
	for _, name := range steady {
		tim.Steady[name] = true
	}
	return tim
}

// Add adds one request.
func (tim *Timeline) Add(obs observation.Observation) {
	name := obs.Arrival.Account.Name
	if obs.Executed() {
		tim.executed[name] = append(tim.executed[name], span{sent: obs.Sent, done: obs.Done})
	}
	if obs.AnswerLost() {
		tim.AnswersLost++
	}
	if obs.Attempt.Complete {
		tim.completeSinceReport++
		tim.Complete[name]++
		if obs.Sent.After(tim.lastComplete[name]) {
			tim.lastComplete[name] = obs.Sent
		}
	}
	if obs.Attempt.Refused() {
		tim.refusedSinceReport[obs.Attempt.Reason]++
		if obs.Arrival.WithinRate && tim.Steady[name] {
			tim.WrongfulRefusals[obs.Attempt.Reason]++
		}
	}
	tim.addToBin(obs)
}

func (tim *Timeline) addToBin(obs observation.Observation) {
	if !tim.Steady[obs.Arrival.Account.Name] || !obs.Arrival.WithinRate {
		return
	}
	index := int(obs.Arrival.Offset / BinLength)
	for len(tim.bins) <= index {
		tim.bins = append(tim.bins, bin{})
	}
	tim.bins[index].offered++
	if obs.Attempt.Complete {
		tim.bins[index].complete++
	}
}

// Excess returns by how many requests the accounts together exceeded a rate, per second, and burst in the worst interval;
// it is at most 0 if they never did. An interval includes the requests that were sent and answered within it.
func (tim *Timeline) Excess(rate, burst float64, names ...string) float64 {
	var spans []span
	for _, name := range names {
		spans = append(spans, tim.executed[name]...)
	}
	slices.SortFunc(spans, func(one, other span) int { return one.done.Compare(other.done) })
	worst := -burst
	for _, first := range spans {
		count := 0.0
		for _, spa := range spans {
			if spa.sent.Before(first.sent) {
				continue
			}
			count++
			worst = max(worst, count-burst-rate*spa.done.Sub(first.sent).Seconds())
		}
	}
	return worst
}

// LastCompleteSent returns when the last request of an account that got a complete answer was sent.
func (tim *Timeline) LastCompleteSent(account string) time.Time { return tim.lastComplete[account] }

// Recovery looks at the bins between two offsets. It returns the time from the first offset to the end of the last bin
// that was not recovered, 0 if all were, and false if the load did not recover before the second offset.
func (tim *Timeline) Recovery(from, until time.Duration) (time.Duration, bool) {
	first, last := int(from/BinLength), min(int(until/BinLength), len(tim.bins))
	recovered := from
	for index := first; index < last; index++ {
		one := tim.bins[index]
		if float64(one.complete) < recoveredShare*float64(one.offered) {
			recovered = time.Duration(index+1) * BinLength
		}
	}
	return recovered - from, recovered < until
}

// ProgressLine returns a line that counts the answers and refusals since the last call.
func (tim *Timeline) ProgressLine() string {
	texts := []string{fmt.Sprintf("%d whole answers", tim.completeSinceReport)}
	for _, why := range slices.Sorted(maps.Keys(tim.refusedSinceReport)) {
		texts = append(texts, fmt.Sprintf("%d refused %s", tim.refusedSinceReport[why], why))
	}
	tim.completeSinceReport = 0
	clear(tim.refusedSinceReport)
	return strings.Join(texts, ", ")
}
