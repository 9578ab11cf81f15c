package feed

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
	"bamboowalk.org/bamboowalk/pkg/steering"
)

const (
	lossTargets, lossStopped = 120, 36
	lossStopAt, lossEnd      = 2 * time.Second, 8 * time.Second
	lossOneWay               = time.Millisecond
	lossDeadline             = 3 * time.Second
)

var lossRoutes = []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:443")}

type (
	// lossSim simulates entry VMs, targets, callers and one hub in virtual time. Of the
	// requests, four fifths are idempotent ones on long flows, and the others are
	// orders with a flow each.
	lossSim struct {
		lossCase
		rng     *rand.Rand
		now     time.Time
		events  lossEvents
		store   *Store
		sent    Reports
		vms     []*lossVM
		targets []*lossTarget
		flows   []*lossFlow
		port    int
		lossResult
	}

	// lossCase is what happens: vms entry VMs, of which cut can't reach the targets of
	// one zone, a share of lost packets, and targets that stop, or freeze for a time,
	// either their processes or, with suspended, their machines.
	lossCase struct {
		enabled   bool
		vms, cut  int
		loss      float64
		rate      float64
		stopped   int
		freeze    time.Duration
		suspended bool
		silence   time.Duration
		work      time.Duration
		longFlows int
	}

	lossResult struct {
		failed, requests, resets, wrongResets, wrongLost, lost, sharedFalse int
		doubts                                                              uint64
		lostAfter, lostSum, newFlows                                        time.Duration
	}

	lossVM struct {
		core *steering.Core
		zone fleet.ZoneID
		cut  bool
		sim  *lossSim
	}

	lossTarget struct {
		id          fleet.Incarnation
		zone        fleet.ZoneID
		free        [2]time.Time
		queue       int
		first, last time.Time
	}

	// lossFlow is an open flow. dead is set once the caller has given up on it.
	lossFlow struct {
		key    steering.FlowKey
		vm     *lossVM
		target *lossTarget
		ack    uint32
		busy   bool
	}

	lossEvent struct {
		due    time.Time
		action func()
	}
	lossEvents []lossEvent
)

