package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const leaseTime = 1500 * time.Millisecond

type (
	// sim connects Balancers by a simulated packet network with simulated
	// time. All randomness comes from rng, so that a run can be repeated with
	// the same seed.
	sim struct {
		now   time.Time
		rng   *rand.Rand
		queue simEvents
		seq   int
		zones []*simZone
		// revision counts the changes of settings; VMs apply them in any order of
		// arrival.
		revision fleet.Revision
		vms      map[fleet.VMID]*simVM
		sorted   []*simVM // by id; a VM that restarts has a new id
		targets  map[netip.AddrPort]*simTarget
		callers  map[fleet.FlowKey]*caller
		cfg      simConfig
		history  []historyEntry
		trace    func(format string, args ...any)
	}

	simConfig struct {
		vms, targets, zones int
		loss, duplication   float64
		viewDelay           time.Duration
		strategy            Strategy
	}

	simZone struct {
		id          fleet.ZoneID
		members     []fleet.VMID
		previous    []fleet.VMID // members of the last sealed epoch before the current one, and of all epochs in between
		targets     []fleet.Target
		epoch       fleet.Epoch
		sealed      bool
		unreachable bool
		weight      float64
		state       fleet.ZoneState
	}

	simVM struct {
		id          fleet.VMID
		zone        *simZone
		b           *Balancer
		epoch       fleet.Epoch
		lease       time.Time
		down        bool
		frozenUntil time.Time
	}

	simTarget struct {
		id    fleet.TargetID
		zone  *simZone
		down  bool
		flows map[string]*targetFlow
		runs  int
	}

	targetFlow struct {
		done, isDownload bool
		instance         uint32
	}

	// caller is one request of a caller. The payload of each packet of the
	// request contains the id.
	caller struct {
		id           string
		flow         fleet.FlowKey
		instance     uint32
		kind         fleet.Kind
		downloadTime time.Duration // duration of a download; 0 for a short request
		started      time.Time
		attempts     int
		answered     time.Time
		finished     bool
	}

	// historyEntry is one event of the recorded history.
	historyEntry struct {
		at            time.Time
		event         string // Start, Forward, Run, Answer, Done, Refused, Failed, Broken, Drain, Cut or Heal
		request       string
		target        fleet.TargetID
		service       fleet.ServiceID
		nonIdempotent bool
		zone          fleet.ZoneID // zone of the target, or of the VM that refused
		detail        string
	}

	simEvent struct {
		at  time.Time
		seq int
		do  func()
	}
	simEvents []simEvent
)

func (q simEvents) Len() int { return len(q) }
func (q simEvents) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

var (
	lookups = testListener("10.0.0.1:80", "Lutto/Counter", fleet.Kind{Name: "Lookup", Urgency: 2, Weight: 1, Deadline: 200 * time.Millisecond, IdleTimeout: 5 * time.Second, Idempotent: true})
	orders  = testListener("10.0.0.1:81", "Lutto/Counter", fleet.Kind{Name: "Order", Urgency: 0, Weight: 1, Deadline: 300 * time.Millisecond, IdleTimeout: 5 * time.Second})
	sheets  = testListener("10.0.0.2:80", "Lutto/Sheets", fleet.Kind{Name: "Sheet", Urgency: 1, Weight: 1, Deadline: time.Minute, IdleTimeout: 10 * time.Second, Idempotent: true})
)

func testListener(addr string, s fleet.ServiceID, k fleet.Kind) fleet.Listener {
	return fleet.Listener{Address: netip.MustParseAddrPort(addr), Protocol: fleet.TCP, Service: s, Kind: k, Answers: fleet.Through}
}

