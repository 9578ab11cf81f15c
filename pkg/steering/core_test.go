package steering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

var (
	start       = time.Unix(1_700_000_000, 0)
	counterAddr = netip.MustParseAddrPort("198.18.0.1:443")
	sheetsAddr  = netip.MustParseAddrPort("198.18.0.2:443")
)

// target returns the record of a target with incarnation n.
func target(n fleet.Incarnation, s fleet.ServiceID, z fleet.ZoneID) registry.Record {
	return registry.Record{Target: fleet.Target{
		ID: fleet.TargetID{
			Service:     s,
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 8080),
			Incarnation: n,
		},
		Zone: z, Slots: 2, ConnectionLimit: 100, State: fleet.TargetReady,
	}}
}

func testCatalog() *catalog.Catalog {
	return &catalog.Catalog{
		Number:   1,
		Services: []catalog.Service{{ID: "counter", HealthPath: "/health"}, {ID: "sheets", HealthPath: "/ok"}},
		Routes: []catalog.Route{
			{Address: counterAddr, Deadline: 2 * time.Second, Shares: []catalog.Share{{Service: "counter", Weight: 1}}},
			{Address: sheetsAddr, Deadline: 5 * time.Second, Shares: []catalog.Share{{Service: "sheets", Weight: 1}}},
		},
	}
}

// harness is a Core under test with a simulated clock. It records the calls of
// its Observer methods.
type harness struct {
	*testing.T
	core      *Core
	records   []registry.Record
	now       time.Time
	suspected []fleet.Incarnation
	events    []FlowEvent
	// overdueEvents counts the calls of TargetOverdue.
	overdueEvents int
}

func newHarness(t *testing.T, records ...registry.Record) *harness {
	s := &harness{T: t, core: New("z0", rand.New(rand.NewPCG(1, 1))), records: records, now: start}
	s.core.Observer = s
	s.update()
	return s
}

func (s *harness) TargetSuspected(t *Target) { s.suspected = append(s.suspected, t.ID.Incarnation) }

func (s *harness) TargetOverdue(FlowKey, FlowEvent) { s.overdueEvents++ }

func (s *harness) FlowOpened(k FlowKey, e FlowEvent) { s.events = append(s.events, e) }

func (s *harness) FlowEnded(k FlowKey, e FlowEvent) { s.events = append(s.events, e) }

func (s *harness) update() { s.core.SetView(NewView(testCatalog(), s.records, 1, s.now)) }

func flowOf(n int) FlowKey {
	return FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(n)), Route: counterAddr}
}

// open sends the opening packet with retransmission number n, and returns the
// target that it is forwarded to.
func (s *harness) open(f FlowKey, n uint32) fleet.Incarnation {
	s.Helper()
	d := s.core.Decide(&Packet{Flow: f, Opening: true, Copy: n}, s.now)
	if d.Op != Forward {
		s.Fatalf("opening packet of %v: got %v %s, want it forwarded", f, d.Op, d.Cause)
	}
	return d.Target.ID.Incarnation
}

// send sends a later packet and checks the target that it is forwarded to.
func (s *harness) send(f FlowKey, cookie, want fleet.Incarnation) {
	s.Helper()
	d := s.core.Decide(&Packet{Flow: f, Cookie: CookieOf(cookie)}, s.now)
	if d.Op != Forward || d.Target.ID.Incarnation != want {
		s.Errorf("packet of %v with cookie %d: got %+v, want target %d", f, cookie, d, want)
	}
}

func (s *harness) expect(p *Packet, op Op, cause Cause) {
	s.Helper()
	if d := s.core.Decide(p, s.now); d.Op != op || d.Cause != cause {
		s.Errorf("%+v: got %v %s, want %v %s", p, d.Op, d.Cause, op, cause)
	}
}

// Guards against packets of an open flow that go to another target when the
// network delivers them to another entry VM.
func TestCookieIdentifiesTarget(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"), target(3, "counter", "z1"))
	for id := fleet.Incarnation(1); id <= 3; id++ {
		s.send(flowOf(int(id)), id, id)
	}
}