func (q lossEvents) Len() int           { return len(q) }
func (q lossEvents) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q lossEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *lossEvents) Push(x any)        { *q = append(*q, x.(lossEvent)) }
func (q *lossEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (s *lossSim) after(d time.Duration, action func()) {
	heap.Push(&s.events, lossEvent{s.now.Add(d), action})
}

// every calls action now and at each interval from then on.
func (s *lossSim) every(d time.Duration, action func()) {
	action()
	s.after(d, func() { s.every(d, action) })
}

func (s *lossSim) since() time.Duration { return s.now.Sub(lossStart) }

func runLoss(c lossCase) lossResult {
	s := &lossSim{lossCase: c, rng: rand.New(rand.NewPCG(1, uint64(c.vms))), now: lossStart}
	s.store = NewStore(Hub{VM: "a", Zone: "z0"}, registry.New(c.silence, lossStart), lossStart.Add(-10*time.Second))
	if c.enabled {
		s.store.EnableLostTargets(s.lostChanged)
	}
	s.store.SetHubs([]fleet.VMID{"a"}, true)
	s.store.addSubscribers(Entry, c.vms)
	var records []registry.Record
	for i := range lossTargets {
		t := &lossTarget{id: fleet.Incarnation(i + 1), zone: fleet.ZoneID(fmt.Sprint("z", i%3))}
		s.targets = append(s.targets, t)
		rec := lossRecord(i, 1)
		rec.Target.Zone = t.zone
		records = append(records, rec)
		sequence := registry.Sequence(0)
		announce := func() {
			sequence++
			rec.Sequence = sequence
			if !s.silent(t) {
				_, _ = s.store.Merge(rec, s.now)
			}
		}
		announce()
		s.after(time.Duration(s.rng.Int64N(int64(1200*time.Millisecond))), func() { s.every(1200*time.Millisecond, announce) })
	}
	cat := &catalog.Catalog{Number: 1, Services: []catalog.Service{{ID: "s", HealthPath: "/"}}}
	for i, a := range lossRoutes {
		cat.Routes = append(cat.Routes, catalog.Route{Address: a, Idempotent: i == 0, Objective: 300 * time.Millisecond, Deadline: lossDeadline, Shares: []catalog.Share{{Service: "s", Weight: 1}}})
	}
	for i := range c.vms {
		vm := &lossVM{zone: fleet.ZoneID(fmt.Sprint("z", i%3)), cut: i < c.cut, sim: s}
		vm.core = steering.New(vm.zone, rand.New(rand.NewPCG(uint64(i), 2)))
		vm.core.LoadReports, vm.core.Observer = c.enabled, vm
		vm.core.SetView(steering.NewView(cat, records, uint64(i)*0x9e3779b97f4a7c15, s.now))
		vm.core.SetEntryVMs(c.vms)
		s.vms = append(s.vms, vm)
		s.after(time.Duration(s.rng.Int64N(int64(20*time.Millisecond))), func() {
			s.every(20*time.Millisecond, func() {
				vm.core.Tick(s.now)
				if vm.core.ReportDue(s.now) {
					vm.report()
				}
			})
		})
		s.every(500*time.Millisecond, vm.report)
	}
	s.every(100*time.Millisecond, func() { s.store.Tick(s.now) })
	s.every(20*time.Millisecond, s.publish)
	for range c.longFlows {
		s.flows = append(s.flows, &lossFlow{})
	}
	s.after(0, s.request)
	for len(s.events) > 0 && s.events[0].due.Sub(lossStart) < lossEnd {
		e := heap.Pop(&s.events).(lossEvent)
		s.now = e.due
		e.action()
	}
	for _, t := range s.targets[:c.stopped] {
		s.newFlows = max(s.newFlows, t.last.Sub(t.first))
	}
	for _, vm := range s.vms {
		s.doubts += vm.core.LostStats().Doubts
	}
	return s.lossResult
}

// silent reports whether the target answers nothing, stopped whether it never will.
func (s *lossSim) silent(t *lossTarget) bool {
	return s.stops(t) && s.since() >= lossStopAt && (s.freeze == 0 || s.since() < lossStopAt+s.freeze)
}

func (s *lossSim) stops(t *lossTarget) bool { return int(t.id) <= s.stopped }

func (s *lossSim) dead(t *lossTarget) bool { return s.silent(t) && s.freeze == 0 }

func (s *lossSim) lostChanged(e *LostEvidence, lost bool) {
	if t := s.targets[e.Target.Incarnation-1]; lost && !s.dead(t) {
		s.wrongLost++
	} else if lost {
		s.lost++
		s.lostAfter = max(s.lostAfter, s.since()-lossStopAt)
		s.lostSum += s.since() - lossStopAt
	}
}

func (s *lossSim) publish() {
	if s.enabled {
		s.store.TickReports(s.now)
	}
	if r := s.store.reportsFor(Entry); !r.equal(&s.sent) {
		s.sent = r
		s.after(lossOneWay, func() {
			for _, vm := range s.vms {
				vm.core.SetSharedReports(r.SharedSuspects, r.SharedOverdue)
				vm.core.SetDoubted(r.Lost, r.Candidates, s.now)
			}
		})
	}
	for _, id := range s.sent.SharedSuspects {
		if t := s.targets[id-1]; !s.silent(t) {
			s.sharedFalse++
		}
	}
}

func (v *lossVM) report() {
	a := &Ack{Suspects: v.core.Suspects()}
	slices.Sort(a.Suspects)
	a.Failed, a.Answered = v.core.Failed(a.Suspects, v.sim.now), v.core.Answered(v.sim.now)
	i := slices.Index(v.sim.vms, v)
	v.sim.after(lossOneWay, func() { v.sim.store.report(fleet.VMID(fmt.Sprint(i)), v.zone, a, v.sim.now) })
}

func (v *lossVM) TargetSuspected(t *steering.Target) {
	v.sim.after(0, func() { v.report(); v.check(t, 125*time.Millisecond) })
}
func (v *lossVM) TargetOverdue(steering.FlowKey, steering.FlowEvent) {}
func (v *lossVM) FlowOpened(steering.FlowKey, steering.FlowEvent)    {}
func (v *lossVM) FlowEnded(steering.FlowKey, steering.FlowEvent)     {}

func (v *lossVM) check(at *steering.Target, delay time.Duration) {
	if _, suspected := v.core.SuspectHealthPath(at); !suspected {
		return
	}
	s, t := v.sim, v.sim.targets[at.ID.Incarnation-1]
	wait := max(t.free[0].Sub(s.now), 0)
	if s.passes(v, t) && !s.lose(4) && t.queue < 10 && wait < 400*time.Millisecond {
		s.after(4*lossOneWay+wait, func() { v.core.ReportCheck(at, steering.CheckPassed, s.now); v.report() })
		return
	}
	s.after(400*time.Millisecond, func() {
		// The kernel of a target whose process is frozen accepts the connection.
		r := steering.CheckUnanswered
		if (s.freeze == 0 || s.suspended) && (!s.passes(v, t) || t.queue >= 10 || s.lose(2)) {
			r = steering.CheckUnreachable
		}
		v.core.ReportCheck(at, r, s.now)
		v.report()
		if v.core.LoadReports && !v.core.IsLost(at.Cookie) {
			delay = 125 * time.Millisecond
		}
		delay = min(2*delay, 2*time.Second)
		s.after(delay, func() { v.check(at, delay) })
	})
}

// passes reports whether packets of a VM reach a target that answers, and lose whether
// one of n packets is lost.
func (s *lossSim) passes(v *lossVM, t *lossTarget) bool {
	return !s.silent(t) && (!v.cut || t.zone != "z1" || s.since() < lossStopAt)
}

func (s *lossSim) lose(n int) bool {
	for range n {
		if s.rng.Float64() < s.loss {
			return true
		}
	}
	return false
}

// request starts a request of a caller, and schedules the next one.
func (s *lossSim) request() {
	s.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/s.rate), s.request)
	if s.since() > lossEnd-lossDeadline {
		return // its outcome would not be known at the end
	}
	s.requests++
	if len(s.flows) == 0 || s.rng.IntN(5) == 0 {
		s.open(&lossFlow{}, 1, s.now)
		return
	}
	f := s.flows[s.rng.IntN(len(s.flows))]
	switch {
	case f.busy:
		s.requests--
	case f.target != nil:
		s.send(f, 0, s.now)
	default:
		s.open(f, 0, s.now)
	}
}

