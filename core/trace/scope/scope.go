package scope

import "flamingoreach/core/trace"

// Scope records the inputs of one module; its methods are called on the control thread only.
type Scope struct {
	// Recorder writes the lines.
	Recorder *trace.Recorder

	depth int
}

// Input records an input and applies it. The input is recorded as nested if one of the module's methods is running.
func (sco *Scope) Input(name string, data any, apply func()) {
	if sco.depth > 0 {
		sco.Recorder.Nested(name, data)
	} else {
		sco.Recorder.Input(name, data)
	}
	sco.run(apply)
}

// Tick records a periodic call of a module and makes it.
func (sco *Scope) Tick(module string, tick func()) {
	sco.Recorder.Tick(module)
	sco.run(tick)
}

func (sco *Scope) run(apply func()) {
	sco.depth++
	defer func() { sco.depth-- }()
	apply()
}

// Within reports whether one of the module's methods is running.
func (sco *Scope) Within() bool { return sco.depth > 0 }
