package steering

import (
	"testing"
	"time"
)

// Guards against packets that have waited while this process was suspended and count as
// new, and against new packets that count as old.
func TestSuspension(t *testing.T) {
	const ms = time.Millisecond
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, test := range []struct {
		name       string
		runs       []time.Duration
		empty, now time.Duration
		want       time.Duration
	}{
		{"first packet", []time.Duration{0}, 0, 0, 0},
		{"without a suspension", []time.Duration{0, 50 * ms, 100 * ms, 150 * ms}, 10 * ms, 150 * ms, 0},
		{"slow turn", []time.Duration{0, 240 * ms}, 10 * ms, 240 * ms, 0},
		{"socket empty before the suspension", []time.Duration{0, 3500 * ms}, 10 * ms, 3500 * ms, 3500 * ms},
		{"later packet of the same queue", []time.Duration{0, 3500 * ms, 3550 * ms}, 10 * ms, 3560 * ms, 3560 * ms},
		{"socket empty after the suspension", []time.Duration{0, 3500 * ms, 3550 * ms}, 3540 * ms, 3560 * ms, 0},
		{"two suspensions", []time.Duration{0, 3500 * ms, 3550 * ms, 4550 * ms}, 3540 * ms, 4550 * ms, time.Second},
	} {
		var s Suspension
		for _, run := range test.runs {
			s.Observe(at(run))
		}
		if got := s.MaxAge(at(test.empty), at(test.now)); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
	var s Suspension
	s.Observe(start)
	if got := s.Observe(start.Add(2 * time.Second)); got != 2*time.Second {
		t.Errorf("suspension: got %v, want 2s", got)
	}
}

// Guards against opening packets that are forwarded after the caller has given up or has
// opened the flow at another target.
func TestStale(t *testing.T) {
	for _, test := range []struct {
		p    Packet
		age  time.Duration
		want bool
	}{
		{Packet{Opening: true}, 1100 * time.Millisecond, false},
		{Packet{Opening: true}, 1300 * time.Millisecond, true},
		{Packet{Opening: true, Copy: 1}, 1100 * time.Millisecond, true},
		{Packet{Opening: true, Copy: 2}, 700 * time.Millisecond, true},
		{Packet{Opening: true, Copy: 9}, 500 * time.Millisecond, false},
		{Packet{}, 1300 * time.Millisecond, true},
	} {
		if got := test.p.Stale(test.age); got != test.want {
			t.Errorf("%+v after %v: got %v, want %v", test.p, test.age, got, test.want)
		}
	}
}
