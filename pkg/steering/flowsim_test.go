package steering

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

const (
	// Properties of the platform: the time without disturbances after which a machine counts
	// as connected, the time in which packets of an open flow must reach its target, and the
	// times after which a flow may be discarded.
	simStableTime  = 4 * time.Second
	simReorderTime = 2 * time.Second
	simIdleTime    = 15 * time.Second
	simFlowTime    = time.Minute

	simVMs, simTargets = 5, 6
	simLength          = 80 * time.Second
	simDelay           = 2 * time.Millisecond
	// simRepeats is the number of times for which a target repeats an answer.
	simRepeats = 8
)

type (
	// flowSim simulates callers with long flows, entry VMs behind a router, and targets that
	// repeat an opening answer until it is acknowledged, in virtual time. Datagrams are
	// lost, the router moves flows, VMs stop as planned, crash and are suspended, and
	// targets are suspended and drain.
	flowSim struct {
		rng     *rand.Rand
		now     time.Time
		events  detectEvents
		vms     []*flowSimVM
		targets []*flowSimTarget
		records []registry.Record
		// log holds the reports of contested flows that the hubs know.
		log      []fleet.FlowBinding
		loss     float64
		spraying float64
		broken   []string
		flows    int
		// opened holds the times to open a flow, and dead those of flows that were first
		// offered to a target that does not run.
		opened, dead []time.Duration
	}

	flowSimVM struct {
		core *Core
		// up is set while the process runs, and inRotation while the router sends packets.
		up, inRotation bool
		frozenUntil    time.Time
		waiting        []flowSimPacket
		disturbedAt    time.Time
	}

	flowSimPacket struct {
		packet  Packet
		flow    *flowSimFlow
		ack     uint32
		arrived time.Time
	}

	flowSimTarget struct {
		id          fleet.Incarnation
		down        bool
		frozenUntil time.Time
		disturbedAt time.Time
		// held maps the flows to their state.
		held map[*flowSimFlow]*flowSimHalf
	}

	// flowSimHalf is a flow as a target holds it.
	flowSimHalf struct {
		seq      uint32
		open     bool
		echo     Cookie
		request  int
		received int
	}

	flowSimFlow struct {
		key      FlowKey
		started  time.Time
		openedAt time.Time
		// target is the target whose answer the caller has acknowledged, and seq its number.
		target *flowSimTarget
		seq    uint32
		echo   Cookie
		// request is the number of the request, and answered that of the last answered one.
		request, answered int
		closed            bool
		first             *flowSimTarget
		// open is set once the target has the acknowledgement. others counts the packets at
		// other targets since the last one at its own, the first of them at othersSince.
		open        bool
		others      int
		othersSince time.Time
		lastPacket  time.Time
	}
)

func newFlowSim(seed uint64, loss, spraying float64) *flowSim {
	s := &flowSim{rng: rand.New(rand.NewPCG(seed, 16)), now: start, loss: loss, spraying: spraying}
	for i := range simTargets {
		s.targets = append(s.targets, &flowSimTarget{id: fleet.Incarnation(i + 1), held: make(map[*flowSimFlow]*flowSimHalf)})
		s.records = append(s.records, target(fleet.Incarnation(i+1), "counter", "z0"))
	}
	for range simVMs {
		v := &flowSimVM{}
		s.vms = append(s.vms, v)
		s.startVM(v)
		v.inRotation = true
	}
	s.every(20*time.Millisecond, s.report)
	s.every(20*time.Millisecond, func() {
		for _, v := range s.vms {
			if v.runs(s.now) {
				v.core.Tick(s.now)
			}
		}
	})
	return s
}

func (s *flowSim) after(d time.Duration, action func()) {
	heap.Push(&s.events, detectEvent{s.now.Add(d), action})
}

func (s *flowSim) every(d time.Duration, action func()) {
	s.after(d, func() {
		action()
		s.every(d, action)
	})
}

func (s *flowSim) run(length time.Duration) {
	for end := start.Add(length); len(s.events) > 0 && s.events[0].due.Before(end); {
		e := heap.Pop(&s.events).(detectEvent)
		s.now = e.due
		e.action()
	}
}

func (v *flowSimVM) runs(now time.Time) bool { return v.up && !now.Before(v.frozenUntil) }