// Guards against packets that reach the wrong target, and against callers of a
// gone target that get no reset and wait for a response.
func TestCookieOfNoTarget(t *testing.T) {
	gone := target(2, "counter", "z0")
	gone.Target.State = fleet.TargetGone
	successor := target(3, "sheets", "z0")
	successor.Target.ID.Address = gone.Target.ID.Address
	s := newHarness(t, target(1, "counter", "z0"), gone, successor)
	s.expect(&Packet{Flow: flowOf(1), Cookie: 99}, Drop, CauseUnknownCookie)
	s.expect(&Packet{Flow: flowOf(2), Cookie: 0}, Drop, CauseNoCookie)
	s.expect(&Packet{Flow: flowOf(3), Cookie: CookieOf(2)}, Reset, CauseTargetGone)
	s.expect(&Packet{Flow: FlowKey{Caller: counterAddr, Route: counterAddr}, Opening: true, Cookie: CookieOf(3)}, Forward, CauseOpened)
	s.expect(&Packet{Flow: FlowKey{Caller: counterAddr, Route: netip.MustParseAddrPort("198.18.0.9:1")}, Opening: true}, Reset, CauseNoRoute)
}

// Guards against forwarding before the VM has a catalog and targets.
func TestNoView(t *testing.T) {
	s := &harness{T: t, core: New("z0", rand.New(rand.NewPCG(1, 1))), now: start}
	s.expect(&Packet{Flow: flowOf(1), Opening: true}, Drop, CauseNoCatalog)
	s.core.SetView(NewView(nil, []registry.Record{target(1, "counter", "z0")}, 1, start))
	s.expect(&Packet{Flow: flowOf(1), Cookie: 1}, Drop, CauseNoCatalog)
	s.core.SetView(NewView(testCatalog(), nil, 1, start))
	s.expect(&Packet{Flow: flowOf(1), Opening: true}, Reset, CauseNoTarget)
}

// Guards against a dead target that gets retransmitted opening packets and new
// flows until it is marked as silent for lack of announcements.
func TestCopyGoesElsewhere(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	first := s.open(flowOf(1), 0)
	s.now = s.now.Add(200 * time.Millisecond)
	second := s.open(flowOf(1), 1)
	if first == second {
		t.Fatalf("retransmission: got target %d again, want the other target", first)
	}
	if len(s.suspected) != 1 || s.suspected[0] != first {
		t.Errorf("suspected targets: got %v, want [%d]", s.suspected, first)
	}
	for n := 2; n < 20; n++ {
		if got := s.open(flowOf(n), 0); got != second {
			t.Errorf("flow %d: got target %d, want %d", n, got, second)
		}
	}
	path, suspected := s.core.SuspectHealthPath(s.core.target(CookieOf(first)))
	if !suspected || path != "/health" {
		t.Errorf("SuspectHealthPath: got %q, %v, want /health and true", path, suspected)
	}
	s.core.ReportCheck(s.core.target(CookieOf(first)), CheckPassed, s.now)
	if got := s.open(flowOf(30), 0); got != first {
		t.Errorf("after a successful health check: got target %d, want %d", got, first)
	}
}

// Guards against a target that is suspected because one packet was lost while
// the target answers other packets.
func TestAnswerClearsSuspicion(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"))
	s.open(flowOf(1), 0)
	s.now = s.now.Add(50 * time.Millisecond)
	s.open(flowOf(2), 0)
	s.send(flowOf(2), 1, 1)
	s.now = s.now.Add(150 * time.Millisecond)
	s.open(flowOf(1), 1)
	if len(s.suspected) != 0 {
		t.Errorf("suspected targets: got %v, want none", s.suspected)
	}
}

