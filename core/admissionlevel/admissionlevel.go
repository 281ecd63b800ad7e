package admissionlevel

import (
	"slices"

	"flamingoreach/charts"
	"flamingoreach/core/machine"
)

const (
	// clearIntervalsToLower is the number of intervals without standing delay that pass before the level falls by one
	// priority.
	clearIntervalsToLower = 5
	// maxPriorities bounds the number of distinct priorities that the level remembers.
	maxPriorities = 64
)

var overloadLevel = machine.MustNew(charts.MustLoad("overloadLevel"), []string{"delayed", "clear"},
	map[string]func(*Level) bool{
		"tooFewClearIntervals": func(lev *Level) bool { return lev.clearIntervals < clearIntervalsToLower },
		"aboveLowest":          func(lev *Level) bool { return lev.index > 0 },
	},
	map[string]func(*Level){
		"raise":               func(lev *Level) { lev.index = min(lev.index+1, max(len(lev.priorities)-1, 0)) },
		"lower":               func(lev *Level) { lev.index-- },
		"countClearInterval":  func(lev *Level) { lev.clearIntervals++ },
		"resetClearIntervals": func(lev *Level) { lev.clearIntervals = 0 },
	})

// Level is the admission level of one gate. It rises and falls by one priority at a time; it is not safe for
// concurrent use.
type Level struct {
	state string
	// priorities holds the priorities seen, in ascending order; index is the position of the level in it.
	priorities []int
	index      int
	// clearIntervals counts the clear intervals in the state recovering since the level last fell.
	clearIntervals int
}

// New returns a level that admits all priorities.
func New() *Level { return &Level{state: overloadLevel.Initial()} }

// State returns the level's state in the chart overloadLevel.
func (lev *Level) State() string { return lev.state }

// Observe records the priority of a call that arrived.
func (lev *Level) Observe(priority int) {
	at, found := slices.BinarySearch(lev.priorities, priority)
	if found || len(lev.priorities) == maxPriorities {
		return
	}
	lev.priorities = slices.Insert(lev.priorities, at, priority)
	if lev.index > 0 && at <= lev.index {
		lev.index++
	}
}

// EndInterval adjusts the level after an interval; delayed says whether the interval had a standing delay.
func (lev *Level) EndInterval(delayed bool) {
	event := "clear"
	if delayed {
		event = "delayed"
	}
	lev.state = overloadLevel.Fire(lev, lev.state, event)
}

// Value returns the lowest priority admitted, or zero if all are. The highest priority seen is always admitted.
func (lev *Level) Value() int {
	if lev.index == 0 {
		return 0
	}
	return lev.priorities[lev.index]
}

// Admits reports whether a call of the given priority is admitted while other calls wait.
func (lev *Level) Admits(priority int) bool { return lev.index == 0 || priority >= lev.Value() }
