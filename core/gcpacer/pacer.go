package gcpacer

import (
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/machine"
)

const (
	// normalGCPercent is the growth of the heap between collections (GOGC), in percent, in state "sparing", the normal
	// one. It is low because the platform charges more for peak memory than for processor time.
	normalGCPercent = 30
	// busyGCPercent is the growth in state "hurried", while processor time is short. It is the default of the Go
	// runtime. Collections then take well under a tenth of the processor time.
	busyGCPercent = 100
	// interval is the time over which the processor utilisation and the rate of collections are measured.
	interval = time.Second
	// Processor time is taken as short once the process uses more than busyUtilisation of its cores, and until it uses
	// less than calmUtilisation. The bounds are low because work queues for the processor well before all of it is used.
	busyUtilisation, calmUtilisation = 0.5, 0.3
	// Collections are taken as frequent above busyCollections a second, and until they are below calmCollections. One takes
	// some milliseconds, mostly for stacks and roots, however little garbage there is, so that their rate tells their cost.
	// The bounds are further apart than the rates in the two states at the same load.
	busyCollections, calmCollections = 6, 1.2
)

// Pacer adjusts the garbage collector to the processor utilisation. It is control state: its methods are called on the
// control thread only.
type Pacer struct {
	// ProcessorTime returns the processor time that the process has used since its start.
	ProcessorTime func() time.Duration
	// Collections returns the number of garbage collections since the start.
	Collections func() uint64
	// SetGCPercent sets the growth of the heap, in percent, after which garbage is collected.
	SetGCPercent func(percent int)
	// OnChange is called after each change of state with the utilisation, which is the part of its cores that the process
	// uses, and the collections per second.
	OnChange func(state string, utilisation, collections float64)

	// cores is the number of processor cores that the process may use; it can be a fraction.
	cores       float64
	state       string
	at          time.Time
	used        time.Duration
	collected   uint64
	utilisation float64
	// collections is the number of collections per second in the last interval.
	collections float64
}

var chart = machine.MustNew(charts.MustLoad("collection"), []string{"busy", "calm"}, nil,
	map[string]func(*Pacer){
		"raiseGCPercent": func(pac *Pacer) { pac.SetGCPercent(busyGCPercent) },
		"lowerGCPercent": func(pac *Pacer) { pac.SetGCPercent(normalGCPercent) },
	})

// New returns a pacer for a process that may use the given number of cores.
func New(cores float64) *Pacer { return &Pacer{cores: cores, state: chart.Initial()} }

// Start sets the initial growth; it must be called before Tick.
func (pac *Pacer) Start() {
	pac.at, pac.used, pac.collected = time.Now(), pac.ProcessorTime(), pac.Collections()
	pac.SetGCPercent(normalGCPercent)
}

// Tick measures the processor utilisation and the rate of collections once in each interval and adjusts the growth.
func (pac *Pacer) Tick() {
	now := time.Now()
	elapsed := now.Sub(pac.at)
	if elapsed < interval {
		return
	}
	used, collected := pac.ProcessorTime(), pac.Collections()
	pac.utilisation = (used - pac.used).Seconds() / elapsed.Seconds() / pac.cores
	pac.collections = float64(collected-pac.collected) / elapsed.Seconds()
	pac.at, pac.used, pac.collected = now, used, collected
	switch {
	case pac.utilisation > busyUtilisation || pac.collections > busyCollections:
		pac.fire("busy")
	case pac.utilisation < calmUtilisation && pac.collections < calmCollections:
		pac.fire("calm")
	}
}

func (pac *Pacer) fire(event string) {
	before := pac.state
	if pac.state = chart.Fire(pac, pac.state, event); pac.state != before {
		pac.OnChange(pac.state, pac.utilisation, pac.collections)
	}
}
