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
	start   = time.Unix(1_700_000_000, 0)
	counter = netip.MustParseAddrPort("198.18.0.1:443")
	sheets  = netip.MustParseAddrPort("198.18.0.2:443")
)

// target returns the record of the n-th target of a service.
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
			{Address: counter, Deadline: 2 * time.Second, Shares: []catalog.Share{{Service: "counter", Weight: 1}}},
			{Address: sheets, Deadline: 5 * time.Second, Shares: []catalog.Share{{Service: "sheets", Weight: 1}}},
		},
	}
}

// scene is a core under test with the present time.
type scene struct {
	*testing.T
	core    *Core
	records []registry.Record
	now     time.Time
	doubted []fleet.Incarnation
	events  []FlowEvent
	// late counts calls of TargetOverdue.
	late int
}

func newScene(t *testing.T, records ...registry.Record) *scene {
	s := &scene{T: t, core: New("z0", rand.New(rand.NewPCG(1, 1))), records: records, now: start}
	s.core.Observer = s
	s.update()
	return s
}

func (s *scene) TargetDoubted(t *Target) { s.doubted = append(s.doubted, t.ID.Incarnation) }

func (s *scene) TargetOverdue(FlowKey, FlowEvent) { s.late++ }

func (s *scene) FlowOpened(k FlowKey, e FlowEvent) { s.events = append(s.events, e) }

func (s *scene) FlowEnded(k FlowKey, e FlowEvent) { s.events = append(s.events, e) }

func (s *scene) update() { s.core.SetView(NewView(testCatalog(), s.records, s.now)) }

func flowOf(n int) FlowKey {
	return FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(n)), Route: counter}
}

// open sends an opening packet and returns the target that gets it.
func (s *scene) open(f FlowKey, n uint32) fleet.Incarnation {
	s.Helper()
	d := s.core.Decide(&Packet{Flow: f, Opening: true, Copy: n}, s.now)
	if d.Op != Forward {
		s.Fatalf("opening packet of %v: got %v %s, want it forwarded", f, d.Op, d.Cause)
	}
	return d.Target.ID.Incarnation
}

// send sends a later packet and checks the target that gets it.
func (s *scene) send(f FlowKey, cookie, want fleet.Incarnation) {
	s.Helper()
	d := s.core.Decide(&Packet{Flow: f, Cookie: CookieOf(cookie)}, s.now)
	if d.Op != Forward || d.Target.ID.Incarnation != want {
		s.Errorf("packet of %v with cookie %d: got %+v, want target %d", f, cookie, d, want)
	}
}

func (s *scene) expect(p *Packet, op Op, cause Cause) {
	s.Helper()
	if d := s.core.Decide(p, s.now); d.Op != op || d.Cause != cause {
		s.Errorf("%+v: got %v %s, want %v %s", p, d.Op, d.Cause, op, cause)
	}
}

// Guards against packets of an open flow that change their target when the
// fabric hands them to another VM.
func TestCookieNamesTarget(t *testing.T) {
	s := newScene(t, target(1, "counter", "z0"), target(2, "counter", "z0"), target(3, "counter", "z1"))
	for id := fleet.Incarnation(1); id <= 3; id++ {
		s.send(flowOf(int(id)), id, id)
	}
}

// Guards against packets that reach a target that is not meant, or that a gone
// target's caller waits for in vain.
func TestCookieOfNoTarget(t *testing.T) {
	gone := target(2, "counter", "z0")
	gone.Target.State = fleet.TargetGone
	successor := target(3, "sheets", "z0")
	successor.Target.ID.Address = gone.Target.ID.Address
	s := newScene(t, target(1, "counter", "z0"), gone, successor)
	s.expect(&Packet{Flow: flowOf(1), Cookie: 99}, Drop, CauseUnknownCookie)
	s.expect(&Packet{Flow: flowOf(2), Cookie: 0}, Drop, CauseNoCookie)
	s.expect(&Packet{Flow: flowOf(3), Cookie: CookieOf(2)}, Reset, CauseTargetGone)
	s.expect(&Packet{Flow: FlowKey{Caller: counter, Route: counter}, Opening: true, Cookie: CookieOf(3)}, Forward, CauseOpened)
	s.expect(&Packet{Flow: FlowKey{Caller: counter, Route: netip.MustParseAddrPort("198.18.0.9:1")}, Opening: true}, Reset, CauseNoRoute)
}