func newSim(seed uint64, cfg simConfig) *sim {
	s := &sim{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg,
		vms: map[fleet.VMID]*simVM{}, targets: map[netip.AddrPort]*simTarget{}, callers: map[fleet.FlowKey]*caller{},
	}
	if want := os.Getenv("BALANCER_TRACE"); want != "" {
		s.trace = func(format string, args ...any) {
			if line := fmt.Sprintf(format, args...); strings.Contains(line, want) {
				fmt.Println(line)
			}
		}
	}
	for z := range max(cfg.zones, 1) {
		zone := &simZone{id: fleet.ZoneID(fmt.Sprintf("zone%d", z)), epoch: 1, sealed: true, weight: 1, state: fleet.ZoneIn}
		s.zones = append(s.zones, zone)
		for i := range cfg.vms {
			id := fleet.VMID(fmt.Sprintf("vm%d-%02d", z, i))
			zone.members = append(zone.members, id)
			s.startVM(zone, id)
		}
		zone.previous = zone.members
		for i := range cfg.targets {
			s.addTarget(zone, "Lutto/Counter", fmt.Sprintf("10.1.%d.%d:8080", z, i+1), 1)
			if i%3 == 0 {
				s.addTarget(zone, "Lutto/Sheets", fmt.Sprintf("10.2.%d.%d:8080", z, i+1), 1)
			}
		}
	}
	for _, zone := range s.zones {
		for _, id := range zone.members {
			s.vms[id].setView(s, s.newView(zone))
		}
	}
	s.every(100*time.Millisecond, s.renewLeases)
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *sim) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *sim) record(e historyEntry) {
	e.at = s.now
	s.history = append(s.history, e)
	if s.trace != nil {
		s.trace("%s %s %s %s %s", s.now.Format("05.000"), e.event, e.request, e.target, e.detail)
	}
}

func (s *sim) startVM(zone *simZone, id fleet.VMID) {
	vm := &simVM{id: id, zone: zone, lease: s.now.Add(leaseTime)}
	vm.b = New(Config{Self: id, Strategy: s.cfg.strategy, NewLimiter: newSlotLimiter, Recorder: timeline.Discard{},
		Retries: alwaysRetry{}, Random: rand.New(rand.NewPCG(s.rng.Uint64(), 2))})
	s.vms[id] = vm
	s.scheduleTick(vm)
}

func (s *sim) scheduleTick(vm *simVM) {
	s.after(10*time.Millisecond, func() {
		if vm.down {
			return
		}
		if !s.now.Before(vm.frozenUntil) {
			vm.b.SetLease(vm.lease)
			s.apply(vm, vm.b.Tick(s.now, nil))
		}
		s.scheduleTick(vm)
	})
}

// newView returns the current view of a zone.
func (s *sim) newView(zone *simZone) *fleet.View {
	v := &fleet.View{Zone: zone.id, Epoch: zone.epoch, Sealed: zone.sealed, Revision: s.revision, Members: members(zone.members),
		Targets: slices.Clone(zone.targets), Listeners: []fleet.Listener{lookups, orders, sheets}}
	for _, z := range s.zones {
		v.Zones = append(v.Zones, fleet.Zone{ID: z.id, Weight: z.weight, State: z.state, Reachable: z == zone || !z.unreachable && !zone.unreachable,
			Members: members(z.members), Services: []fleet.ServiceID{"Lutto/Counter", "Lutto/Sheets"}})
	}
	if err := v.Freeze(); err != nil {
		panic(err)
	}
	return v
}

func members(ids []fleet.VMID) []fleet.VM {
	vms := make([]fleet.VM, len(ids))
	for i := range ids {
		vms[i].ID = ids[i]
	}
	return vms
}

func (vm *simVM) setView(s *sim, v *fleet.View) {
	if vm.down || v.Epoch < vm.epoch {
		return
	}
	vm.epoch = v.Epoch
	vm.b.SetLease(vm.lease)
	vm.b.SetView(v, s.now)
}

// newEpoch starts a new epoch with the given members and distributes the view
// of the epoch.
func (s *sim) newEpoch(zone *simZone, members []fleet.VMID) {
	if zone.sealed {
		zone.previous = zone.members
	} else {
		// Members of all epochs since the last sealed one may still decide.
		for _, id := range zone.members {
			if !slices.Contains(zone.previous, id) {
				zone.previous = append(slices.Clone(zone.previous), id)
			}
		}
	}
	zone.members, zone.epoch, zone.sealed = members, zone.epoch+1, false
	s.distributeView(zone)
}

// distributeView sends the current view to all VMs of a zone with random
// delays.
func (s *sim) distributeView(zone *simZone) {
	v := s.newView(zone)
	for _, vm := range s.sortedVMs() {
		if vm.zone == zone {
			s.runAtVM(vm, s.randomDelay(s.cfg.viewDelay), func() { vm.setView(s, v) })
		}
	}
}