// Guards against a flow that switches between two targets that have both
// answered its opening packets.
func TestLateAnswerOfOtherTarget(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	first := s.open(flowOf(1), 0)
	s.now = s.now.Add(200 * time.Millisecond)
	second := s.open(flowOf(1), 1)
	// The caller acknowledges the answer of the first target, and then receives
	// the answer of the second.
	s.send(flowOf(1), first, first)
	s.send(flowOf(1), second, first)
	// A retransmission that the network delayed must not open the flow again.
	if got := s.open(flowOf(1), 2); got != first {
		t.Errorf("retransmission after the flow has opened: got target %d, want %d", got, first)
	}
	if got := s.core.targetLoadOf(CookieOf(second)).running; got != 0 {
		t.Errorf("running requests at the other target: got %d, want 0", got)
	}
}

// Guards against an order that reaches two targets because two VMs decide about copies
// of its opening packet: both targets answer, and only the one whose answer the caller
// acknowledges gets the request, whichever VM the later packets pass through.
func TestTwoVMsDecideOneFlow(t *testing.T) {
	records := []registry.Record{target(1, "counter", "z0"), target(2, "counter", "z0")}
	a, b := newHarness(t, records...), newHarness(t, records...)
	f := flowOf(1)
	first := a.open(f, 0)
	// b prefers the same target; it must not need to know what a has decided.
	b.core.SetSharedReports([]fleet.Incarnation{first}, nil)
	second := b.open(f, 1)
	if first == second {
		t.Fatalf("got target %d at both VMs, want two", first)
	}
	for _, chosen := range []fleet.Incarnation{first, second} {
		for range 3 {
			for _, vm := range []*harness{a, b} {
				d := vm.core.Decide(&Packet{Flow: f, Cookie: CookieOf(chosen), Data: 900}, vm.now)
				if chosen == first && (d.Op != Forward || d.Target.ID.Incarnation != first) {
					t.Errorf("request with the cookie of target %d: got %+v", first, d)
				}
				if d.Op == Forward && chosen == second && d.Target.ID.Incarnation == second {
					t.Errorf("request that target %d has: also forwarded to target %d", first, second)
				}
			}
		}
	}
}

// Guards against running requests that are given up, or started again elsewhere,
// because their target or the announcements of all targets are late for a while.
func TestSilentTargetKeepsItsFlows(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	at := s.open(flowOf(1), 0)
	s.send(flowOf(1), at, at)
	for _, silent := range []bool{true, false, true} {
		for i := range s.records {
			s.records[i].Silent = silent
		}
		s.core.Change(s.records, s.now)
		s.core.ReportCheck(s.core.target(CookieOf(at)), CheckUnreachable, s.now)
		s.core.SetSharedReports([]fleet.Incarnation{at}, []fleet.Incarnation{at})
		s.now = s.now.Add(500 * time.Millisecond)
		s.send(flowOf(1), at, at)
		// Another VM, which has no memory of the flow, forwards it too.
		other := newHarness(t, s.records...)
		other.send(flowOf(1), at, at)
	}
}

// Guards against new flows at draining targets, even if no other target is
// left.
func TestDrainingGetsNoFlow(t *testing.T) {
	draining := target(1, "counter", "z0")
	draining.Target.State = fleet.TargetDraining
	s := newHarness(t, draining, target(2, "counter", "z1"))
	for n := range 20 {
		if got := s.open(flowOf(n), 0); got != 2 {
			t.Errorf("flow %d: got target %d, want 2", n, got)
		}
	}
	s.send(flowOf(50), 1, 1)
	s.records = s.records[:1]
	s.update()
	s.expect(&Packet{Flow: flowOf(60), Opening: true}, Reset, CauseNoTarget)
}

// Guards against refused flows when all targets that are left are silent. Silent
// targets may be alive.
func TestSuspectIsBetterThanNone(t *testing.T) {
	silent := target(1, "counter", "z0")
	silent.Silent = true
	s := newHarness(t, silent, target(2, "counter", "z0"))
	if got := s.open(flowOf(1), 0); got != 2 {
		t.Errorf("got silent target %d, want 2", got)
	}
	s.records = s.records[:1]
	s.update()
	if got := s.open(flowOf(2), 0); got != 1 {
		t.Errorf("got target %d, want silent target 1", got)
	}
}

