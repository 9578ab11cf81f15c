package steering

import (
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// request opens flow n, sends its request and returns the target.
func (s *harness) request(n int) fleet.Incarnation {
	s.Helper()
	f := flowOf(n)
	id := s.open(f, 0)
	s.core.Decide(&Packet{Flow: f, Cookie: CookieOf(id), Acknowledged: 1, Data: 100}, s.now)
	return id
}

// respond sends the caller's acknowledgement of the beginning of the response.
func (s *harness) respond(n int, id fleet.Incarnation) {
	s.core.Decide(&Packet{Flow: flowOf(n), Cookie: CookieOf(id), Acknowledged: 500}, s.now)
}

// newOverdueHarness returns a harness with n targets and a route with an
// objective of 200 ms.
func newOverdueHarness(t *testing.T, n int) *harness {
	var records []registry.Record
	for id := range fleet.Incarnation(n) {
		records = append(records, target(id+1, "counter", "z0"))
	}
	s := newHarness(t, records...)
	c := testCatalog()
	c.Routes[0].Objective = 200 * time.Millisecond
	s.core.SetView(NewView(c, records, 1, s.now))
	return s
}

// Guards against new flows at targets that open flows and respond late or never,
// and against targets that are avoided permanently.
func TestOverdue(t *testing.T) {
	for name, answers := range map[string]bool{"late": true, "never": false} {
		s := newOverdueHarness(t, 8)
		slow := s.request(0)
		s.now = s.now.Add(600 * time.Millisecond)
		if answers {
			s.respond(0, slow)
			s.core.Decide(&Packet{Flow: flowOf(0), Cookie: CookieOf(slow), Acknowledged: 500, End: true}, s.now)
		}
		for n := 1; n < 8; n++ {
			if got := s.request(n); got == slow {
				t.Errorf("%s: flow %d went to the target with an overdue request", name, n)
			}
		}
		if got := s.core.Overdue(s.now); len(got) != 1 || got[0] != slow {
			t.Errorf("%s: got overdue targets %v, want %d", name, got, slow)
		}
		if n := s.core.Stats(s.now).Overdue; s.overdueEvents != 1 || n != 1 {
			t.Errorf("%s: got %d overdue events and %d overdue targets, want 1 and 1", name, s.overdueEvents, n)
		}
		s.now = s.now.Add(overduePenaltyTime)
		for n := range 8 {
			s.core.Decide(&Packet{Flow: flowOf(n), Cookie: CookieOf(1), Acknowledged: 500, End: true}, s.now)
		}
		retried := false
		for n := 10; n < 18; n++ {
			retried = retried || s.request(n) == slow
		}
		if !retried {
			t.Errorf("%s: target %d got no new flow after %v", name, slow, overduePenaltyTime)
		}
	}
}

// Guards against an overloaded service whose load concentrates on the targets
// that are not overdue.
func TestOverdueMajority(t *testing.T) {
	s := newOverdueHarness(t, 8)
	for n := range 8 {
		s.request(n)
	}
	s.now = s.now.Add(600 * time.Millisecond)
	got := make(map[fleet.Incarnation]int)
	for n := 8; n < 16; n++ {
		got[s.request(n)]++
	}
	if len(got) != 8 {
		t.Errorf("got flows at %d targets, want all 8", len(got))
	}
}

// Guards against entry VMs that each have to detect a slow target on their own.
func TestSharedOverdue(t *testing.T) {
	s := newOverdueHarness(t, 8)
	s.core.SetSharedReports(nil, []fleet.Incarnation{3})
	for n := range 7 {
		if got := s.request(n); got == 3 {
			t.Errorf("flow %d went to target 3, at which requests of other VMs were overdue", n)
		}
	}
	s.core.SetSharedReports(nil, nil)
	if got := s.request(7); got != 3 {
		t.Errorf("flow after the end of the shared report: got target %d, want 3", got)
	}
}

// Guards against counting an idle flow as overdue. Callers keep idle flows open
// for later requests.
func TestIdleIsNotOverdue(t *testing.T) {
	s := newOverdueHarness(t, 2)
	id := s.request(0)
	s.now = s.now.Add(50 * time.Millisecond)
	s.respond(0, id)
	s.now = s.now.Add(time.Second)
	s.core.Tick(s.now)
	if got := s.core.Overdue(s.now); len(got) != 0 {
		t.Errorf("got overdue targets %v, want none", got)
	}
}
