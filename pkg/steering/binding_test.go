package steering

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// openContested opens a flow that two targets were offered at the first of them, and
// returns both.
func (s *harness) openContested(f FlowKey) (opener, other fleet.Incarnation) {
	s.Helper()
	opener = s.open(f, 0)
	s.now = s.now.Add(200 * time.Millisecond)
	other = s.open(f, 1)
	s.send(f, opener, opener)
	return opener, other
}

// TestContestedFlowKeepsTarget guards against the failure of review/12: after the deadline
// of the first request, packets of an open flow went to a target that had repeated its
// answer to the opening packet, and never to the one that had opened the flow.
func TestContestedFlowKeepsTarget(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	f := flowOf(1)
	opener, other := s.openContested(f)
	for range 4 {
		s.now = s.now.Add(5 * time.Second) // the deadline of the route is 2 s
		s.core.Tick(s.now)
		s.send(f, other, opener)
	}
	if got, want := s.core.BindingStats(), (BindingStats{Flows: 1, Contested: 1}); got != want {
		t.Errorf("bindings of a flow in use: got %+v, want %+v", got, want)
	}
	s.now = s.now.Add(fleet.FlowLifetime + 2*idleMargin)
	s.core.Tick(s.now)
	if got, want := s.core.BindingStats(), (BindingStats{}); got != want {
		t.Errorf("bindings of an idle flow: got %+v, want %+v", got, want)
	}
}

// TestContestedFlowAtOtherVM guards against packets of an open flow that go to another
// target once the VM that knows the flow has stopped or crashed.
func TestContestedFlowAtOtherVM(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	f := flowOf(1)
	opener, other := s.openContested(f)
	reports := s.core.Bindings(false)
	if len(reports) != 1 || reports[0].Target != opener {
		t.Fatalf("reports: got %+v, want one of target %d", reports, opener)
	}
	if got := s.core.Bindings(false); len(got) != 0 {
		t.Errorf("second report: got %+v, want none", got)
	}
	if got := s.core.Bindings(true); !slices.Equal(got, reports) {
		t.Errorf("report to another hub: got %+v, want %+v", got, reports)
	}
	successor := newHarness(t, s.records...)
	// The first packet arrives before the report, and names the wrong target.
	successor.send(f, other, other)
	successor.core.SetBindings(reports, successor.now)
	for range 3 {
		successor.send(f, other, opener)
		successor.now = successor.now.Add(5 * time.Second)
		successor.core.Tick(successor.now)
	}
	// A report does not change a flow that has opened here.
	reports[0].Target = other
	s.core.SetBindings(reports, s.now)
	s.send(f, other, opener)
}

// TestFlowThatRouterMoves guards against a late answer of another target that changes the
// target of a flow which a VM has got from another one, without a report.
func TestFlowThatRouterMoves(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	s.send(flowOf(1), 1, 1)
	s.now = s.now.Add(3 * time.Second)
	s.send(flowOf(1), 2, 1)
}

// TestBindingEnds guards against a new flow from the port of an earlier one that goes to
// the target of that flow, and against resets of flows whose target a restarted hub does
// not know.
func TestBindingEnds(t *testing.T) {
	tests := []struct {
		name  string
		end   bool
		state fleet.TargetState
		after time.Duration
		// bound is set if an opening packet still belongs to the flow.
		bound bool
	}{
		{name: "late copy", after: 500 * time.Millisecond, bound: true},
		{name: "caller has given up", after: 2 * time.Second},
		{name: "closed", end: true, after: 100 * time.Millisecond},
		{name: "target gone", state: fleet.TargetGone, after: 100 * time.Millisecond},
		{name: "target draining", state: fleet.TargetDraining, after: 100 * time.Millisecond, bound: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
			f := flowOf(1)
			s.core.SetBindings([]fleet.FlowBinding{{Caller: f.Caller, VIP: f.Route, Target: 2}}, s.now)
			if test.end {
				s.core.Decide(&Packet{Flow: f, Cookie: 2, End: true}, s.now)
			}
			if test.state != "" {
				s.records[1].Target.State = test.state
				s.update()
			}
			s.now = s.now.Add(test.after)
			d := s.core.Decide(&Packet{Flow: f, Opening: true, Copy: 2}, s.now)
			if got := d.Cause == CauseFlow && d.Target.ID.Incarnation == 2; got != test.bound || d.Op != Forward {
				t.Errorf("opening packet: got %v %s, want one of the bound flow: %v", d.Op, d.Cause, test.bound)
			}
		})
	}
}

// TestFullBindingTable guards against contested flows without a binding while flows whose
// cookies suffice fill the table.
func TestFullBindingTable(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	for n := range maxBindings + 100 {
		p := Packet{Flow: callerFlow(n), Cookie: 1}
		p.Flow.Caller = netip.AddrPortFrom(p.Flow.Caller.Addr(), uint16(6000+n>>16))
		if d := s.core.Decide(&p, s.now); d.Op != Forward {
			t.Fatalf("packet %d: got %v %s, want it forwarded", n, d.Op, d.Cause)
		}
	}
	if got, want := s.core.BindingStats(), (BindingStats{Flows: maxBindings, Rejected: 100}); got != want {
		t.Errorf("full table: got %+v, want %+v", got, want)
	}
	f := flowOf(1)
	opener, other := s.openContested(f)
	s.now = s.now.Add(5 * time.Second)
	s.core.Tick(s.now)
	s.send(f, other, opener)
	if got, want := s.core.BindingStats(), (BindingStats{Flows: maxBindings, Contested: 1, Rejected: 100}); got != want {
		t.Errorf("full table with a contested flow: got %+v, want %+v", got, want)
	}
}

// TestCrashBeforeReport guards against packets of a contested flow that go to another target
// after a crash of the only VM that has seen the flow open, before it has reported the flow.
func TestCrashBeforeReport(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	opener, other := s.openContested(flowOf(1))
	newHarness(t, s.records...).send(flowOf(1), other, opener)
}

// TestOpeningSentLate guards against packets of an open flow that go to a target whose VM
// was suspended between its decision about the opening packet and the sending: another VM
// has forwarded a copy, and the flow is open at another target.
func TestOpeningSentLate(t *testing.T) {
	late := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	f := flowOf(1)
	other := late.open(f, 0)
	s := newHarness(t, late.records...)
	var opener fleet.Incarnation
	for opener = s.open(f, 1); opener == other; opener = s.open(f, 2) {
		s.now = s.now.Add(400 * time.Millisecond)
	}
	s.send(f, opener, opener)
	// The caller now has the answer of the other target as well.
	s.now = s.now.Add(5 * time.Second)
	s.core.Tick(s.now)
	s.send(f, other, opener)
	reports := s.core.Bindings(false)
	late.core.SetBindings(reports, late.now)
	late.send(f, other, opener)
	late.now = late.now.Add(5 * time.Second)
	late.core.Tick(late.now)
	late.send(f, other, opener)
}