// open opens a flow for a request that began at the given time.
func (s *lossSim) open(f *lossFlow, route int, began time.Time) {
	s.port++
	*f = lossFlow{key: steering.FlowKey{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(s.port >> 16), byte(s.port >> 8)}), uint16(s.port&0xff+1)), Route: lossRoutes[route]}, vm: s.vms[s.rng.IntN(len(s.vms))], busy: true}
	s.syn(f, f.key, 0, route, began)
}

func (s *lossSim) syn(f *lossFlow, key steering.FlowKey, n int, route int, began time.Time) {
	if f.key != key || f.target != nil {
		return
	}
	if n == 3 {
		s.fail(f)
		return
	}
	s.after([]time.Duration{200, 400, 800}[n]*time.Millisecond, func() { s.syn(f, key, n+1, route, began) })
	if s.lose(1) {
		return
	}
	d := f.vm.core.Decide(&steering.Packet{Flow: key, Opening: true, Copy: uint32(n)}, s.now)
	if d.Op != steering.Forward {
		return
	}
	t := s.targets[d.Target.ID.Incarnation-1]
	if s.silent(t) {
		if t.first.IsZero() {
			t.first = s.now
		}
		t.last = s.now
	}
	if !s.passes(f.vm, t) || t.queue >= 10 || s.lose(2) {
		return
	}
	s.after(4*lossOneWay, func() {
		if f.key == key && f.target == nil {
			f.target = t
			s.send(f, route, began)
		}
	})
}

