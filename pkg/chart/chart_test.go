package chart

import (
	"errors"
	"testing"
)

// Guards against a chart file that no longer compiles.
func TestEmbeddedCharts(t *testing.T) {
	for _, name := range []string{Target, EntryVM, Replica, Flow} {
		if _, err := Load(name); err != nil {
			t.Errorf("Load(%q): got %v, want no error", name, err)
		}
	}
}

// Guards against Next accepting an event for which the state has no transition.
func TestMissingTransition(t *testing.T) {
	c := MustLoad(Flow)
	gone, refused := c.MustState("Gone"), c.MustState("Refused")
	next, err := c.Next(refused, c.MustEvent("Forward"))
	var te *TransitionError
	if !errors.As(err, &te) {
		t.Fatalf("Refused on Forward: got %v, want TransitionError", err)
	}
	if next != refused {
		t.Errorf("state after error: got %s, want Refused", c.StateName(next))
	}
	if next, err = c.Next(refused, c.MustEvent("Close")); err != nil || next != gone {
		t.Errorf("Refused on Close: got %s, %v, want Gone", c.StateName(next), err)
	}
}

// Guards against invalid chart files that Parse accepts.
func TestParseErrors(t *testing.T) {
	tests := map[string]string{
		"not TOML":        "Name = ",
		"no states":       `Name = "X"`,
		"unknown initial": "Initial = \"B\"\nStates = [\"A\"]",
		"unknown state":   "Initial = \"A\"\nStates = [\"A\"]\n[[Transitions]]\nFrom = \"A\"\nEvent = \"E\"\nTo = \"B\"",
		"two transitions": "Initial = \"A\"\nStates = [\"A\"]\n[[Transitions]]\nFrom = \"A\"\nEvent = \"E\"\nTo = \"A\"\n[[Transitions]]\nFrom = \"A\"\nEvent = \"E\"\nTo = \"A\"",
		"unknown key":     "Initial = \"A\"\nStates = [\"A\"]\nColour = 1",
	}
	for name, text := range tests {
		_, err := Parse("test.toml", []byte(text))
		var fe *FileError
		if !errors.As(err, &fe) {
			t.Errorf("%s: got %v, want FileError", name, err)
		}
	}
}
