package lifecycle

import (
	"flamingoreach/charts"
	"flamingoreach/core/machine"
)

// The events of the chart node.
const (
	Learned     = "learned"
	Ready       = "ready"
	ContactLost = "contactLost"
	Drain       = "drain"
	Drained     = "drained"
)

// The states of the chart node that other packages check for.
const (
	Serving  = "serving"
	CutOff   = "cutOff"
	Draining = "draining"
	Stopped  = "stopped"
)

// Lifecycle holds a node's state in the chart node. It is control state: its methods are called on the control thread only.
type Lifecycle struct {
	// Announce announces to the fleet that the node takes work, Withdraw that it takes no more.
	Announce func()
	Withdraw func()
	// Stop ends the process.
	Stop func()

	state   string
	cutOffs uint64
}

var nodeMachine = machine.MustNew(charts.MustLoad("node"),
	[]string{Learned, Ready, ContactLost, Drain, Drained}, nil,
	map[string]func(*Lifecycle){
		"announce":    func(lcy *Lifecycle) { lcy.Announce() },
		"withdraw":    func(lcy *Lifecycle) { lcy.Withdraw() },
		"countCutOff": func(lcy *Lifecycle) { lcy.cutOffs++ },
		"stop":        func(lcy *Lifecycle) { lcy.Stop() },
	})

// New returns a life cycle in the chart's initial state, whose function fields do nothing.
func New() *Lifecycle {
	return &Lifecycle{Announce: func() {}, Withdraw: func() {}, Stop: func() {}, state: nodeMachine.Initial()}
}

// Fire passes an event to the chart.
func (lcy *Lifecycle) Fire(event string) { lcy.state = nodeMachine.Fire(lcy, lcy.state, event) }

// State returns the name of the current state.
func (lcy *Lifecycle) State() string { return lcy.state }

// CutOffs returns how often the node has lost contact while it was serving.
func (lcy *Lifecycle) CutOffs() uint64 { return lcy.cutOffs }