// runAtVM calls do for a VM after d. If the VM is then frozen, do is called when
// the freeze ends. If the VM is down, do is not called.
func (s *sim) runAtVM(vm *simVM, d time.Duration, do func()) {
	s.after(d, func() {
		switch {
		case vm.down:
		case s.now.Before(vm.frozenUntil):
			s.runAtVM(vm, vm.frozenUntil.Sub(s.now), do)
		default:
			do()
		}
	})
}

func (s *sim) sortedVMs() []*simVM {
	if len(s.sorted) == len(s.vms) {
		return s.sorted
	}
	var vms []*simVM
	for _, vm := range s.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b *simVM) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	s.sorted = vms
	return vms
}

// renewLeases renews the leases of the members that are up and know the current
// epoch. It seals the epoch once no VM can decide in an earlier epoch.
func (s *sim) renewLeases() {
	for _, zone := range s.zones {
		sealed := true
		for _, id := range zone.members {
			if vm := s.vms[id]; !vm.down && vm.epoch == zone.epoch && !s.now.Before(vm.frozenUntil) {
				vm.lease = s.now.Add(leaseTime)
			}
		}
		for _, id := range zone.previous {
			vm := s.vms[id]
			sealed = sealed && (vm.epoch >= zone.epoch && !vm.down || !s.now.Before(vm.lease))
		}
		if sealed && !zone.sealed {
			zone.sealed = true
			s.distributeView(zone)
		}
	}
}

func (s *sim) randomDelay(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}

// Faults and planned changes.

func removeMember(ids []fleet.VMID, id fleet.VMID) []fleet.VMID {
	return slices.DeleteFunc(slices.Clone(ids), func(x fleet.VMID) bool { return x == id })
}

func (s *sim) crash(id fleet.VMID) {
	vm := s.vms[id]
	vm.down = true
	s.after(800*time.Millisecond, func() { s.newEpoch(vm.zone, removeMember(vm.zone.members, id)) })
}

func (s *sim) freeze(id fleet.VMID, d time.Duration) {
	vm := s.vms[id]
	// A second freeze must not shorten the first.
	if until := s.now.Add(d); until.After(vm.frozenUntil) {
		vm.frozenUntil = until
	}
	s.after(800*time.Millisecond, func() {
		if s.now.Before(vm.frozenUntil) {
			s.newEpoch(vm.zone, removeMember(vm.zone.members, id))
		}
	})
	s.after(d+200*time.Millisecond, func() {
		if !vm.down && !slices.Contains(vm.zone.members, id) {
			s.newEpoch(vm.zone, append(slices.Clone(vm.zone.members), id))
		}
	})
}

func (s *sim) leave(id fleet.VMID) {
	vm := s.vms[id]
	s.newEpoch(vm.zone, removeMember(vm.zone.members, id))
	s.after(5*time.Second, func() { vm.down = true })
}

func (s *sim) join(zone *simZone, id fleet.VMID) {
	s.startVM(zone, id)
	s.newEpoch(zone, append(slices.Clone(zone.members), id))
}

func (s *sim) addTarget(zone *simZone, service fleet.ServiceID, addr string, incarnation fleet.Incarnation) {
	a := netip.MustParseAddrPort(addr)
	slots := 3
	if service == "Lutto/Sheets" {
		slots = 4500
	}
	id := fleet.TargetID{Service: service, Address: a, Incarnation: incarnation}
	zone.targets = append(slices.Clone(zone.targets), fleet.Target{ID: id, Zone: zone.id, Slots: slots, ConnectionLimit: 4500, State: fleet.TargetReady})
	s.targets[a] = &simTarget{id: id, zone: zone, flows: map[string]*targetFlow{}}
}

func (s *sim) drain(zone *simZone, i int) {
	zone.targets = slices.Clone(zone.targets)
	zone.targets[i].State = fleet.TargetDraining
	s.record(historyEntry{event: "Drain", target: zone.targets[i].ID})
	s.newEpoch(zone, zone.members)
}

