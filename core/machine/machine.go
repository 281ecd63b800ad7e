package machine

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"flamingoreach/core/chart"
)

// Machine runs one chart for any number of subjects of type T, on which the guards and actions work. It is read-only
// once built; each subject's state is kept by the caller.
type Machine[T any] struct {
	chart  *chart.Chart
	states map[string]map[string][]step[T]
	// OnChange, if set, is called for each transition to another state.
	OnChange func(sub *T, from, event, target string)
}

// step is a transition whose guard and actions are bound to functions.
type step[T any] struct {
	guard   func(*T) bool
	actions []func(*T)
	target  string
}

// New binds a chart to its events, guards and actions; it fails if the chart and the code do not have the same names.
func New[T any](cha *chart.Chart, events []string, guards map[string]func(*T) bool, actions map[string]func(*T)) (*Machine[T], error) {
	if err := sameNames(cha, "event", slices.Clone(cha.Events), events); err != nil {
		return nil, err
	}
	if err := sameNames(cha, "guard", cha.GuardNames(), slices.Collect(maps.Keys(guards))); err != nil {
		return nil, err
	}
	if err := sameNames(cha, "action", cha.ActionNames(), slices.Collect(maps.Keys(actions))); err != nil {
		return nil, err
	}
	mac := &Machine[T]{chart: cha, states: map[string]map[string][]step[T]{}}
	for name, sta := range cha.States {
		mac.states[name] = map[string][]step[T]{}
		for _, event := range sta.Ignore {
			mac.states[name][event] = []step[T]{{target: name}}
		}
		for _, tra := range sta.On {
			ste := step[T]{guard: guards[tra.Guard], target: tra.Target}
			for _, action := range tra.Actions {
				ste.actions = append(ste.actions, actions[action])
			}
			mac.states[name][tra.Event] = append(mac.states[name][tra.Event], ste)
		}
	}
	return mac, nil
}

// MustNew is like New but panics on an error. It is for embedded charts, which tests check.
func MustNew[T any](cha *chart.Chart, events []string, guards map[string]func(*T) bool, actions map[string]func(*T)) *Machine[T] {
	mac, err := New(cha, events, guards, actions)
	if err != nil {
		panic(err)
	}
	return mac
}

// Initial returns the state in which a subject starts.
func (mac *Machine[T]) Initial() string { return mac.chart.Initial }

// Final reports whether a state takes no more events.
func (mac *Machine[T]) Final(state string) bool { return mac.chart.States[state].Final }

// Fire takes the first transition of an event whose guard holds, runs its actions in order and returns the new state.
// A final state takes no events and is returned unchanged. The caller stores the new state, so the actions still see
// the old one.
func (mac *Machine[T]) Fire(sub *T, state, event string) string {
	for _, ste := range mac.states[state][event] {
		if ste.guard != nil && !ste.guard(sub) {
			continue
		}
		for _, action := range ste.actions {
			action(sub)
		}
		if mac.OnChange != nil && ste.target != state {
			mac.OnChange(sub, state, event, ste.target)
		}
		return ste.target
	}
	return state
}

func sameNames(cha *chart.Chart, kind string, want, have []string) error {
	slices.Sort(want)
	have = slices.Sorted(slices.Values(have))
	for _, name := range want {
		if !slices.Contains(have, name) {
			return eris.Errorf("chart %s: %s %q has no code", cha.File(), kind, name)
		}
	}
	for _, name := range have {
		if !slices.Contains(want, name) {
			return eris.Errorf("chart %s: %s %q of the code is not in the chart", cha.File(), kind, name)
		}
	}
	return nil
}
