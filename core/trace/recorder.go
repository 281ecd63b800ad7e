package trace

import (
	"encoding/json"
	"time"

	"flamingoreach/core/event"
	"flamingoreach/core/traceline"
)

// Recorder writes inputs and effects as lines of a trace; the zero value records nothing.
type Recorder struct {
	// Write stores one line; it may be called by any goroutine and must not block for long. All lines of one module come
	// from the same goroutine, in order.
	Write func(lin traceline.Line)

	started time.Time
}

// New returns a recorder whose trace starts at the present time.
func New(write func(lin traceline.Line)) *Recorder {
	return &Recorder{Write: write, started: time.Now()}
}

// Enabled reports whether the recorder writes lines.
func (rec *Recorder) Enabled() bool { return rec.Write != nil }

// Event records an event of the control thread as an input.
func (rec *Recorder) Event(eve event.Event) { rec.Input(eve.Name, eve.Data) }

// Input records an input that a module is about to receive.
func (rec *Recorder) Input(name string, data any) { rec.record(traceline.Input, name, data) }

// Nested records an input that a module receives while one of its own methods is running.
func (rec *Recorder) Nested(name string, data any) { rec.record(traceline.Nested, name, data) }

// Tick records a periodic call of a module.
func (rec *Recorder) Tick(module string) { rec.record(traceline.Tick, module, nil) }

// Effect records an action of a module, such as a message that it sends.
func (rec *Recorder) Effect(name string, data any) { rec.record(traceline.Effect, name, data) }

// Traffic records a decision about one call.
func (rec *Recorder) Traffic(name string, data any) { rec.record(traceline.Traffic, name, data) }

func (rec *Recorder) record(kind, name string, data any) {
	if rec.Write == nil {
		return
	}
	lin := traceline.Line{At: time.Since(rec.started), Kind: kind, Name: name}
	if data != nil {
		text, err := json.Marshal(data)
		if err != nil {
			text, _ = json.Marshal("not recorded: " + err.Error())
		}
		lin.Data = text
	}
	rec.Write(lin)
}