// removeTarget removes a crashed or drained target from the view.
func (s *sim) removeTarget(zone *simZone, id fleet.TargetID) {
	zone.targets = slices.DeleteFunc(slices.Clone(zone.targets), func(t fleet.Target) bool { return t.ID == id })
	s.newEpoch(zone, zone.members)
}

func (s *sim) crashTarget(zone *simZone, i int) fleet.TargetID {
	id := zone.targets[i].ID
	s.targets[id.Address].down = true
	s.after(300*time.Millisecond, func() { s.removeTarget(zone, id) })
	return id
}

// Packets.

// sendFromFabric sends a packet to a random VM that is up or still a member.
func (s *sim) sendFromFabric(p Packet) {
	vms := s.sortedVMs()
	vm := vms[s.rng.IntN(len(vms))]
	for vm.down && !slices.Contains(vm.zone.members, vm.id) {
		vm = vms[s.rng.IntN(len(vms))]
	}
	s.transmit(func() { p.Source = FromFabric; s.handle(vm, p) }, vm)
}

// transmit calls do for a VM after a random delay, never, or twice, to simulate
// reordering, loss and duplication of packets.
func (s *sim) transmit(do func(), vm *simVM) {
	if s.rng.Float64() < s.cfg.loss {
		return
	}
	s.runAtVM(vm, time.Millisecond+s.randomDelay(time.Millisecond), do)
	if s.rng.Float64() < s.cfg.duplication {
		s.runAtVM(vm, time.Millisecond+s.randomDelay(500*time.Millisecond), do)
	}
}

func (s *sim) handle(vm *simVM, p Packet) {
	vm.b.SetLease(vm.lease)
	s.apply(vm, vm.b.Handle(p, s.now, nil))
}

func (s *sim) apply(vm *simVM, actions []Action) {
	for _, a := range actions {
		p := Packet{Flow: a.Flow, Payload: a.Payload}
		s.decode(&p)
		if s.trace != nil {
			s.trace("%s %s e%d %s op%d mode%d step%d unc%v %s %s %s->%s hops%d", s.now.Format("05.000"), vm.id, vm.epoch, a.Flow.Caller, a.Op, a.Header.Mode, a.Header.Step, a.Header.Uncertain, a.Payload, a.Cause, a.Target, a.Peer, a.Header.Hops)
		}
		switch a.Op {
		case Forward:
			s.after(time.Millisecond+s.randomDelay(time.Millisecond), func() { s.toTarget(vm, a.Target, p) })
		case Pass:
			peer := s.vms[a.Peer]
			if vm.zone != peer.zone && (vm.zone.unreachable || peer.zone.unreachable) {
				continue
			}
			p.Source, p.Header, p.Target = FromPeer, a.Header, a.Target
			s.transmit(func() { s.handle(peer, p) }, peer)
		case Control:
			peer := s.vms[a.Peer]
			s.transmit(func() { s.apply(peer, peer.b.HandleControl(vm.id, a.Payload, s.now, nil)) }, peer)
		case Refuse:
			s.after(time.Millisecond, func() { s.toCaller(p, vm.zone.id, a.Outcome, string(a.Cause)) })
		case Reply:
			s.after(time.Millisecond, func() { s.toCaller(p, "", "", "") })
		}
	}
}

// payload encodes "request instance flag", where flag is S for a start packet,
// D for data and F for the end.
func payload(id string, instance uint32, flag string) []byte {
	return []byte(id + " " + strconv.Itoa(int(instance)) + " " + flag)
}

func (s *sim) decode(p *Packet) (id, flag string) {
	id, rest, _ := strings.Cut(string(p.Payload), " ")
	number, flag, _ := strings.Cut(rest, " ")
	instance, _ := strconv.Atoi(number)
	p.Instance = uint32(instance)
	switch flag {
	case "S":
		p.Start = true
	case "F":
		p.End = Fin
	}
	return id, flag
}

