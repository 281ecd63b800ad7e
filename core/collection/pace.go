package collection

import (
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/machine"
)

const (
	// sparingPercent is the growth of the heap between collections in ordinary times: memory at its peak is dearer on
	// the platform than processor time.
	sparingPercent = 30
	// hurriedPercent is the runtime's own default. Collections then take well under a tenth of the processor time.
	hurriedPercent = 100
	// interval is the time over which the use of the processor is measured.
	interval = time.Second
	// busyPart and calmPart are the parts of the process's own share of the processor above which it is short and below
	// which it no longer is. A queue for the processor builds up well before all of the share is used.
	busyPart, calmPart = 0.5, 0.3
)

// Pace is control state; its methods are called on the control thread only.
type Pace struct {
	// Used returns the processor time that the process has used so far.
	Used func() time.Duration
	// SetPercent sets the growth of the heap after which garbage is collected.
	SetPercent func(percent int)
	// Changed is told of each new state with the part of its share that the process uses.
	Changed func(state string, part float64)

	// cores is the process's share of the processor, in cores.
	cores float64
	state string
	at    time.Time
	used  time.Duration
	part  float64
}

var chart = machine.MustNew(charts.Must("collection"), []string{"busy", "calm"}, nil,
	map[string]func(*Pace){
		"growMore": func(pac *Pace) { pac.SetPercent(hurriedPercent) },
		"growLess": func(pac *Pace) { pac.SetPercent(sparingPercent) },
	})

// New returns a pace for a process that may use a number of cores.
func New(cores float64) *Pace { return &Pace{cores: cores, state: chart.Initial()} }

// Start sets the first growth; it precedes Tick.
func (pac *Pace) Start() {
	pac.at, pac.used = time.Now(), pac.Used()
	pac.SetPercent(sparingPercent)
}

// Tick measures the use of the processor once in each interval.
func (pac *Pace) Tick() {
	now := time.Now()
	past := now.Sub(pac.at)
	if past < interval {
		return
	}
	used := pac.Used()
	pac.part = (used - pac.used).Seconds() / past.Seconds() / pac.cores
	pac.at, pac.used = now, used
	switch {
	case pac.part > busyPart:
		pac.fire("busy")
	case pac.part < calmPart:
		pac.fire("calm")
	}
}

func (pac *Pace) fire(event string) {
	before := pac.state
	if pac.state = chart.Fire(pac, pac.state, event); pac.state != before {
		pac.Changed(pac.state, pac.part)
	}
}