// startVM starts the process of a VM, which gets the state of a hub.
func (s *flowSim) startVM(v *flowSimVM) {
	v.core = New("z0", rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
	c := testCatalog()
	c.IdleTimeout = simIdleTime
	v.core.SetView(NewView(c, s.records, s.rng.Uint64(), s.now))
	v.core.SetBindings(s.log, s.now)
	v.up = true
}

// report passes the reports of contested flows to all VMs, by way of the hubs.
func (s *flowSim) report() {
	for _, v := range s.vms {
		if !v.runs(s.now) {
			continue
		}
		list := v.core.Bindings(false)
		if len(list) == 0 {
			continue
		}
		s.after(30*time.Millisecond, func() {
			s.log = append(s.log, list...)
			for _, o := range s.vms {
				if o.runs(s.now) {
					o.core.SetBindings(list, s.now)
				}
			}
		})
	}
}

// route returns the VM to which the router sends a packet, by rendezvous hashing over the
// VMs in rotation.
func (s *flowSim) route(k FlowKey) *flowSimVM {
	if s.spraying > 0 && s.rng.Float64() < s.spraying {
		return s.vms[s.rng.IntN(len(s.vms))]
	}
	var best *flowSimVM
	highest := uint64(0)
	for i, v := range s.vms {
		h := xxhash.Sum64String(fmt.Sprint(k, i))
		if v.inRotation && (best == nil || h > highest) {
			best, highest = v, h
		}
	}
	return best
}

// transmit delivers a datagram unless it is lost.
func (s *flowSim) transmit(deliver func()) {
	if s.rng.Float64() >= s.loss {
		s.after(simDelay+time.Duration(s.rng.IntN(100))*time.Microsecond, deliver)
	}
}

// send sends a packet of a caller.
func (s *flowSim) send(f *flowSimFlow, p Packet, ack uint32) {
	p.Flow, f.lastPacket = f.key, s.now
	s.transmit(func() {
		v := s.route(f.key)
		switch {
		case v == nil || !v.up:
		case !v.runs(s.now):
			v.waiting = append(v.waiting, flowSimPacket{p, f, ack, s.now})
		default:
			s.decide(v, f, p, ack)
		}
	})
}

// decide lets a VM decide about a packet.
func (s *flowSim) decide(v *flowSimVM, f *flowSimFlow, p Packet, ack uint32) {
	d := v.core.Decide(&p, s.now)
	calm := s.now.Sub(v.disturbedAt) > simStableTime
	if d.Op == Reset && !p.Opening && calm {
		s.judge(f, nil, "a reset by "+string(d.Cause))
	}
	if d.Op != Forward {
		return
	}
	t := s.targets[d.Target.ID.Incarnation-1]
	if p.Opening && f.first == nil {
		f.first = t
	}
	s.transmit(func() { s.arrive(t, f, p, ack, d.Target.Cookie, calm) })
}

// arrive is called when a packet reaches a target.
func (s *flowSim) arrive(t *flowSimTarget, f *flowSimFlow, p Packet, ack uint32, echo Cookie, calm bool) {
	if t.down {
		return
	}
	if s.now.Before(t.frozenUntil) {
		s.after(t.frozenUntil.Sub(s.now), func() { s.arrive(t, f, p, ack, echo, calm) })
		return
	}
	h := t.held[f]
	if p.Opening {
		if h == nil {
			h = &flowSimHalf{seq: s.rng.Uint32()}
			t.held[f] = h
			s.repeat(simRepeats, 200*time.Millisecond, func() bool { return h.open || t.down }, func() { s.answerOpening(t, f, h) })
		}
		h.echo = echo
		s.answerOpening(t, f, h)
		return
	}
	if calm {
		s.judge(f, t, "packets at other targets")
	}
	if h == nil || ack != h.seq {
		return // The packet acknowledges the answer of another target.
	}
	h.open, f.open, h.echo = true, true, echo
	if p.Data == 0 || p.Data <= h.request {
		return
	}
	h.request = p.Data
	s.after(time.Duration(10+s.rng.IntN(60))*time.Millisecond, func() {
		request := h.request
		s.repeat(simRepeats, 200*time.Millisecond, func() bool { return h.received >= request || t.down }, func() { s.answer(t, f, h, request) })
		s.answer(t, f, h, request)
	})
}

// repeat calls send at most n times, at intervals that double up to 1.6 s, until done.
func (s *flowSim) repeat(n int, interval time.Duration, done func() bool, send func()) {
	s.after(interval, func() {
		if n == 0 || done() {
			return
		}
		send()
		s.repeat(n-1, min(2*interval, 1600*time.Millisecond), done, send)
	})
}

func (s *flowSim) answerOpening(t *flowSimTarget, f *flowSimFlow, h *flowSimHalf) {
	if s.now.Before(t.frozenUntil) {
		s.after(t.frozenUntil.Sub(s.now), func() { s.answerOpening(t, f, h) })
		return
	}
	echo := h.echo
	s.transmit(func() {
		if f.closed {
			return
		}
		f.echo = echo // of the last packet on the flow
		if f.target != nil {
			if f.target == t {
				s.send(f, Packet{Cookie: f.echo}, f.seq)
			}
			return
		}
		f.target, f.seq, f.openedAt = t, h.seq, s.now
		if f.first != nil && f.first.down {
			s.dead = append(s.dead, s.now.Sub(f.started))
		} else {
			s.opened = append(s.opened, s.now.Sub(f.started))
		}
		s.send(f, Packet{Cookie: f.echo}, f.seq)
		s.request(f)
	})
}

func (s *flowSim) answer(t *flowSimTarget, f *flowSimFlow, h *flowSimHalf, request int) {
	if s.now.Before(t.frozenUntil) {
		return
	}
	echo := h.echo
	s.transmit(func() {
		if f.closed {
			return
		}
		f.echo = echo
		if request > f.answered {
			f.answered = request
			s.after(time.Duration(s.rng.IntN(7000))*time.Millisecond, func() { s.request(f) })
		}
		s.send(f, Packet{Cookie: f.echo, Acknowledged: uint32(f.answered)}, f.seq)
		h.received = max(h.received, request)
	})
}

// request sends the next request of a flow, or closes it at the end of its life.
func (s *flowSim) request(f *flowSimFlow) {
	if f.closed {
		return
	}
	if s.now.Sub(f.started) > 30*time.Second {
		f.closed = true
		s.send(f, Packet{Cookie: f.echo, End: true, Acknowledged: uint32(f.answered)}, f.seq)
		return
	}
	f.request++
	request := f.request
	send := func() {
		s.send(f, Packet{Cookie: f.echo, Data: request, Acknowledged: uint32(f.answered)}, f.seq)
	}
	send()
	s.repeat(5, 200*time.Millisecond, func() bool { return f.answered >= request || f.closed }, send)
	s.after(6*time.Second, func() {
		if f.answered < request {
			f.closed = true
		}
	})
}

// open begins a new flow.
func (s *flowSim) open() {
	s.flows++
	n := s.flows
	f := &flowSimFlow{started: s.now, key: FlowKey{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), 5000), Route: counterAddr}}
	for i, at := range copyTimes {
		s.after(at, func() {
			if f.target == nil {
				s.send(f, Packet{Opening: true, Copy: uint32(i)}, 0)
			}
		})
	}
	s.after(callerPatience, func() { f.closed = f.closed || f.target == nil })
}

