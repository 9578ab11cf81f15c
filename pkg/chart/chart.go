package chart

import (
	"embed"
	"fmt"
	"io/fs"
	"slices"

	"github.com/BurntSushi/toml"
)

// noTransition marks a pair of state and event without a transition.
const noTransition = 0xff

// Names of the embedded charts.
const (
	Target  = "target"
	EntryVM = "entryvm"
	Replica = "replica"
	Flow    = "flow"
)

//go:embed charts/*.toml
var files embed.FS

type (
	// State is the index of a state in its chart.
	State uint8
	// Event is the index of an event in its chart.
	Event uint8

	// Transition is one element of the array Transitions in a chart file.
	Transition struct {
		From  string `toml:"From"`
		Event string `toml:"Event"`
		To    string `toml:"To"`
	}

	// document is the content of a chart file.
	document struct {
		Name        string       `toml:"Name"`
		Initial     string       `toml:"Initial"`
		States      []string     `toml:"States"`
		Transitions []Transition `toml:"Transitions"`
	}

	// FileError reports a chart file that can't be read or is invalid.
	FileError struct {
		File   string
		Reason string
		Err    error
	}

	// TransitionError reports an event for which a state has no transition.
	TransitionError struct {
		Chart string
		From  string
		Event string
	}
)

// Error returns the file, the reason and the underlying error, if any.
func (e *FileError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("state chart %s: %s: %v", e.File, e.Reason, e.Err)
	}
	return fmt.Sprintf("state chart %s: %s", e.File, e.Reason)
}

// Unwrap returns the underlying error, or nil.
func (e *FileError) Unwrap() error { return e.Err }

// Error names the chart, the state and the event.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("state chart %s: no transition from %s on %s", e.Chart, e.From, e.Event)
}

// Chart is an immutable transition table. The element s*len(events)+e of next
// is the state after event e in state s, or noTransition.
type Chart struct {
	Name    string
	initial State
	states  []string
	events  []string
	next    []State
}

// Load reads an embedded chart by name. Errors are FileErrors.
func Load(name string) (*Chart, error) {
	file := "charts/" + name + ".toml"
	text, err := fs.ReadFile(files, file)
	if err != nil {
		return nil, &FileError{File: file, Reason: "can't be read", Err: err}
	}
	return Parse(file, text)
}

// MustLoad is like Load, but panics if the chart can't be loaded.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse compiles the text of a chart. Errors are FileErrors with the given file
// name.
func Parse(file string, text []byte) (*Chart, error) {
	var doc document
	meta, err := toml.Decode(string(text), &doc)
	if err != nil {
		return nil, &FileError{File: file, Reason: "is not valid TOML", Err: err}
	}
	if keys := meta.Undecoded(); len(keys) > 0 {
		return nil, &FileError{File: file, Reason: fmt.Sprintf("unknown key %s", keys[0])}
	}
	return compile(file, &doc)
}

func compile(file string, doc *document) (*Chart, error) {
	c := &Chart{Name: doc.Name, states: doc.States}
	if len(doc.States) == 0 || len(doc.States) >= noTransition {
		return nil, &FileError{File: file, Reason: "must have 1 to 254 states"}
	}
	for _, t := range doc.Transitions {
		if slices.Index(c.events, t.Event) < 0 {
			c.events = append(c.events, t.Event)
		}
	}
	c.next = make([]State, len(c.states)*len(c.events))
	for i := range c.next {
		c.next[i] = noTransition
	}
	initial := slices.Index(c.states, doc.Initial)
	if initial < 0 {
		return nil, &FileError{File: file, Reason: fmt.Sprintf("unknown initial state %q", doc.Initial)}
	}
	c.initial = State(initial)
	for _, t := range doc.Transitions {
		if err := c.add(file, t); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Chart) add(file string, t Transition) error {
	from, to := slices.Index(c.states, t.From), slices.Index(c.states, t.To)
	if from < 0 || to < 0 {
		return &FileError{File: file, Reason: fmt.Sprintf("transition %s -%s-> %s names an unknown state", t.From, t.Event, t.To)}
	}
	cell := &c.next[from*len(c.events)+slices.Index(c.events, t.Event)]
	if *cell != noTransition {
		return &FileError{File: file, Reason: fmt.Sprintf("duplicate transition from %s on %s", t.From, t.Event)}
	}
	*cell = State(to)
	return nil
}

// Initial returns the initial state of the chart.
func (c *Chart) Initial() State { return c.initial }

// Next returns the state after event e in state s. If there is no transition, it
// returns s and a TransitionError.
func (c *Chart) Next(s State, e Event) (State, error) {
	if int(s) < len(c.states) && int(e) < len(c.events) {
		if to := c.next[int(s)*len(c.events)+int(e)]; to != noTransition {
			return to, nil
		}
	}
	return s, &TransitionError{Chart: c.Name, From: c.StateName(s), Event: c.EventName(e)}
}

// StateName returns the name of a state.
func (c *Chart) StateName(s State) string { return nameAt(c.states, int(s)) }

// EventName returns the name of an event.
func (c *Chart) EventName(e Event) string { return nameAt(c.events, int(e)) }

// MustState returns the index of a state; it panics on an unknown name.
func (c *Chart) MustState(name string) State {
	i := slices.Index(c.states, name)
	if i < 0 {
		panic(&FileError{File: c.Name, Reason: fmt.Sprintf("unknown state %q", name)})
	}
	return State(i)
}

// MustEvent returns the index of an event; it panics on an unknown name.
func (c *Chart) MustEvent(name string) Event {
	i := slices.Index(c.events, name)
	if i < 0 {
		panic(&FileError{File: c.Name, Reason: fmt.Sprintf("unknown event %q", name)})
	}
	return Event(i)
}

func nameAt(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return fmt.Sprintf("invalid(%d)", i)
}
