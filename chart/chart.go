// Package chart loads state charts from YAML files and interprets them.
//
// A chart lists its states, its events and the transitions between them. The
// transitions run on a state-machine library; the loaded table is immutable
// and safe for concurrent use.
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

// Transition is one edge of a chart.
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

// Names lists the states and events that the code uses. Loading fails unless
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
	next        map[step]State
}

type step struct {
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

// FileError reports a chart file that does not fit itself or the code.
type FileError struct {
	Chart  string
	Reason string
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("chart %q: %s", e.Chart, e.Reason) }

// Load parses a chart and checks it against the names that the code uses.
func Load(data []byte, names Names) (*Chart, error) {
	var f file
	if err := yaml.UnmarshalWithOptions(data, &f, yaml.DisallowUnknownField()); err != nil {
		return nil, &FileError{Chart: f.Name, Reason: err.Error()}
	}
	c := &Chart{
		name:        f.Name,
		initial:     f.Initial,
		final:       make(map[State]bool),
		transitions: f.Transitions,
		next:        make(map[step]State),
	}
	for _, s := range f.Final {
		c.final[s] = true
	}
	if err := c.interpret(); err != nil {
		return nil, err
	}
	if err := c.check(names); err != nil {
		return nil, err
	}
	return c, nil
}

// MustLoad is Load for charts embedded in the binary.
func MustLoad(data []byte, names Names) *Chart {
	c, err := Load(data, names)
	if err != nil {
		panic(err)
	}
	return c
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// Initial returns the state in which an instance begins.
func (c *Chart) Initial() State { return c.initial }

// IsFinal reports whether s accepts no further event.
func (c *Chart) IsFinal(s State) bool { return c.final[s] }

// Transitions returns the edges in the order of the file.
func (c *Chart) Transitions() []Transition { return append([]Transition(nil), c.transitions...) }

// Can reports whether state from accepts event.
func (c *Chart) Can(from State, event Event) bool {
	_, ok := c.next[step{from, event}]
	return ok
}

// Next returns the state that follows, or a *TransitionError.
func (c *Chart) Next(from State, event Event) (State, error) {
	to, ok := c.next[step{from, event}]
	if !ok {
		return from, &TransitionError{Chart: c.name, From: from, Event: event}
	}
	return to, nil
}

// interpret fires every edge once on the state-machine library and keeps the
// resulting table, so that Next costs one map look-up.
func (c *Chart) interpret() error {
	var current State
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return current, nil },
		func(_ context.Context, s stateless.State) error { current = s.(State); return nil },
		stateless.FiringImmediate,
	)
	for _, t := range c.transitions {
		key := step{t.From, t.Event}
		if _, twice := c.next[key]; twice {
			return &FileError{c.name, fmt.Sprintf("state %q has event %q twice", t.From, t.Event)}
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

// check verifies reachability and that code and file name the same things.
func (c *Chart) check(names Names) error {
	reached := map[State]bool{c.initial: true}
	for grew := true; grew; {
		grew = false
		for _, t := range c.transitions {
			if reached[t.From] && !reached[t.To] {
				reached[t.To] = true
				grew = true
			}
		}
	}
	states, events := map[State]bool{c.initial: true}, map[Event]bool{}
	for _, t := range c.transitions {
		states[t.From], states[t.To], events[t.Event] = true, true, true
		if c.final[t.From] {
			return &FileError{c.name, fmt.Sprintf("final state %q has event %q", t.From, t.Event)}
		}
	}
	for _, s := range sorted(states) {
		if !reached[s] {
			return &FileError{c.name, fmt.Sprintf("state %q cannot be reached from %q", s, c.initial)}
		}
	}
	if err := same(c.name, "state", states, names.States); err != nil {
		return err
	}
	return same(c.name, "event", events, names.Events)
}

func same[T ~string](chart, kind string, inFile map[T]bool, inCode []T) error {
	code := make(map[T]bool, len(inCode))
	for _, n := range inCode {
		code[n] = true
		if !inFile[n] {
			return &FileError{chart, fmt.Sprintf("%s %q is in the code but not in the file", kind, n)}
		}
	}
	for _, n := range sorted(inFile) {
		if !code[n] {
			return &FileError{chart, fmt.Sprintf("%s %q is in the file but not in the code", kind, n)}
		}
	}
	return nil
}

func sorted[T ~string](set map[T]bool) []T {
	out := make([]T, 0, len(set))
	for n := range set {
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
