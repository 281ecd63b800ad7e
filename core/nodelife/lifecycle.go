package nodelife

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

// Life holds a node's state in the chart node. It is control state: its methods are called on the control thread only.
type Life struct {
	// Announce announces to the fleet that the node takes work, Withdraw that it takes no more.
	Announce func()
	Withdraw func()
	// Stop ends the process.
	Stop func()

	state   string
	cutOffs uint64
}

var nodeMachine = machine.MustNew(charts.Must("node"),
	[]string{Learned, Ready, ContactLost, Drain, Drained}, nil,
	map[string]func(*Life){
		"announce":    func(lcy *Life) { lcy.Announce() },
		"withdraw":    func(lcy *Life) { lcy.Withdraw() },
		"countCutOff": func(lcy *Life) { lcy.cutOffs++ },
		"stop":        func(lcy *Life) { lcy.Stop() },
	})

// New returns a life cycle in the chart's initial state, whose function fields do nothing.
func New() *Life {
	return &Life{Announce: func() {}, Withdraw: func() {}, Stop: func() {}, state: nodeMachine.Initial()}
}

// Fire passes an event to the chart.
func (lcy *Life) Fire(event string) { lcy.state = nodeMachine.Fire(lcy, lcy.state, event) }

// State returns the name of the current state.
func (lcy *Life) State() string { return lcy.state }

// CutOffs returns how often the node has lost contact while it was serving.
func (lcy *Life) CutOffs() uint64 { return lcy.cutOffs }
