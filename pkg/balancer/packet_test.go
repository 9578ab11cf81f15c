package balancer

import (
	"errors"
	"testing"
)

// Guards against a pass header that changes when it is encoded and decoded.
func TestPassHeaderRoundTrip(t *testing.T) {
	want := PassHeader{Mode: NotHere, Hops: 3, Step: 2, Pressure: 9, Uncertain: true, Epoch: 7, Target: 8, Hash: 9, Origin: "monza-1"}
	b := append(want.Append(nil), "payload"...)
	got, rest, err := ParsePassHeader(b)
	if err != nil || got != want || string(rest) != "payload" {
		t.Errorf("got %+v, %q, %v, want %+v", got, rest, err, want)
	}
}

// Guards against a panic or an out-of-range read on invalid input from the
// network, errors other than HeaderError, and invalid headers without an error.
func FuzzParsePassHeader(f *testing.F) {
	h := PassHeader{Mode: Ask, Origin: "a"}
	f.Add(h.Append(nil))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, rest, err := ParsePassHeader(b)
		var he *HeaderError
		if err != nil {
			if !errors.As(err, &he) {
				t.Errorf("got error %v, want HeaderError", err)
			}
			return
		}
		if len(rest) > len(b) || got.Validate() != nil {
			t.Errorf("got header %+v with %d bytes left of %d, want a valid header", got, len(rest), len(b))
		}
	})
}
