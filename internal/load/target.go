package load

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// States of a request at a target.
const (
	runQueued runState = iota + 1
	runServing
	runDone
	runStopped
)

type (
	runState uint8

	// target is a stand-in for a back end: a fixed number of slots, a queue in
	// order of arrival up to the connection limit, and an answer to the entry
	// VM from which the flow's last packet came.
	target struct {
		world   *world
		zone    *zone
		service *ServiceSpec
		public  fleet.Target
		alive   bool
		cold    time.Duration // the end of the cold start
		busy    int
		queue   []*run
		runs    map[fleet.FlowKey]*run

		upSince  time.Duration
		upTime   time.Duration // within the window of results
		busyTime time.Duration // the same
	}

	run struct {
		attempt *attempt
		owner   *vm
		state   runState
		started time.Duration
		ended   time.Duration
		sends   int
	}
)

// receive takes a packet that an entry VM forwarded.
func (t *target) receive(flow fleet.FlowKey, from *vm, p payload, cancel bool) {
	if !t.alive {
		t.world.result.lostPackets++
		return
	}
	r := t.runs[flow]
	switch {
	case cancel || balancer.End(p[1]) == balancer.Reset:
		t.cancel(flow, r)
	case r == nil && p[0] == 0:
		t.world.result.strayPackets++
	case r != nil:
		r.owner = from
		if r.state == runDone {
			t.answer(flow, r, balancer.Done)
		}
	default:
		t.accept(flow, from)
	}
}

func (t *target) accept(flow fleet.FlowKey, from *vm) {
	a := t.world.byFlow[flow]
	if a == nil {
		t.world.result.strayPackets++
		return
	}
	r := &run{attempt: a, owner: from, state: runQueued}
	a.run = r
	t.world.result.reached(a)
	if t.busy+len(t.queue) >= t.service.ConnectionLimit {
		t.answer(flow, r, balancer.Shed)
		return
	}
	t.runs[flow] = r
	if t.busy < t.service.Slots {
		t.serve(r)
		return
	}
	t.queue = append(t.queue, r)
}

func (t *target) serve(r *run) {
	t.busy++
	r.state = runServing
	r.started = t.world.now
	t.world.result.ran(r.attempt)
	d := r.attempt.request.service
	if t.world.now < t.cold {
		d *= coldFactor
	}
	t.world.after(d, func() {
		if r.state != runServing {
			return
		}
		r.state = runDone
		r.ended = t.world.now
		t.release(r)
		t.answer(r.attempt.flow, r, balancer.Done)
		t.world.after(time.Second, func() {
			if t.runs[r.attempt.flow] == r {
				delete(t.runs, r.attempt.flow)
			}
		})
	})
}

// release frees the slot of r and serves the next request in the queue.
func (t *target) release(r *run) {
	t.busy--
	used := t.world.result.overlap(r.started, t.world.now)
	t.busyTime += used
	r.attempt.request.used = used
	for len(t.queue) > 0 && t.busy < t.service.Slots {
		next := t.queue[0]
		t.queue[0] = nil
		t.queue = t.queue[1:]
		if next.state != runQueued {
			continue
		}
		if t.world.now >= next.attempt.request.deadline {
			next.state = runStopped
			continue
		}
		t.serve(next)
	}
}

func (t *target) cancel(flow fleet.FlowKey, r *run) {
	if r == nil {
		return
	}
	state := r.state
	delete(t.runs, flow)
	r.state = runStopped
	if state == runServing {
		t.release(r)
	}
}

// answer sends the answer and then the end of a request, or that it was shed,
// to the entry VM of its last packet, and again while that VM is lost.
func (t *target) answer(flow fleet.FlowKey, r *run, end balancer.End) {
	w := t.world
	d, ok := w.path(t.zone, r.owner.zone)
	w.after(d, func() {
		p := balancer.Packet{Flow: flow, Source: balancer.FromTarget, Target: t.public.ID, Payload: ackPayload}
		if end == balancer.Shed {
			// A target gives the start packet back with its refusal.
			p.Payload = startPayload
		}
		if ok && (end == balancer.Shed || w.deliver(r.owner, p)) {
			p.End = end
			ok = w.deliver(r.owner, p)
		} else {
			ok = false
		}
		r.sends++
		if !ok && r.sends < resends && t.alive {
			w.after(resendTime, func() { t.answer(flow, r, end) })
		}
	})
}

// lose stops the target; its requests are broken.
func (t *target) lose() {
	t.alive = false
	t.upTime += t.world.result.overlap(t.upSince, t.world.now)
	for _, r := range t.runs {
		if r.state == runServing {
			t.busyTime += t.world.result.overlap(r.started, t.world.now)
		}
		if r.state != runDone {
			r.state = runStopped
			r.attempt.broken = true
		}
	}
	clear(t.runs)
	t.queue = nil
	t.busy = 0
}

// restart begins a new life of the target, cold.
func (t *target) restart() {
	t.alive = true
	t.upSince = t.world.now
	t.public.ID.Incarnation++
	t.public.State = fleet.TargetCold
	t.world.byID[t.public.ID] = t
	t.cold = t.world.now + detectTime + coldTime
	t.world.after(detectTime+coldTime, func() {
		t.public.State = fleet.TargetReady
		t.world.detect()
	})
}
