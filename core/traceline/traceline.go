package traceline

import (
	"encoding/json"
	"time"
)

// The kinds of lines.
const (
	// Input is an input that a module received.
	Input = "input"
	// Nested is an input that an effect of the same module caused, and that the module received before the method with
	// that effect returned.
	Nested = "nested"
	// Effect is an action of a module in response to its inputs; a replay must give the same effect.
	Effect = "effect"
	// Tick is a periodic call of the named module.
	Tick = "tick"
	// Traffic is a decision about one call; it is recorded for the reader and not replayed.
	Traffic = "traffic"
	// Comment is a note for the reader, such as the origin of the trace.
	Comment = "comment"
)

// Line is one line of a trace.
type Line struct {
	// At is the time since the start of the trace.
	At   time.Duration   `json:"at"`
	Kind string          `json:"kind"`
	Name string          `json:"name,omitempty"`
	Data json.RawMessage `json:"data,omitempty"`
}
