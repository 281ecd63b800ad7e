package chart

import (
	"bytes"
	"io/fs"
	"maps"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Chart is a valid state chart; it is read-only once loaded.
type Chart struct {
	Name    string           `toml:"name"`
	Doc     string           `toml:"doc"`
	Initial string           `toml:"initial"`
	Events  []string         `toml:"events"`
	States  map[string]state `toml:"states"`

	file string
}

type state struct {
	Doc string `toml:"doc"`
	// Final states take no events.
	Final bool `toml:"final"`
	// Ignore lists the events that have no effect in this state.
	Ignore []string     `toml:"ignore"`
	On     []transition `toml:"on"`
}

// transition leads from one state to another. Of several for the same event, the first one whose guard holds is taken;
// one without a guard is always taken.
type transition struct {
	Event   string   `toml:"event"`
	Guard   string   `toml:"guard"`
	Actions []string `toml:"actions"`
	Target  string   `toml:"target"`
}

// Load reads and checks a chart file; errors name the file and the state.
func Load(files fs.FS, file string) (*Chart, error) {
	text, err := fs.ReadFile(files, file)
	if err != nil {
		return nil, eris.Wrapf(err, "read chart %s", file)
	}
	return Parse(file, text)
}

// Parse checks a chart's text; errors name the file and the state.
func Parse(file string, text []byte) (*Chart, error) {
	cha := &Chart{file: file}
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(cha); err != nil {
		return nil, eris.Wrapf(err, "decode chart %s", file)
	}
	if err := cha.check(); err != nil {
		return nil, err
	}
	return cha, nil
}

// File returns the name of the file that the chart was read from.
func (cha *Chart) File() string { return cha.file }

// StateNames returns the names of all states in alphabetical order.
func (cha *Chart) StateNames() []string { return slices.Sorted(maps.Keys(cha.States)) }

// GuardNames returns the names of all guards in alphabetical order.
func (cha *Chart) GuardNames() []string {
	return cha.collect(func(tra transition) []string {
		if tra.Guard == "" {
			return nil
		}
		return []string{tra.Guard}
	})
}

// ActionNames returns the names of all actions in alphabetical order.
func (cha *Chart) ActionNames() []string {
	return cha.collect(func(tra transition) []string { return tra.Actions })
}

func (cha *Chart) collect(pick func(transition) []string) []string {
	names := map[string]bool{}
	for _, sta := range cha.States {
		for _, tra := range sta.On {
			for _, name := range pick(tra) {
				names[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}