// Guards against overloading the few targets whose announcements still arrive
// when most targets are silent. This happens if the control VM that publishes
// the targets is partitioned from the other control VMs.
func TestSilentMajority(t *testing.T) {
	var records []registry.Record
	for id := fleet.Incarnation(1); id <= 8; id++ {
		rec := target(id, "counter", "z0")
		rec.Silent = id > 3
		records = append(records, rec)
	}
	s := newHarness(t, records...)
	got := make(map[fleet.Incarnation]int)
	for n := range 8 {
		got[s.open(flowOf(n), 0)]++
	}
	for id := fleet.Incarnation(1); id <= 8; id++ {
		if got[id] != 1 {
			t.Errorf("target %d: got %d flows of 8, want 1", id, got[id])
		}
	}
}

// Guards against a VM that ignores the suspicion of several VMs, and a VM that
// avoids a suspected target although the target answers this VM.
func TestSharedSuspicion(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	s.core.SetSharedReports([]fleet.Incarnation{1}, nil)
	for n := range 10 {
		if got := s.open(flowOf(n), 0); got != 2 {
			t.Errorf("flow %d: got target %d, want 2", n, got)
		}
	}
	s.send(flowOf(100), 1, 1)
	s.core.flows[flowOf(101)] = &flow{target: 1, lastOpening: s.now, started: s.now, route: &catalog.Route{}}
	s.send(flowOf(101), 1, 1)
	if got := s.open(flowOf(102), 0); got != 1 {
		t.Errorf("target that has just answered: got target %d, want 1", got)
	}
}

// Guards against flows that concentrate on one target, or that go to another
// availability zone without need.
func TestLeastRequests(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"), target(3, "counter", "z1"))
	got := make(map[fleet.Incarnation]int)
	for n := range 3 {
		got[s.open(flowOf(n), 0)]++
	}
	if want := map[fleet.Incarnation]int{1: 1, 2: 1, 3: 1}; fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("three flows: got %v, want %v", got, want)
	}
	// The request at target 1 ends, so that target 1 has the fewest requests.
	for n := range 3 {
		f := flowOf(n)
		if s.core.flows[f].target == CookieOf(1) {
			s.core.Decide(&Packet{Flow: f, Cookie: CookieOf(1), End: true}, s.now)
		}
	}
	if got := s.open(flowOf(10), 0); got != 1 {
		t.Errorf("after the end of a request: got target %d, want 1", got)
	}
}

// Guards against running counts that differ from the number of running flows,
// and against flows that never expire.
func TestRunningCounts(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z1"))
	rnd := rand.New(rand.NewPCG(1, 2))
	for n := range 3000 {
		f := flowOf(rnd.IntN(300))
		switch rnd.IntN(4) {
		case 0, 1:
			s.core.Decide(&Packet{Flow: f, Opening: true, Copy: uint32(n % 3)}, s.now)
		case 2:
			s.core.Decide(&Packet{Flow: f, Cookie: Cookie(1 + rnd.IntN(2)), End: rnd.IntN(2) == 0}, s.now)
		}
		s.now = s.now.Add(time.Duration(rnd.IntN(20)) * time.Millisecond)
		running := make(map[Cookie]int)
		for _, f := range s.core.flows {
			if !f.ended {
				running[f.target]++
			}
		}
		for k, l := range s.core.targetLoads {
			if l.running != running[k] {
				t.Fatalf("after %d packets: got %d running requests at target %d, want %d", n, l.running, k, running[k])
			}
		}
	}
	s.now = s.now.Add(time.Minute)
	s.core.Decide(&Packet{Flow: flowOf(1), Cookie: 1}, s.now)
	if got := s.core.Stats(s.now).Flows; got != 0 {
		t.Errorf("flows after a minute: got %d, want 0", got)
	}
}