// judge applies the rule for open flows to a packet that reached a target, or to a reset.
func (s *flowSim) judge(f *flowSimFlow, t *flowSimTarget, what string) {
	own := f.target
	if !f.open || f.closed || own.down || s.now.Sub(own.disturbedAt) <= simStableTime || s.now.Sub(f.started) > simFlowTime || s.now.Sub(f.lastPacket) > simIdleTime {
		f.others = 0
		return
	}
	switch {
	case t == own:
		f.others = 0
		return
	case t == nil:
		f.others = 3
	case f.others == 0:
		f.others, f.othersSince = 1, s.now
	default:
		f.others++
	}
	if f.others >= 3 && (t == nil || s.now.Sub(f.othersSince) >= simReorderTime) {
		s.broken = append(s.broken, fmt.Sprintf("%v: flow %v, open at target %d since %v: %s", s.now.Sub(start), f.key.Caller, own.id, f.openedAt.Sub(start), what))
		f.closed = true
	}
}

// stop stops a VM as planned: the router learns of it after some of its health checks, and
// the process goes on until then.
func (s *flowSim) stop(v *flowSimVM) {
	s.after(time.Duration(500+s.rng.IntN(600))*time.Millisecond, func() { v.inRotation = false })
	s.after(1300*time.Millisecond, func() { v.up, v.waiting = false, nil })
	s.after(time.Duration(1500+s.rng.IntN(1500))*time.Millisecond, func() {
		s.startVM(v)
		s.after(500*time.Millisecond, func() { v.inRotation = true })
	})
}

