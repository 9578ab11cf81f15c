package steering

import (
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// lostHarness returns a harness with a flow that is open to a target, and the targets.
func lostHarness(t *testing.T, idempotent, enabled bool) (s *harness, at, other fleet.Incarnation) {
	s = newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	s.core.LoadReports = enabled
	c := testCatalog()
	c.Routes[0].Idempotent, c.Routes[0].Deadline = idempotent, 5*time.Second
	s.core.SetView(NewView(c, s.records, 1, s.now))
	s.core.SetEntryVMs(100)
	at = s.open(flowOf(1), 0)
	s.now = s.now.Add(5 * time.Millisecond)
	s.core.Decide(&Packet{Flow: flowOf(1), Cookie: CookieOf(at), Acknowledged: 1}, s.now)
	return s, at, 3 - at
}

func (s *harness) data(ack uint32) Op {
	return s.core.Decide(&Packet{Flow: flowOf(1), Cookie: CookieOf(1), Acknowledged: ack, Data: 10}, s.now).Op
}

// Guards against resets of orders that a target may have run, of flows whose target has
// answered this VM, and of any flow where load reports are not enabled or the feed has
// ended; and against callers that wait for a lost target.
func TestResetsOfLostTargets(t *testing.T) {
	for _, test := range []struct {
		name                string
		idempotent, enabled bool
		do                  func(s *harness, at fleet.Incarnation)
		want                Op
	}{
		{"idempotent request in progress", true, true, func(s *harness, _ fleet.Incarnation) {}, Reset},
		{"order in progress", false, true, func(s *harness, _ fleet.Incarnation) {}, Forward},
		{"order in progress for 3 s", false, true, func(s *harness, _ fleet.Incarnation) { s.now = s.now.Add(goneTime - 2*time.Second) }, Reset},
		{"target that passes a health check", true, true, func(s *harness, at fleet.Incarnation) {
			s.core.ReportCheck(s.core.target(CookieOf(at)), CheckPassed, s.now)
		}, Forward},
		{"target whose response is acknowledged", true, true, func(s *harness, _ fleet.Incarnation) { s.data(2) }, Forward},
		{"feed that has ended", true, true, func(s *harness, _ fleet.Incarnation) { s.core.SetDoubted(nil, nil, s.now) }, Forward},
		{"without load reports", true, false, func(s *harness, _ fleet.Incarnation) {}, Forward},
	} {
		s, at, _ := lostHarness(t, test.idempotent, test.enabled)
		if got := s.data(1); got != Forward {
			t.Fatalf("%s: before the loss: got %v, want Forward", test.name, got)
		}
		s.now = s.now.Add(2 * time.Second)
		s.core.SetDoubted([]fleet.Incarnation{at}, []fleet.Incarnation{at}, s.now)
		s.now = s.now.Add(time.Millisecond)
		test.do(s, at)
		if got := s.data(1); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
	s, at, _ := lostHarness(t, false, true)
	s.core.SetDoubted([]fleet.Incarnation{at}, []fleet.Incarnation{at}, s.now.Add(5*time.Second))
	if got := s.data(1); got != Reset {
		t.Errorf("order of which no packet was sent: got %v, want Reset", got)
	}
}

// Guards against new flows to a lost target while a suspected one is left, and against a
// service without any target.
func TestNewFlowsAvoidLostTargets(t *testing.T) {
	s, at, other := lostHarness(t, true, true)
	later := s.now.Add(5 * time.Second)
	s.core.SetSharedReports([]fleet.Incarnation{other}, nil)
	s.core.SetDoubted([]fleet.Incarnation{at}, nil, later)
	s.now = later
	if got := s.open(flowOf(2), 0); got != other {
		t.Errorf("got target %d, want the suspected target %d", got, other)
	}
	s.core.SetDoubted([]fleet.Incarnation{at, other}, nil, later)
	s.open(flowOf(3), 0)
}

// Guards against doubts that come late, that are reported while a health check may still
// end them, or that a VM has because it was suspended itself.
func TestEarlyDoubt(t *testing.T) {
	run := func(s *harness, d time.Duration) {
		for end := s.now.Add(d); s.now.Before(end); {
			s.now = s.now.Add(20 * time.Millisecond)
			s.core.Tick(s.now)
		}
	}
	s, _, _ := lostHarness(t, true, true)
	run(s, 200*time.Millisecond)
	s.open(flowOf(2), 0)
	run(s, minDoubtTime+20*time.Millisecond)
	if len(s.suspected) != 1 || len(s.core.Suspects()) != 0 {
		t.Errorf("after the doubt: got %v suspected and %v reported, want one that is not reported", s.suspected, s.core.Suspects())
	}
	run(s, reportDelay)
	if len(s.core.Suspects()) != 1 || !s.core.ReportDue(s.now) {
		t.Errorf("after the time for a health check: got %v reported, want one", s.core.Suspects())
	}
	s, _, _ = lostHarness(t, true, true)
	run(s, 200*time.Millisecond)
	f := flowOf(2)
	at := s.open(f, 0)
	s.now = s.now.Add(2 * time.Second)
	s.core.Tick(s.now)
	s.core.Decide(&Packet{Flow: f, Cookie: CookieOf(at), Acknowledged: 1}, s.now)
	run(s, 200*time.Millisecond)
	if len(s.suspected) != 0 {
		t.Errorf("after a suspension of this VM: got %v suspected, want none", s.suspected)
	}
}
