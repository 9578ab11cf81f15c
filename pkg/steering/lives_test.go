package steering

import (
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Guards against what is known about an earlier process of a target that counts for the
// process that runs now: open flows to it would be reset, and it would be avoided, or
// trusted, without a reason.
func TestRestartedTarget(t *testing.T) {
	for _, replace := range []bool{false, true} {
		s, at, _ := lostHarness(t, true, true)
		old := s.core.target(CookieOf(at))
		s.now = s.now.Add(2 * time.Second)
		s.open(flowOf(2), 0)
		s.core.ReportCheck(old, CheckUnreachable, s.now)
		s.core.targetLoadOf(old.Cookie).suspected = true
		s.core.SetSharedReports([]fleet.Incarnation{at}, []fleet.Incarnation{at})
		s.core.SetDoubted([]fleet.Incarnation{at}, []fleet.Incarnation{at}, s.now)
		if got := s.data(1); got != Reset {
			t.Fatalf("lost target: got %v, want Reset", got)
		}
		for i := range s.records {
			if s.records[i].Target.ID.Incarnation == at {
				s.records[i].Born++
			}
		}
		if replace {
			s.update()
		} else {
			s.core.Change(s.records, s.now)
		}
		s.now = s.now.Add(time.Millisecond)
		if s.core.IsLost(old.Cookie) || s.core.isSuspected(old.Cookie, s.core.targetLoads[old.Cookie], s.now) || s.core.isOverdue(old.Cookie, s.now) {
			t.Errorf("target that has restarted: got lost, suspected or overdue, want none; new view %v", replace)
		}
		s.core.ReportCheck(old, CheckUnreachable, s.now)
		if got := s.core.targetLoadOf(old.Cookie).failedAt; !got.IsZero() {
			t.Errorf("failed check of the process before: got it recorded; new view %v", replace)
		}
		s.core.targetLoadOf(old.Cookie).suspected = true
		s.core.ReportCheck(old, CheckPassed, s.now)
		if _, suspected := s.core.SuspectHealthPath(s.core.target(old.Cookie)); !suspected {
			t.Errorf("passed check of the process before: the doubt about the present one has ended; new view %v", replace)
		}
		if _, suspected := s.core.SuspectHealthPath(old); suspected {
			t.Errorf("process before: got checks, want none; new view %v", replace)
		}
	}
}

// Guards against a reset of an open flow whose target the hub does not know, because the
// hub was suspended or has restarted.
func TestFlowOfUnknownTarget(t *testing.T) {
	s, at, _ := lostHarness(t, true, false)
	for i := range s.records {
		if s.records[i].Target.ID.Incarnation == at {
			s.records = append(s.records[:i], s.records[i+1:]...)
			break
		}
	}
	s.update()
	s.expect(&Packet{Flow: flowOf(1), Cookie: CookieOf(at), Acknowledged: 1, Data: 10}, Drop, CauseUnknownCookie)
}