// toTarget delivers a packet to the target that currently has the address to.
func (s *sim) toTarget(vm *simVM, to fleet.TargetID, p Packet) {
	t := s.targets[to.Address]
	id, flag := s.decode(&p)
	c := s.callers[p.Flow]
	// A target ignores datagrams whose option names another service.
	if t == nil || t.down || c == nil || to.Service.Hash() != t.id.Service.Hash() {
		return
	}
	s.record(historyEntry{event: "Forward", request: id, target: t.id, service: listenerOfFlow(p.Flow).Service})
	r := t.flows[id]
	switch {
	case r == nil && flag != "S":
		s.toCaller(p, "", fleet.OutcomeUnknown, "target does not know the flow")
		return
	case r == nil:
		r = &targetFlow{instance: p.Instance, isDownload: flag == "S" && c.id == id && c.downloadTime > 0}
		t.flows[id] = r
		t.runs++
		s.record(historyEntry{event: "Run", request: id, target: t.id, zone: t.zone.id, nonIdempotent: !listenerOfFlow(p.Flow).Kind.Idempotent})
		s.after(5*time.Millisecond+s.randomDelay(15*time.Millisecond), func() { r.done = true; s.sendAnswer(vm, t, p.Flow, id, p.Instance, r.isDownload) })
		return
	case r.done:
		s.sendAnswer(vm, t, p.Flow, id, r.instance, r.isDownload && flag != "F")
	}
}

// sendAnswer sends an answer to the given VM, which forwarded a packet to the
// target. The answer ends the target's side of the flow unless more is set.
func (s *sim) sendAnswer(vm *simVM, t *simTarget, flow fleet.FlowKey, id string, instance uint32, more bool) {
	flag := "F"
	if more {
		flag = "D"
	}
	p := Packet{Flow: flow, Source: FromTarget, Target: t.id, Payload: payload(id, instance, flag)}
	s.decode(&p)
	if !vm.down && !t.down {
		s.transmit(func() { s.handle(vm, p) }, vm)
	}
}

func listenerOfFlow(k fleet.FlowKey) *fleet.Listener {
	for _, l := range []*fleet.Listener{&lookups, &orders, &sheets} {
		if l.Address == k.VIP {
			return l
		}
	}
	return nil
}

// Callers.

func (s *sim) startRequest(l *fleet.Listener, port int, downloadTime time.Duration) *caller {
	addr := netip.AddrFrom4([4]byte{192, 168, byte(port >> 14), byte(port>>8) & 63})
	flow := fleet.FlowKey{Caller: netip.AddrPortFrom(addr, uint16(port&0x3ff+1024)), VIP: l.Address, Protocol: fleet.TCP}
	if old := s.callers[flow]; old != nil && !old.finished {
		return old
	}
	s.seq++
	c := &caller{id: fmt.Sprintf("%s-%d", l.Kind.Name, s.seq), flow: flow, instance: uint32(s.seq), kind: l.Kind, downloadTime: downloadTime, started: s.now}
	s.callers[flow] = c
	s.record(historyEntry{event: "Start", request: c.id, nonIdempotent: !l.Kind.Idempotent})
	s.sendStart(c)
	return c
}

// sendStart sends the start packet and repeats it until the request is answered
// or finished. An unanswered request has failed once the deadline of its kind,
// but at least 1 s and at most 5 s, has passed since the start.
func (s *sim) sendStart(c *caller) {
	if c.finished || !c.answered.IsZero() || s.callers[c.flow] != c {
		return
	}
	limit := max(c.kind.Deadline, time.Second)
	if s.now.Sub(c.started) > min(limit, 5*time.Second) {
		c.finished = true
		s.record(historyEntry{event: "Failed", request: c.id, nonIdempotent: !c.kind.Idempotent})
		return
	}
	c.attempts++
	s.sendFromFabric(Packet{Flow: c.flow, Start: true, Instance: c.instance, Payload: payload(c.id, c.instance, "S")})
	s.after(60*time.Millisecond<<min(c.attempts, 4), func() { s.sendStart(c) })
}

func (s *sim) toCaller(p Packet, zone fleet.ZoneID, outcome fleet.Outcome, detail string) {
	id, _ := s.decode(&p)
	c := s.callers[p.Flow]
	if c == nil || c.finished {
		return
	}
	if p.Instance != c.instance {
		return // the caller's TCP stack ignores segments of an earlier connection
	}
	if outcome != "" {
		s.handleRefusal(c, id, zone, outcome, detail)
		return
	}
	s.record(historyEntry{event: "Answer", request: c.id, detail: id})
	if id != c.id {
		return
	}
	first := c.answered.IsZero()
	c.answered = s.now
	switch {
	case first && c.downloadTime > 0:
		s.download(c)
	case first:
		s.finishRequest(c)
	}
}

