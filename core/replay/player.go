package replay

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/core/trace"
	"flamingoreach/core/traceline"
)

const (
	// The recorder reads the clock just before the module reads it, so a tick may be replayed slightly too early. If the
	// trace has an effect after a tick and the replayed tick has none yet, the tick is repeated every tickRetry for up to
	// tickSlack.
	tickSlack = 2 * time.Millisecond
	tickRetry = 50 * time.Microsecond
)

// Player replays one trace in a bubble of testing/synctest, whose clock it advances to the time of each line.
type Player struct {
	inputs  map[string]func(data json.RawMessage) error
	ticks   map[string]func()
	effects map[string]bool

	lines   []traceline.Line
	next    int
	started time.Time
	fault   error
}

// New returns a player without modules.
func New() *Player {
	return &Player{inputs: map[string]func(json.RawMessage) error{}, ticks: map[string]func(){}, effects: map[string]bool{}}
}

// HandleInput registers the function that applies the inputs of the given name, with their data decoded.
func HandleInput[T any](pla *Player, name string, apply func(data T)) {
	pla.inputs[name] = func(text json.RawMessage) error {
		var data T
		if len(text) > 0 {
			if err := json.Unmarshal(text, &data); err != nil {
				return eris.Wrapf(err, "decode %s", name)
			}
		}
		apply(data)
		return nil
	}
}

// HandleTick registers the function for the periodic calls of a module.
func (pla *Player) HandleTick(module string, tick func()) { pla.ticks[module] = tick }

// CompareEffects registers the names of the effects that are compared with the trace; all others are ignored.
func (pla *Player) CompareEffects(names ...string) {
	for _, name := range names {
		pla.effects[name] = true
	}
}

// Recorder returns a recorder for the modules under replay; the player compares the effects that it gets with the
// trace.
func (pla *Player) Recorder() *trace.Recorder {
	return trace.New(func(lin traceline.Line) {
		if lin.Kind == traceline.Effect && pla.effects[lin.Name] {
			pla.checkEffect(lin)
		}
	})
}

// Play replays all lines; it fails at the first line at which the effects of the modules differ from the trace.
func (pla *Player) Play(lines []traceline.Line) error {
	pla.lines, pla.next, pla.fault, pla.started = lines, 0, nil, time.Now()
	for pla.skipOthers(); pla.next < len(lines); pla.skipOthers() {
		if err := pla.step(); err != nil {
			return err
		}
	}
	return nil
}

// skipOthers advances to the next line that belongs to a module under replay.
func (pla *Player) skipOthers() {
	for pla.next < len(pla.lines) && !pla.isReplayed(pla.lines[pla.next]) {
		pla.next++
	}
}

// isReplayed reports whether a line belongs to a module under replay.
func (pla *Player) isReplayed(lin traceline.Line) bool {
	switch lin.Kind {
	case traceline.Effect:
		return pla.effects[lin.Name]
	case traceline.Tick:
		return pla.ticks[lin.Name] != nil
	case traceline.Input, traceline.Nested:
		return pla.inputs[lin.Name] != nil
	}
	return false
}

// step replays one input or tick together with the effects and nested inputs that follow it.
func (pla *Player) step() error {
	index := pla.next
	lin := pla.lines[index]
	if lin.Kind == traceline.Effect {
		return pla.atLine(index, eris.Errorf("the trace has effect %s %s, the replay has none", lin.Name, lin.Data))
	}
	pla.next++
	pla.skipOthers()
	at := lin.At
	if pla.effectIsNext() {
		at = pla.lines[pla.next].At
	}
	pla.sleepUntil(at)
	err := pla.apply(lin)
	if lin.Kind == traceline.Tick {
		for end := time.Now().Add(tickSlack); pla.fault == nil && pla.effectIsNext() && time.Now().Before(end); {
			time.Sleep(tickRetry)
			pla.ticks[lin.Name]()
		}
	}
	if err != nil {
		return pla.atLine(index, err)
	}
	if pla.fault != nil {
		return pla.atLine(min(pla.next, len(pla.lines)-1), pla.fault)
	}
	return nil
}

// effectIsNext reports whether the trace has an effect next.
func (pla *Player) effectIsNext() bool {
	return pla.next < len(pla.lines) && pla.lines[pla.next].Kind == traceline.Effect
}

func (pla *Player) sleepUntil(at time.Duration) { time.Sleep(time.Until(pla.started.Add(at))) }

func (pla *Player) apply(lin traceline.Line) error {
	if lin.Kind == traceline.Tick {
		pla.ticks[lin.Name]()
		return nil
	}
	return pla.inputs[lin.Name](lin.Data)
}

// checkEffect checks an effect of a module against the next line of the trace, and then applies the nested inputs that
// follow this line, before the module continues.
func (pla *Player) checkEffect(got traceline.Line) {
	if pla.fault != nil {
		return
	}
	if !pla.effectIsNext() {
		pla.fault = eris.Errorf("the replay has effect %s %s, the trace has none here", got.Name, got.Data)
		return
	}
	lin := pla.lines[pla.next]
	if got.Name != lin.Name || !bytes.Equal(got.Data, lin.Data) {
		pla.fault = eris.Errorf("the trace has effect %s %s, the replay has %s %s", lin.Name, lin.Data, got.Name, got.Data)
		return
	}
	pla.next++
	for pla.skipOthers(); pla.fault == nil && pla.next < len(pla.lines) && pla.lines[pla.next].Kind == traceline.Nested; pla.skipOthers() {
		nested := pla.lines[pla.next]
		pla.next++
		pla.skipOthers()
		if err := pla.apply(nested); err != nil {
			pla.fault = err
		}
	}
}

func (pla *Player) atLine(index int, err error) error {
	return eris.Wrapf(err, "trace line %d at %s", index+1, pla.lines[index].At)
}