// Guards against VMs that choose differently between two targets with the same
// cookie.
func TestEqualCookies(t *testing.T) {
	a, b := target(1, "counter", "z0"), target(2, "counter", "z0")
	if CookieOf(1<<40) == 0 || CookieOf(7) != 7 {
		t.Errorf("cookies: got %d and %d, want a cookie above 0, and 7", CookieOf(1<<40), CookieOf(7))
	}
	// Find two incarnations with the same cookie.
	seen := make(map[Cookie]fleet.Incarnation)
	for n := fleet.Incarnation(1) << 32; ; n++ {
		if other, ok := seen[CookieOf(n)]; ok {
			a.Target.ID.Incarnation, b.Target.ID.Incarnation = other, n
			break
		}
		seen[CookieOf(n)] = n
	}
	for _, records := range [][]registry.Record{{a, b}, {b, a}} {
		s := newHarness(t, records...)
		if got := s.open(flowOf(1), 0); got != a.Target.ID.Incarnation {
			t.Errorf("got target %d, want %d", got, a.Target.ID.Incarnation)
		}
	}
}

// Guards against services whose share of a route's flows differs from their
// weight.
func TestWeights(t *testing.T) {
	c := testCatalog()
	c.Routes[0].Shares = []catalog.Share{{Service: "counter", Weight: 90}, {Service: "sheets", Weight: 10}}
	s := newHarness(t)
	s.core.SetView(NewView(c, []registry.Record{target(1, "counter", "z0"), target(2, "sheets", "z0")}, 1, start))
	got := make(map[fleet.Incarnation]int)
	for n := range 2000 {
		got[s.open(flowOf(n), 0)]++
	}
	if got[2] < 150 || got[2] > 250 {
		t.Errorf("flows of the service with 10 %% of the weight: got %d of 2000, want 150 to 250", got[2])
	}
}

// Guards against flow events that do not match the packets. Logs and histograms
// are based on these events.
func TestEvents(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	first := CookieOf(s.open(flowOf(1), 0))
	s.now = s.now.Add(200 * time.Millisecond)
	second := CookieOf(s.open(flowOf(1), 1))
	s.now = s.now.Add(10 * time.Millisecond)
	s.core.Decide(&Packet{Flow: flowOf(1), Cookie: first}, s.now)
	s.now = s.now.Add(40 * time.Millisecond)
	s.core.Decide(&Packet{Flow: flowOf(1), Cookie: first, End: true}, s.now)
	third := CookieOf(s.open(flowOf(2), 0))
	s.now = s.now.Add(unopenedLifetime + sweepInterval)
	s.core.Decide(&Packet{Flow: flowOf(3), Cookie: first}, s.now)
	at := func(k Cookie) *Target { return s.core.view.targets[k] }
	want := []FlowEvent{
		{Target: at(first), Former: at(second), Opened: true, After: 210 * time.Millisecond},
		{Target: at(first), Opened: true, Closed: true, After: 250 * time.Millisecond},
		{Target: at(third), After: unopenedLifetime + sweepInterval},
	}
	if fmt.Sprint(s.events) != fmt.Sprint(want) {
		t.Errorf("got %+v, want %+v", s.events, want)
	}
}

// Guards against a VM with broken links that reports most targets as suspected,
// so that all other VMs avoid these targets.
func TestLocalFaultIsNotReported(t *testing.T) {
	var records []registry.Record
	for id := fleet.Incarnation(1); id <= 10; id++ {
		records = append(records, target(id, "counter", "z0"))
	}
	s := newHarness(t, records...)
	for n := range 10 {
		s.open(flowOf(n), 0)
		s.now = s.now.Add(200 * time.Millisecond)
		s.open(flowOf(n), 1)
		reported := len(s.core.Suspects())
		if suspected := s.core.Stats(s.now).Suspected; suspected <= 5 && reported != suspected || suspected > 5 && reported != 0 {
			t.Errorf("%d of 10 targets suspected: got %d reported, want all up to 5 and none above 5", suspected, reported)
		}
	}
	if got := s.core.Stats(s.now).Suspected; got < 6 {
		t.Errorf("suspected targets: got %d, want at least 6", got)
	}
}