// crash ends the process of a VM at once.
func (s *flowSim) crash(v *flowSimVM) {
	v.up, v.waiting, v.disturbedAt = false, nil, s.now
	s.after(time.Second, func() { v.inRotation = false })
	s.after(2*time.Second, func() {
		v.disturbedAt = s.now
		s.startVM(v)
		s.after(500*time.Millisecond, func() { v.inRotation = true })
	})
}

// suspend suspends a VM, whose socket goes on to receive.
func (s *flowSim) suspend(v *flowSimVM) {
	length := time.Duration(200+s.rng.IntN(2500)) * time.Millisecond
	v.frozenUntil = s.now.Add(length)
	if length > time.Second {
		s.after(time.Second, func() { v.inRotation = false })
		s.after(length+500*time.Millisecond, func() { v.inRotation = true })
	}
	s.after(length, func() {
		v.disturbedAt = s.now
		if !v.up {
			return
		}
		v.core.Resume(s.now)
		v.core.SetBindings(s.log, s.now)
		v.core.Updated(s.now.Add(updateDelay))
		packets := v.waiting
		v.waiting = nil
		for _, w := range packets {
			w.packet.Waited = s.now.Sub(w.arrived)
			s.decide(v, w.flow, w.packet, w.ack)
		}
	})
}

// disturb begins one random disturbance of a VM or of a target.
func (s *flowSim) disturb() {
	v, t := s.vms[s.rng.IntN(len(s.vms))], s.targets[s.rng.IntN(len(s.targets))]
	idle := !slices.ContainsFunc(s.vms, func(v *flowSimVM) bool { return !v.inRotation || !v.runs(s.now) })
	switch kind := s.rng.IntN(8); {
	case kind < 4 && idle:
		s.stop(v)
	case kind == 4 && idle:
		s.crash(v)
	case kind == 5 && idle:
		s.suspend(v)
	case kind == 6 && s.now.After(t.frozenUntil):
		t.frozenUntil = s.now.Add(time.Duration(100+s.rng.IntN(2500)) * time.Millisecond)
		s.after(t.frozenUntil.Sub(s.now), func() { t.disturbedAt = s.now })
	case kind == 7:
		// The target drains, or takes flows again.
		rec := &s.records[t.id-1]
		if rec.Target.State == fleet.TargetReady {
			rec.Target.State = fleet.TargetDraining
		} else {
			rec.Target.State = fleet.TargetReady
		}
		for _, v := range s.vms {
			v.core.Change([]registry.Record{*rec}, s.now)
		}
	}
}

// TestOpenFlowsReachTheirTarget guards against packets of an open flow that go to a target
// which was only offered the flow, or that are answered with a reset, under loss, planned
// stops, crashes, suspensions and drains.
func TestOpenFlowsReachTheirTarget(t *testing.T) {
	flows, broken := 0, 0
	losses, sprayings := []float64{0.005, 0.01, 0.03}, []float64{0, 0.02, 0.2}
	for seed := range uint64(9) {
		s := newFlowSim(seed, losses[seed%3], sprayings[seed/3])
		s.every(40*time.Millisecond, s.open)
		s.every(1500*time.Millisecond, s.disturb)
		s.run(simLength)
		for _, b := range s.broken[:min(len(s.broken), 3)] {
			t.Errorf("seed %d: %s", seed, b)
		}
		flows, broken = flows+s.flows, broken+len(s.broken)
	}
	t.Logf("%d of %d flows broken", broken, flows)
}

// TestOpeningsAtStoppedTarget guards against callers that wait longer for a flow because
// the target that was offered it first does not run: their second packet opens it.
func TestOpeningsAtStoppedTarget(t *testing.T) {
	s := newFlowSim(1, 0, 0)
	s.targets[0].down = true
	s.every(20*time.Millisecond, s.open)
	s.run(5 * time.Second)
	if len(s.dead) < 5 || len(s.opened)+len(s.dead) < s.flows-10 {
		t.Fatalf("got %d flows, %d opened, %d after an offer to the stopped target", s.flows, len(s.opened), len(s.dead))
	}
	for _, d := range s.dead {
		if want := repeatInterval + 8*simDelay; d > want {
			t.Errorf("flow that the stopped target was offered first: opened after %v, want at most %v", d, want)
		}
	}
	t.Logf("%d flows opened, %d after an offer to the stopped target", len(s.opened), len(s.dead))
}
