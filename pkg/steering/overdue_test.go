package steering

import (
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// ask opens a flow, and sends its request to the target that got it.
func (s *scene) ask(n int) fleet.Incarnation {
	s.Helper()
	f := flowOf(n)
	id := s.open(f, 0)
	s.core.Decide(&Packet{Flow: f, Cookie: CookieOf(id), Acknowledged: 1, Data: 100}, s.now)
	return id
}

// reply lets the caller acknowledge the beginning of the response.
func (s *scene) reply(n int, id fleet.Incarnation) {
	s.core.Decide(&Packet{Flow: flowOf(n), Cookie: CookieOf(id), Acknowledged: 500}, s.now)
}

// overdueScene has n targets, and routes with an objective.
func overdueScene(t *testing.T, n int) *scene {
	var records []registry.Record
	for id := range fleet.Incarnation(n) {
		records = append(records, target(id+1, "counter", "z0"))
	}
	s := newScene(t, records...)
	c := testCatalog()
	c.Routes[0].Objective = 200 * time.Millisecond
	s.core.SetView(NewView(c, records, s.now))
	return s
}

// Guards against new flows at targets that open flows and answer late or never,
// and against targets that are given up for good.
func TestOverdue(t *testing.T) {
	for name, answers := range map[string]bool{"late": true, "never": false} {
		s := overdueScene(t, 8)
		slow := s.ask(0)
		s.now = s.now.Add(600 * time.Millisecond)
		if answers {
			s.reply(0, slow)
			s.core.Decide(&Packet{Flow: flowOf(0), Cookie: CookieOf(slow), Acknowledged: 500, End: true}, s.now)
		}
		for n := 1; n < 8; n++ {
			if got := s.ask(n); got == slow {
				t.Errorf("%s: flow %d went to the target with an overdue request", name, n)
			}
		}
		if got := s.core.Overdue(s.now); len(got) != 1 || got[0] != slow {
			t.Errorf("%s: got overdue targets %v, want %d", name, got, slow)
		}
		if n := s.core.Stats(s.now).Overdue; s.late != 1 || n != 1 {
			t.Errorf("%s: got %d events and %d targets, want 1 and 1", name, s.late, n)
		}
		s.now = s.now.Add(overdueMemory)
		for n := range 8 {
			s.core.Decide(&Packet{Flow: flowOf(n), Cookie: CookieOf(1), Acknowledged: 500, End: true}, s.now)
		}
		tried := false
		for n := 10; n < 18; n++ {
			tried = tried || s.ask(n) == slow
		}
		if !tried {
			t.Errorf("%s: target %d got no trial after %v", name, slow, overdueMemory)
		}
	}
}

// Guards against an overloaded service whose load piles up at the targets that
// happen not to be overdue.
func TestOverdueMajority(t *testing.T) {
	s := overdueScene(t, 8)
	for n := range 8 {
		s.ask(n)
	}
	s.now = s.now.Add(600 * time.Millisecond)
	got := make(map[fleet.Incarnation]int)
	for n := 8; n < 16; n++ {
		got[s.ask(n)]++
	}
	if len(got) != 8 {
		t.Errorf("got flows at %d targets, want all 8", len(got))
	}
}

// Guards against each entry VM having to find a slow target by itself.
func TestSharedOverdue(t *testing.T) {
	s := overdueScene(t, 8)
	s.core.SetShared(nil, []fleet.Incarnation{3})
	for n := range 7 {
		if got := s.ask(n); got == 3 {
			t.Errorf("flow %d went to target 3, at which requests of others were overdue", n)
		}
	}
	s.core.SetShared(nil, nil)
	if got := s.ask(7); got != 3 {
		t.Errorf("flow after others have forgotten it: got target %d, want 3", got)
	}
}

// Guards against flows that are kept open for later requests and count as
// overdue while their callers are silent.
func TestIdleIsNotOverdue(t *testing.T) {
	s := overdueScene(t, 2)
	id := s.ask(0)
	s.now = s.now.Add(50 * time.Millisecond)
	s.reply(0, id)
	s.now = s.now.Add(time.Second)
	s.core.Tick(s.now)
	if got := s.core.Overdue(s.now); len(got) != 0 {
		t.Errorf("got overdue targets %v, want none", got)
	}
}
