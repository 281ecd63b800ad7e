package chart

import (
	"errors"
	"slices"

	"github.com/rotisserie/eris"
)

// check returns all faults of the chart joined, each with its file and state.
func (cha *Chart) check() error {
	var faults []error
	if cha.Name == "" {
		faults = append(faults, eris.Errorf("chart %s: name is missing", cha.file))
	}
	if _, known := cha.States[cha.Initial]; !known {
		faults = append(faults, eris.Errorf("chart %s: initial state %q is unknown", cha.file, cha.Initial))
	}
	for _, name := range cha.StateNames() {
		faults = append(faults, cha.checkState(name, cha.States[name])...)
	}
	faults = append(faults, cha.checkReachable()...)
	return errors.Join(faults...)
}

func (cha *Chart) checkState(name string, sta state) []error {
	var faults []error
	fault := func(format string, args ...any) {
		faults = append(faults, eris.Errorf("chart %s: state %s: "+format, append([]any{cha.file, name}, args...)...))
	}
	handled, unguarded := map[string]bool{}, map[string]bool{}
	for _, tra := range sta.On {
		if !slices.Contains(cha.Events, tra.Event) {
			fault("event %q is unknown", tra.Event)
		}
		if _, known := cha.States[tra.Target]; !known {
			fault("event %s: target %q is unknown", tra.Event, tra.Target)
		}
		if unguarded[tra.Event] {
			fault("event %s: a transition after the unguarded one is never taken", tra.Event)
		}
		handled[tra.Event] = true
		unguarded[tra.Event] = unguarded[tra.Event] || tra.Guard == ""
	}
	for _, event := range sta.Ignore {
		if !slices.Contains(cha.Events, event) {
			fault("ignored event %q is unknown", event)
		}
	}
	if sta.Final && len(sta.On)+len(sta.Ignore) > 0 {
		fault("a final state takes no events")
	}
	if !sta.Final {
		cha.checkComplete(sta, handled, unguarded, fault)
	}
	return faults
}

// checkComplete reports the events that a state does not handle in all cases, and those that it both handles and
// ignores.
func (cha *Chart) checkComplete(sta state, handled, unguarded map[string]bool, fault func(string, ...any)) {
	for _, event := range cha.Events {
		ignored := slices.Contains(sta.Ignore, event)
		switch {
		case !unguarded[event] && !ignored:
			fault("event %s is neither handled in all cases nor ignored", event)
		case handled[event] && ignored:
			fault("event %s is both handled and ignored", event)
		}
	}
}

// checkReachable reports the states that no path from the initial state leads to.
func (cha *Chart) checkReachable() []error {
	reached := map[string]bool{}
	queue := []string{cha.Initial}
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		if reached[name] {
			continue
		}
		reached[name] = true
		for _, tra := range cha.States[name].On {
			queue = append(queue, tra.Target)
		}
	}
	var faults []error
	for _, name := range cha.StateNames() {
		if !reached[name] {
			faults = append(faults, eris.Errorf("chart %s: state %s is unreachable", cha.file, name))
		}
	}
	return faults
}