// Guards against decisions by a VM that knows nothing yet.
func TestNoView(t *testing.T) {
	s := &scene{T: t, core: New("z0", rand.New(rand.NewPCG(1, 1))), now: start}
	s.expect(&Packet{Flow: flowOf(1), Opening: true}, Drop, CauseNoCatalog)
	s.core.SetView(NewView(nil, []registry.Record{target(1, "counter", "z0")}, start))
	s.expect(&Packet{Flow: flowOf(1), Cookie: 1}, Drop, CauseNoCatalog)
	s.core.SetView(NewView(testCatalog(), nil, start))
	s.expect(&Packet{Flow: flowOf(1), Opening: true}, Reset, CauseNoTarget)
}

// Guards against a dead target that gets copies of an opening packet, and new
// flows, until its heartbeats are missed.
func TestCopyGoesElsewhere(t *testing.T) {
	s := newScene(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	first := s.open(flowOf(1), 0)
	s.now = s.now.Add(200 * time.Millisecond)
	second := s.open(flowOf(1), 1)
	if first == second {
		t.Fatalf("copy: got target %d again, want the other one", first)
	}
	if len(s.doubted) != 1 || s.doubted[0] != first {
		t.Errorf("doubted: got %v, want [%d]", s.doubted, first)
	}
	for n := 2; n < 20; n++ {
		if got := s.open(flowOf(n), 0); got != second {
			t.Errorf("flow %d: got target %d, want %d", n, got, second)
		}
	}
	path, doubted := s.core.Doubt(CookieOf(first))
	if !doubted || path != "/health" {
		t.Errorf("Doubt: got %q, %v, want /health and true", path, doubted)
	}
	s.core.Report(CookieOf(first), true)
	if got := s.open(flowOf(30), 0); got != first {
		t.Errorf("after a good health check: got target %d, want %d", got, first)
	}
}

// Guards against a target that is doubted because one packet was lost while it
// answers others.
func TestAnswerRefutesDoubt(t *testing.T) {
	s := newScene(t, target(1, "counter", "z0"))
	s.open(flowOf(1), 0)
	s.now = s.now.Add(50 * time.Millisecond)
	s.open(flowOf(2), 0)
	s.send(flowOf(2), 1, 1)
	s.now = s.now.Add(150 * time.Millisecond)
	s.open(flowOf(1), 1)
	if len(s.doubted) != 0 {
		t.Errorf("doubted: got %v, want none", s.doubted)
	}
}

// Guards against a flow that is torn between two targets which both answered
// its opening packets.
func TestLateAnswerOfOtherTarget(t *testing.T) {
	s := newScene(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	first := s.open(flowOf(1), 0)
	s.now = s.now.Add(200 * time.Millisecond)
	second := s.open(flowOf(1), 1)
	// The caller acknowledges the first target, and then hears of the second.
	s.send(flowOf(1), first, first)
	s.send(flowOf(1), second, first)
	// A copy that the network held back must not open the flow anew.
	if got := s.open(flowOf(1), 2); got != first {
		t.Errorf("copy after the flow has opened: got target %d, want %d", got, first)
	}
	if got := s.core.loadOf(CookieOf(second)).running; got != 0 {
		t.Errorf("requests at the other target: got %d, want 0", got)
	}
}

// Guards against new flows at targets that leave, even where no others are left.
func TestDrainingGetsNoFlow(t *testing.T) {
	draining := target(1, "counter", "z0")
	draining.Target.State = fleet.TargetDraining
	s := newScene(t, draining, target(2, "counter", "z1"))
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

// Guards against callers that wait although a target that may be alive is left.
func TestSuspectIsBetterThanNone(t *testing.T) {
	silent := target(1, "counter", "z0")
	silent.Silent = true
	s := newScene(t, silent, target(2, "counter", "z0"))
	if got := s.open(flowOf(1), 0); got != 2 {
		t.Errorf("got silent target %d, want 2", got)
	}
	s.records = s.records[:1]
	s.update()
	if got := s.open(flowOf(2), 0); got != 1 {
		t.Errorf("got target %d, want the silent one", got)
	}
}

// Guards against load that piles up at the few targets whose announcements reach
// a hub that is cut off from the others.
func TestSilentMajority(t *testing.T) {
	var records []registry.Record
	for id := fleet.Incarnation(1); id <= 8; id++ {
		rec := target(id, "counter", "z0")
		rec.Silent = id > 3
		records = append(records, rec)
	}
	s := newScene(t, records...)
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

// Guards against targets that only some VMs avoid, and against VMs that follow
// others although the target answers them.
func TestSharedDoubt(t *testing.T) {
	s := newScene(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
	s.core.SetShared([]fleet.Incarnation{1}, nil)
	for n := range 10 {
		if got := s.open(flowOf(n), 0); got != 2 {
			t.Errorf("flow %d: got target %d, want 2", n, got)
		}
	}
	s.send(flowOf(100), 1, 1)
	s.core.flows[flowOf(101)] = &flow{target: 1, sent: s.now, started: s.now, route: &catalog.Route{}}
	s.send(flowOf(101), 1, 1)
	if got := s.open(flowOf(102), 0); got != 1 {
		t.Errorf("target that has just answered: got target %d, want 1", got)
	}
}

// Guards against load that piles up at one target or leaves the zone without
// need.
func TestLeastRequests(t *testing.T) {
	s := newScene(t, target(1, "counter", "z0"), target(2, "counter", "z0"), target(3, "counter", "z1"))
	got := make(map[fleet.Incarnation]int)
	for n := range 3 {
		got[s.open(flowOf(n), 0)]++
	}
	if want := map[fleet.Incarnation]int{1: 1, 2: 1, 3: 1}; fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("three flows: got %v, want %v", got, want)
	}
	// The request at target 1 ends, so that it has the fewest.
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

// Guards against counts of requests that never fall again.
func TestLoadsEnd(t *testing.T) {
	s := newScene(t, target(1, "counter", "z0"), target(2, "counter", "z1"))
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
		for k, l := range s.core.loads {
			if l.running != running[k] {
				t.Fatalf("after %d packets: got %d requests at target %d, want %d", n, l.running, k, running[k])
			}
		}
	}
	s.now = s.now.Add(time.Minute)
	s.core.Decide(&Packet{Flow: flowOf(1), Cookie: 1}, s.now)
	if got := s.core.Stats(s.now).Flows; got != 0 {
		t.Errorf("flows after a minute: got %d, want 0", got)
	}
}

// Guards against flows to a target whose cookie another one has.
func TestEqualCookies(t *testing.T) {
	a, b := target(1, "counter", "z0"), target(2, "counter", "z0")
	if CookieOf(1<<40) == 0 || CookieOf(7) != 7 {
		t.Errorf("cookies: got %d and %d, want one above 0, and 7", CookieOf(1<<40), CookieOf(7))
	}
	// Find two incarnations whose cookies are equal.
	seen := make(map[Cookie]fleet.Incarnation)
	for n := fleet.Incarnation(1) << 32; ; n++ {
		if other, ok := seen[CookieOf(n)]; ok {
			a.Target.ID.Incarnation, b.Target.ID.Incarnation = other, n
			break
		}
		seen[CookieOf(n)] = n
	}
	for _, records := range [][]registry.Record{{a, b}, {b, a}} {
		s := newScene(t, records...)
		if got := s.open(flowOf(1), 0); got != a.Target.ID.Incarnation {
			t.Errorf("got target %d, want %d", got, a.Target.ID.Incarnation)
		}
	}
}

// Guards against shares of a route that differ from their weights.
func TestWeights(t *testing.T) {
	c := testCatalog()
	c.Routes[0].Shares = []catalog.Share{{Service: "counter", Weight: 90}, {Service: "sheets", Weight: 10}}
	s := newScene(t)
	s.core.SetView(NewView(c, []registry.Record{target(1, "counter", "z0"), target(2, "sheets", "z0")}, start))
	got := make(map[fleet.Incarnation]int)
	for n := range 2000 {
		got[s.open(flowOf(n), 0)]++
	}
	if got[2] < 150 || got[2] > 250 {
		t.Errorf("flows of a share of 10 %%: got %d of 2000, want about 200", got[2])
	}
}

// Guards against logs and histograms that tell another story than the packets.
func TestEvents(t *testing.T) {
	s := newScene(t, target(1, "counter", "z0"), target(2, "counter", "z0"))
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

// Guards against a VM without links that makes all others avoid the targets.
func TestOwnFaultIsNotTold(t *testing.T) {
	var records []registry.Record
	for id := fleet.Incarnation(1); id <= 10; id++ {
		records = append(records, target(id, "counter", "z0"))
	}
	s := newScene(t, records...)
	for n := range 10 {
		s.open(flowOf(n), 0)
		s.now = s.now.Add(200 * time.Millisecond)
		s.open(flowOf(n), 1)
		told := len(s.core.Doubts())
		if doubted := s.core.Stats(s.now).Doubted; doubted <= 5 && told != doubted || doubted > 5 && told != 0 {
			t.Errorf("%d of 10 targets in doubt: told %d, want all up to 5 and none above", doubted, told)
		}
	}
	if got := s.core.Stats(s.now).Doubted; got < 6 {
		t.Errorf("targets in doubt: got %d, want most", got)
	}
}