// send sends a request, and repeats it until it is answered, reset or too late.
func (s *lossSim) send(f *lossFlow, route int, began time.Time) {
	f.busy = true
	f.ack++
	key, ack, done, ran := f.key, f.ack, false, false
	var try func(n int)
	try = func(n int) {
		if done || f.key != key {
			return
		}
		if s.now.Sub(began) >= lossDeadline {
			done = true
			s.fail(f)
			return
		}
		s.after(min([]time.Duration{200, 400, 800, 1600, 3200}[n]*time.Millisecond, max(lossDeadline-s.now.Sub(began), time.Millisecond)), func() { try(min(n+1, 4)) })
		if s.lose(1) {
			return
		}
		d := f.vm.core.Decide(&steering.Packet{Flow: key, Cookie: steering.CookieOf(f.target.id), Acknowledged: ack, Data: 100}, s.now)
		if d.Op == steering.Reset {
			done = true
			s.resets++
			if !s.dead(f.target) {
				s.wrongResets++
			}
			if route == 0 {
				s.open(f, 0, began) // callers repeat idempotent requests
			} else {
				s.fail(f)
			}
			return
		}
		if d.Op != steering.Forward || !s.passes(f.vm, f.target) || s.lose(1) || ran {
			return
		}
		ran = true
		t := f.target
		t.queue++
		slot := 0
		if t.free[1].Before(t.free[0]) {
			slot = 1
		}
		end := maxTime(t.free[slot], s.now).Add(time.Duration(s.rng.ExpFloat64() * float64(s.work)))
		t.free[slot] = end
		s.after(end.Sub(s.now)+2*lossOneWay, func() {
			t.queue--
			if f.key != key || done || s.silent(t) {
				return
			}
			done, f.busy = true, false
			f.vm.core.Decide(&steering.Packet{Flow: key, Cookie: steering.CookieOf(t.id), Acknowledged: ack + 1, End: route == 1}, s.now)
		})
	}
	try(0)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// fail counts a request as failed. The caller then opens another flow for the next.
func (s *lossSim) fail(f *lossFlow) {
	s.failed++
	*f = lossFlow{}
}

func defaultLoss(vms, cut int, loss float64) lossCase {
	return lossCase{enabled: true, vms: vms, cut: cut, loss: loss, rate: 1500, stopped: lossStopped, work: 30 * time.Millisecond, longFlows: 1200, silence: 3 * time.Second}
}

// Guards against targets that are called lost, or flows that are reset, because of lost
// packets or of broken links of entry VMs, and against stopped targets that are found
// late or never. BAMBOOWALK_MEASURE=1 prints all results.
func TestLostTargets(t *testing.T) {
	for _, n := range []int{3, 20, 126, 300} {
		for _, cut := range []int{0, 1, 2, 20} {
			for _, loss := range []float64{0, 0.001, 0.03} {
				if cut <= n {
					t.Run(fmt.Sprintf("%d VMs, %d cut off from a zone, %.1f %% loss", n, cut, 100*loss), func(t *testing.T) {
						t.Parallel()
						checkLost(t, defaultLoss(n, cut, loss))
					})
				}
			}
		}
	}
}

func checkLost(t *testing.T, c lossCase) {
	got := runLoss(c)
	if os.Getenv("BAMBOOWALK_MEASURE") != "" {
		before := c
		before.enabled = false
		fmt.Printf("%s: %+v; before: %+v\n", t.Name(), got, runLoss(before))
	}
	if got.wrongLost != 0 || got.wrongResets != 0 {
		t.Errorf("got %d lost targets and %d resets although alive, want none", got.wrongLost, got.wrongResets)
	}
	// With fewer than three VMs whose links work, the evidence does not suffice.
	if c.vms-c.cut != 1 && c.vms-c.cut != 2 && got.lost < lossStopped {
		t.Errorf("got %d lost targets, want all %d that have stopped", got.lost, lossStopped)
	}
	// A suspicion that the hubs share makes all VMs avoid the target.
	if c.cut == 0 && c.loss <= 0.001 && got.sharedFalse != 0 {
		t.Errorf("got %d shared suspicions of targets that are alive, want none", got.sharedFalse)
	}
}

// Guards against overloaded targets, which ignore opening packets and let health checks
// wait, and against targets that are frozen for seconds that are called lost.
func TestOverloadIsNotLoss(t *testing.T) {
	for _, vms := range []int{3, 20, 126} {
		overload := defaultLoss(vms, 0, 0.001)
		overload.stopped, overload.work = 0, 400*time.Millisecond
		frozen := defaultLoss(vms, 0, 0.001)
		frozen.freeze = 4 * time.Second
		suspended := defaultLoss(vms, 0, 0.001)
		suspended.freeze, suspended.suspended = 1500*time.Millisecond, true
		for name, c := range map[string]lossCase{"all targets full": overload, "36 targets frozen": frozen, "36 machines suspended": suspended} {
			got := runLoss(c)
			c.enabled = false
			base := runLoss(c)
			if os.Getenv("BAMBOOWALK_MEASURE") != "" {
				fmt.Printf("%s, %d VMs: %+v; before: %+v\n", name, vms, got, base)
			}
			if got.wrongLost != 0 || got.resets != 0 {
				t.Errorf("%s, %d VMs: got %d lost targets and %d resets, want none", name, vms, got.wrongLost, got.resets)
			}
		}
	}
}

// Guards against a detection of stopped targets that saves too few requests, or comes
// so late that new flows go there for longer than 0.3 s.
func TestLostTargetsGoal(t *testing.T) {
	c := defaultLoss(126, 0, 0.001)
	got := runLoss(c)
	c.enabled = false
	base := runLoss(c)
	if 3*got.failed > base.failed {
		t.Errorf("36 of 120 targets stopped: got %d failed requests, want at most a third of the former %d", got.failed, base.failed)
	}
	for _, vms := range []int{3, 20, 126, 300} {
		c := defaultLoss(vms, 0, 0.001)
		c.rate, c.longFlows = 50, 0
		if got := runLoss(c); got.newFlows > 300*time.Millisecond {
			t.Errorf("one target stopped at 50 requests per second, %d VMs: got new flows for %v, want at most 0.3 s", vms, got.newFlows)
		}
	}
}

// Guards against resets of flows whose targets are alive, on machines that were
// suspended for seconds.
func TestSuspendedMachines(t *testing.T) {
	c := defaultLoss(126, 0, 0.001)
	c.freeze, c.suspended = 2500*time.Millisecond, true
	if got := runLoss(c); got.wrongLost != 0 || got.wrongResets != 0 {
		t.Errorf("36 machines suspended for %v: got %d lost targets and %d resets, want none", c.freeze, got.wrongLost, got.wrongResets)
	}
}
