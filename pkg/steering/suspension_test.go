package steering

import (
	"net/netip"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
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
		{"slow turn", []time.Duration{0, 190 * ms}, 10 * ms, 190 * ms, 0},
		{"as long as callers wait", []time.Duration{0, 200 * ms}, 10 * ms, 200 * ms, 200 * ms},
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
	var got time.Duration
	s := Suspension{Resumed: func(gap time.Duration, _ time.Time) { got = gap }}
	s.Observe(start)
	s.Observe(start.Add(2 * time.Second))
	if got != 2*time.Second {
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
		{Packet{Opening: true}, 190 * time.Millisecond, false},
		{Packet{Opening: true}, 210 * time.Millisecond, true},
		{Packet{Opening: true, Copy: 1}, 390 * time.Millisecond, false},
		{Packet{Opening: true, Copy: 1}, 410 * time.Millisecond, true},
		{Packet{Opening: true, Copy: 2}, 700 * time.Millisecond, true},
		{Packet{Opening: true, Copy: 9}, 500 * time.Millisecond, false},
		{Packet{}, 1300 * time.Millisecond, true},
	} {
		if got := test.p.Stale(test.age); got != test.want {
			t.Errorf("%+v after %v: got %v, want %v", test.p, test.age, got, test.want)
		}
	}
}

// Guards against an opening packet that waited during a suspension and goes to another
// target than a copy that another VM has forwarded: the caller's next packets would follow
// the answer of the target that does not hold the flow. Also guards against callers whose
// copies have all waited here and get no answer.
func TestWaitedOpeningPackets(t *testing.T) {
	const ms = time.Millisecond
	type waited struct {
		copy uint32
		age  time.Duration
		want bool
	}
	for _, test := range []struct {
		name    string
		packets []waited
	}{
		{"first packet alone", []waited{{0, 1100 * ms, false}}},
		{"first packet alone, short", []waited{{0, 210 * ms, false}}},
		{"second alone", []waited{{1, 300 * ms, false}}},
		{"third alone", []waited{{2, 300 * ms, false}}},
		{"second and third", []waited{{1, 800 * ms, false}, {2, 800 * ms, false}}},
		{"first and second, third elsewhere", []waited{{0, 900 * ms, false}, {1, 900 * ms, false}}},
		{"first and second, third not sent", []waited{{0, 500 * ms, false}, {1, 500 * ms, true}}},
		{"all", []waited{{0, 1100 * ms, false}, {1, 1100 * ms, false}, {2, 1100 * ms, true}}},
		{"all, caller has given up", []waited{{0, 1500 * ms, false}, {1, 1500 * ms, false}, {2, 1500 * ms, false}}},
		{"unknown copy", []waited{{0, 1100 * ms, false}, {7, 1100 * ms, false}}},
	} {
		s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
		s.core.Resume(s.now)
		for _, w := range test.packets {
			d := s.core.Decide(&Packet{Flow: flowOf(1), Opening: true, Copy: w.copy, Waited: w.age}, s.now)
			if got := d.Op == Forward; got != w.want || !got && d.Cause != CauseSuspended {
				t.Errorf("%s, copy %d: got %v %s, want forwarded %v", test.name, w.copy, d.Op, d.Cause, w.want)
			}
		}
		s.core.Resume(s.now)
		if d := s.core.Decide(&Packet{Flow: flowOf(2), Opening: true}, s.now); d.Op != Forward {
			t.Errorf("%s, packet after the suspension: got %v, want it forwarded", test.name, d.Op)
		}
	}
}

// Guards against a reset of a flow that a copy has opened elsewhere, by a VM that was
// suspended and refuses new flows, or does not know the route.
func TestWaitedOpeningPacketIsNotRefused(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"))
	s.core.RefuseFrom(s.now)
	s.core.Resume(s.now)
	s.core.Updated(s.now.Add(updateDelay))
	waited := Packet{Flow: flowOf(1), Opening: true, Waited: 300 * time.Millisecond}
	s.expect(&waited, Drop, CauseSuspended)
	waited.Flow.Route = netip.MustParseAddrPort("198.18.0.9:1")
	s.expect(&waited, Drop, CauseSuspended)
	s.expect(&Packet{Flow: flowOf(2), Opening: true}, Reset, CauseUnconfirmed)
}

