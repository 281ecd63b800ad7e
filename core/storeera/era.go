package storeera

import (
	"math/rand/v2"
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/machine"
)

const (
	// rewriteSpan is the time within which the nodes of a fleet write again what the store may have lost. Without it, all
	// nodes would write at the moment at which the store has just come back.
	rewriteSpan = 2 * time.Second
	// maxReportedBack bounds the earlier eras that are remembered as reported.
	maxReportedBack = 64
)

// Era is the highest era that a node has observed; its methods are called on the control thread only.
type Era struct {
	// OnRise, if set, is called when the era rises, but not for the first era that is observed: nothing was read or written
	// before it.
	OnRise func(from, to uint64)
	// OnBack, if set, is called once for each era that is observed although a later one was observed before.
	OnBack func(era, current uint64)
	// Random returns a number from 0 to 1.
	Random func() float64

	state   string
	current uint64
	// observed is the era that is being handled.
	observed     uint64
	reportedBack map[uint64]bool
	rewrites     []*rewrite
}

// rewrite is a function that runs after a rise; it is due at a time that is zero while nothing has risen.
type rewrite struct {
	run func()
	due time.Time
}

var chart = machine.MustNew(charts.MustLoad("storeEra"),
	[]string{"newer", "rewritten"},
	map[string]func(*Era) bool{},
	map[string]func(*Era){
		"adopt":    func(era *Era) { era.current = era.observed },
		"rise":     (*Era).rise,
		"schedule": (*Era).schedule,
	})

// New returns an era that was not observed yet.
func New() *Era {
	return &Era{state: chart.Initial(), Random: rand.Float64, reportedBack: map[uint64]bool{}}
}

// Current returns the highest era that was observed, or 0.
func (era *Era) Current() uint64 { return era.current }

// AfterRise registers a function that runs once after each rise, at a random time within rewriteSpan.
func (era *Era) AfterRise(run func()) { era.rewrites = append(era.rewrites, &rewrite{run: run}) }

// Observe handles the era of an answer of the store, or one that another node has observed, and reports whether it rose.
func (era *Era) Observe(observed uint64) (rose bool) {
	first := era.state == chart.Initial()
	switch {
	case first || observed > era.current:
		era.observed = observed
		era.fire("newer")
		return !first
	case observed < era.current && !era.reportedBack[observed] && len(era.reportedBack) < maxReportedBack:
		era.reportedBack[observed] = true
		if era.OnBack != nil {
			era.OnBack(observed, era.current)
		}
	}
	return false
}

// Tick runs the functions that are due.
func (era *Era) Tick() {
	if era.state != "rewriting" {
		return
	}
	now, waiting := time.Now(), false
	for _, rew := range era.rewrites {
		switch {
		case rew.due.IsZero():
		case now.Before(rew.due):
			waiting = true
		default:
			rew.due = time.Time{}
			rew.run()
		}
	}
	if !waiting {
		era.fire("rewritten")
	}
}

func (era *Era) rise() {
	from := era.current
	era.current = era.observed
	if era.OnRise != nil {
		era.OnRise(from, era.current)
	}
}

// schedule sets the times of the functions; one that already waits keeps its time, which lies in the new era as well.
func (era *Era) schedule() {
	now := time.Now()
	for _, rew := range era.rewrites {
		if rew.due.IsZero() {
			rew.due = now.Add(time.Duration(era.Random() * float64(rewriteSpan)))
		}
	}
}

func (era *Era) fire(event string) { era.state = chart.Fire(era, era.state, event) }
