// Package chart loads state charts from YAML files and evaluates their
// transitions.
//
// A chart lists its states, its events and the transitions between them. Loading
// runs the transitions on a state-machine library; the resulting table is
// immutable and safe for concurrent use.
package chart

import (
	"context"
	"fmt"
	"sort"

	"github.com/goccy/go-yaml"
	"github.com/qmuntal/stateless"
)

// State is the name of a state in a chart.
type State string

// Event is the name of an event in a chart.
type Event string

// Transition is a change of state on an event.
type Transition struct {
	From  State `yaml:"from"`
	Event Event `yaml:"event"`
	To    State `yaml:"to"`
}

// file is the YAML form of a chart.
type file struct {
	Name        string       `yaml:"name"`
	Initial     State        `yaml:"initial"`
	Final       []State      `yaml:"final"`
	Transitions []Transition `yaml:"transitions"`
}

// Names lists the states and events that the code declares. Loading fails unless
// they are exactly those of the file.
type Names struct {
	States []State
	Events []Event
}

// Chart is a loaded state chart.
type Chart struct {
	name        string
	initial     State
	final       map[State]bool
	transitions []Transition
	next        map[transitionKey]State
}

type transitionKey struct {
	from  State
	event Event
}

// TransitionError reports an event that a state does not accept.
type TransitionError struct {
	Chart string
	From  State
	Event Event
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("chart %q: state %q does not accept event %q", e.Chart, e.From, e.Event)
}

// FileError reports a chart file that is malformed, inconsistent, or differs from
// the names that the code declares.
type FileError struct {
	Chart  string
	Reason string
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("chart %q: %s", e.Chart, e.Reason) }

// Load parses a chart and checks it against the names that the code declares.
// The error is a *FileError.
func Load(data []byte, names Names) (*Chart, error) {
	var parsed file
	if err := yaml.UnmarshalWithOptions(data, &parsed, yaml.DisallowUnknownField()); err != nil {
		return nil, &FileError{Chart: parsed.Name, Reason: err.Error()}
	}
	c := &Chart{
		name:        parsed.Name,
		initial:     parsed.Initial,
		final:       make(map[State]bool),
		transitions: parsed.Transitions,
		next:        make(map[transitionKey]State),
	}
	for _, s := range parsed.Final {
		c.final[s] = true
	}
	if err := c.buildTable(); err != nil {
		return nil, err
	}
	if err := c.check(names); err != nil {
		return nil, err
	}
	return c, nil
}

// MustLoad is Load for charts embedded in the binary. It panics on an error.
func MustLoad(data []byte, names Names) *Chart {
	c, err := Load(data, names)
	if err != nil {
		panic(err)
	}
	return c
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// Initial returns the initial state of an instance.
func (c *Chart) Initial() State { return c.initial }

// IsFinal reports whether s accepts no further event.
func (c *Chart) IsFinal(s State) bool { return c.final[s] }

// Transitions returns a copy of the transitions in the order of the file.
func (c *Chart) Transitions() []Transition { return append([]Transition(nil), c.transitions...) }

// Can reports whether the state from accepts event.
func (c *Chart) Can(from State, event Event) bool {
	_, ok := c.next[transitionKey{from, event}]
	return ok
}

// Next returns the state that follows, or from and a *TransitionError if from
// does not accept event.
func (c *Chart) Next(from State, event Event) (State, error) {
	to, ok := c.next[transitionKey{from, event}]
	if !ok {
		return from, &TransitionError{Chart: c.name, From: from, Event: event}
	}
	return to, nil
}

// buildTable fires every transition once on the state-machine library and keeps
// the results, so that Next costs one map look-up.
func (c *Chart) buildTable() error {
	var current State
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return current, nil },
		func(_ context.Context, s stateless.State) error { current = s.(State); return nil },
		stateless.FiringImmediate,
	)
	for _, t := range c.transitions {
		key := transitionKey{t.From, t.Event}
		if _, duplicate := c.next[key]; duplicate {
			return &FileError{c.name, fmt.Sprintf("state %q has two transitions for event %q", t.From, t.Event)}
		}
		c.next[key] = t.To
		if t.From == t.To {
			m.Configure(t.From).PermitReentry(t.Event)
		} else {
			m.Configure(t.From).Permit(t.Event, t.To)
		}
	}
	for key := range c.next {
		current = key.from
		if err := m.Fire(key.event); err != nil {
			return &FileError{c.name, err.Error()}
		}
		c.next[key] = current
	}
	return nil
}

// check verifies that every state is reachable, that final states have no
// transitions, and that the code declares the states and events of the file.
func (c *Chart) check(names Names) error {
	reached := map[State]bool{c.initial: true}
	for changed := true; changed; {
		changed = false
		for _, t := range c.transitions {
			if reached[t.From] && !reached[t.To] {
				reached[t.To] = true
				changed = true
			}
		}
	}
	states, events := map[State]bool{c.initial: true}, map[Event]bool{}
	for _, t := range c.transitions {
		states[t.From], states[t.To], events[t.Event] = true, true, true
		if c.final[t.From] {
			return &FileError{c.name, fmt.Sprintf("final state %q has a transition for event %q", t.From, t.Event)}
		}
	}
	for _, s := range sortedNames(states) {
		if !reached[s] {
			return &FileError{c.name, fmt.Sprintf("state %q cannot be reached from %q", s, c.initial)}
		}
	}
	if err := checkNames(c.name, "state", states, names.States); err != nil {
		return err
	}
	return checkNames(c.name, "event", events, names.Events)
}

// checkNames returns a *FileError if the names in the file are not those in the
// code; kind is "state" or "event".
func checkNames[T ~string](chart, kind string, inFile map[T]bool, inCode []T) error {
	code := make(map[T]bool, len(inCode))
	for _, n := range inCode {
		code[n] = true
		if !inFile[n] {
			return &FileError{chart, fmt.Sprintf("%s %q is in the code but not in the file", kind, n)}
		}
	}
	for _, n := range sortedNames(inFile) {
		if !code[n] {
			return &FileError{chart, fmt.Sprintf("%s %q is in the file but not in the code", kind, n)}
		}
	}
	return nil
}

func sortedNames[T ~string](set map[T]bool) []T {
	out := make([]T, 0, len(set))
	for n := range set {
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