// Guards against a copy that waited during a suspension and goes to another target than the
// packet before it, and against doubts about a target whose answer this VM has not read.
func TestWaitedCopyKeepsTarget(t *testing.T) {
	for _, gap := range []time.Duration{150 * time.Millisecond, 210 * time.Millisecond, 1100 * time.Millisecond} {
		s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
		at := s.open(flowOf(1), 0)
		s.now = s.now.Add(gap)
		p := &Packet{Flow: flowOf(1), Opening: true, Copy: 1}
		if gap >= minSuspension {
			s.core.Resume(s.now)
			p.Waited = gap
		} else {
			// Both copies have waited in the socket.
			at = s.open(flowOf(2), 0)
			p.Flow = flowOf(2)
		}
		d := s.core.Decide(p, s.now)
		if d.Op != Forward || d.Target.ID.Incarnation != at {
			t.Errorf("copy after %v: got %+v, want it at target %d", gap, d, at)
		}
		if len(s.suspected) > 0 {
			t.Errorf("after %v: got suspected targets %v, want none", gap, s.suspected)
		}
	}
}

// Guards against held opening packets that are sent or refused after a suspension, in which
// another VM may have forwarded a copy: a refusal would break the open flow. Also guards
// against the loss of those whose caller has not sent a copy yet.
func TestHeldPacketsOfSuspension(t *testing.T) {
	for _, test := range []struct {
		after   time.Duration
		dropped int
	}{{150 * time.Millisecond, 0}, {250 * time.Millisecond, 1}} {
		f := newAdmitHarness(t)
		_, _, held := f.fillGate()
		f.now = f.now.Add(test.after)
		if got := f.core.Resume(f.now); got != test.dropped {
			t.Errorf("after %v: got %d packets dropped, want %d", test.after, got, test.dropped)
		}
		released := len(f.core.Release(f.now.Add(admitObjective)))
		if want := 1 - test.dropped; released != want || f.core.Waiting() != 0 {
			t.Errorf("after %v: got %d packets released, want %d", test.after, released, want)
		}
		if test.dropped == 0 {
			continue
		}
		// The next copy has waited in the socket.
		held.Copy, held.Waited = 1, test.after
		if d := f.core.Decide(held, f.now); d.Cause == CauseSuspended {
			t.Errorf("copy of a packet that was held: got %+v, want it held or refused", d)
		}
	}
}

// Guards against resets of flows by a view from before a suspension, and against a VM that
// never resets flows again.
func TestOutdatedViewResetsNothing(t *testing.T) {
	gone := target(2, "counter", "z0")
	gone.Target.State = fleet.TargetGone
	s := newHarness(t, target(1, "counter", "z0"), gone)
	noRoute := FlowKey{Caller: flowOf(3).Caller, Route: netip.MustParseAddrPort("198.18.0.9:1")}
	s.core.Resume(s.now)
	for _, after := range []time.Duration{0, updateDelay / 2} {
		s.core.Updated(s.now.Add(after))
		s.expect(&Packet{Flow: flowOf(2), Cookie: CookieOf(2)}, Forward, CauseCookie)
		s.expect(&Packet{Flow: noRoute, Opening: true}, Drop, CauseOutdated)
	}
	s.core.Updated(s.now.Add(updateDelay))
	s.expect(&Packet{Flow: flowOf(2), Cookie: CookieOf(2)}, Reset, CauseTargetGone)
	s.expect(&Packet{Flow: noRoute, Opening: true}, Reset, CauseNoRoute)
}

// Guards against targets that count as slow or overdue because this process did not run.
func TestSuspensionIsNoDelayOfTargets(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		s := newHarness(t, target(1, "counter", "z0"))
		at := s.open(flowOf(1), 0)
		s.core.Decide(&Packet{Flow: flowOf(1), Cookie: CookieOf(at), Data: 10, Acknowledged: 1}, s.now)
		s.now = s.now.Add(1500 * time.Millisecond)
		if suspended {
			s.core.Resume(s.now)
		}
		s.core.Decide(&Packet{Flow: flowOf(1), Cookie: CookieOf(at), Acknowledged: 2}, s.now)
		if got := len(s.core.Overdue(s.now)) > 0; got == suspended {
			t.Errorf("suspended %v: got overdue %v, want %v", suspended, got, !suspended)
		}
	}
}