func (s *sim) handleRefusal(c *caller, id string, zone fleet.ZoneID, outcome fleet.Outcome, detail string) {
	if outcome == fleet.NotRun {
		s.record(historyEntry{event: "Refused", request: id, zone: zone, nonIdempotent: !c.kind.Idempotent, detail: detail})
	}
	if id != c.id {
		return
	}
	if !c.answered.IsZero() {
		s.record(historyEntry{event: "Broken", request: c.id, detail: detail})
	}
	c.finished = true
}

func (s *sim) finishRequest(c *caller) {
	c.finished = true
	s.record(historyEntry{event: "Done", request: c.id})
	s.sendFromFabric(Packet{Flow: c.flow, End: Fin, Payload: payload(c.id, c.instance, "F")})
}

// download sends data packets until the download ends. If no answer arrives for
// more than 4 s, it records the flow as broken.
func (s *sim) download(c *caller) {
	switch {
	case c.finished || s.callers[c.flow] != c:
	case s.now.Sub(c.started) > c.downloadTime:
		s.finishRequest(c)
	case s.now.Sub(c.answered) > 4*time.Second:
		c.finished = true
		s.record(historyEntry{event: "Broken", request: c.id, detail: "stalled"})
	default:
		s.sendFromFabric(Packet{Flow: c.flow, Payload: payload(c.id, c.instance, "D")})
		s.after(150*time.Millisecond, func() { s.download(c) })
	}
}

type alwaysRetry struct{}

func (alwaysRetry) RecordSuccess(time.Time)   {}
func (alwaysRetry) AllowRetry(time.Time) bool { return true }

// slotLimiter starts as many requests as there are slots and has a FIFO queue of
// at most four requests.
type slotLimiter struct {
	slots   int
	running map[fleet.FlowKey]bool
	queue   []Request
}

func newSlotLimiter(t fleet.Target, _ []fleet.Kind, _ time.Time) Limiter {
	return &slotLimiter{slots: t.Slots, running: map[fleet.FlowKey]bool{}}
}

func (l *slotLimiter) TryStart(r Request, _ time.Time) bool {
	if len(l.running) >= l.slots || len(l.queue) > 0 {
		return false
	}
	l.running[r.Flow] = true
	return true
}

func (l *slotLimiter) Enqueue(r Request, _ time.Time) ([]Request, error) {
	if len(l.queue) >= 4 {
		return nil, &ControlError{Reason: "queue is full"}
	}
	l.queue = append(l.queue, r)
	return nil, nil
}

func (l *slotLimiter) Next(now time.Time) (started, expired []Request) {
	for len(l.queue) > 0 {
		r := l.queue[0]
		if !now.Before(r.Deadline) {
			expired = append(expired, r)
		} else if len(l.running) < l.slots {
			l.running[r.Flow] = true
			started = append(started, r)
		} else {
			break
		}
		l.queue = l.queue[1:]
	}
	return started, expired
}

func (l *slotLimiter) Finish(f fleet.FlowKey, _ admission.Result, _ time.Time) { delete(l.running, f) }
func (l *slotLimiter) Cancel(f fleet.FlowKey, _ time.Time) bool {
	n := len(l.queue)
	l.queue = slices.DeleteFunc(l.queue, func(r Request) bool { return r.Flow == f })
	return len(l.queue) < n
}
func (l *slotLimiter) Adopt(r Request, _ time.Time) { l.running[r.Flow] = true }
func (l *slotLimiter) ReportLoad(int, time.Time)    {}
func (l *slotLimiter) Configure(t fleet.Target, _ []fleet.Kind, _ time.Time) []Request {
	l.slots = t.Slots
	return nil
}
func (l *slotLimiter) Pressure() uint8 { return uint8(min(255, 256*len(l.running)/max(l.slots, 1))) }
func (l *slotLimiter) InFlight() int   { return len(l.running) }
