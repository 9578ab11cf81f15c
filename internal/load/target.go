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

	// target simulates a back end with a fixed number of slots and a FIFO queue.
	// It refuses a request if the numbers of requests in slots and in the queue
	// add up to the connection limit. It sends the answer of a flow to the entry
	// VM that forwarded the flow's last packet.
	target struct {
		sim         *simulation
		zone        *zone
		service     *ServiceSpec
		fleetTarget fleet.Target
		alive       bool
		coldUntil   time.Duration // end of the cold start
		busySlots   int
		queue       []*run
		runs        map[fleet.FlowKey]*run

		upSince  time.Duration
		upTime   time.Duration // within the measurement window
		busyTime time.Duration // within the measurement window
	}

	run struct {
		attempt      *attempt
		replyTo      *vm
		state        runState
		started      time.Duration
		ended        time.Duration
		sendAttempts int
	}
)

// receive handles a packet that an entry VM forwarded.
func (t *target) receive(flow fleet.FlowKey, from *vm, p payload, cancel bool) {
	if !t.alive {
		t.sim.results.lostPackets++
		return
	}
	r := t.runs[flow]
	switch {
	case cancel || balancer.End(p[1]) == balancer.Reset:
		t.cancel(flow, r)
	case r == nil && p[0] == 0:
		t.sim.results.strayPackets++
	case r != nil:
		r.replyTo = from
		if r.state == runDone {
			t.sendAnswer(flow, r, balancer.Done)
		}
	default:
		t.accept(flow, from)
	}
}

func (t *target) accept(flow fleet.FlowKey, from *vm) {
	a := t.sim.attemptByFlow[flow]
	if a == nil {
		t.sim.results.strayPackets++
		return
	}
	r := &run{attempt: a, replyTo: from, state: runQueued}
	a.run = r
	t.sim.results.recordReached(a)
	if t.busySlots+len(t.queue) >= t.service.ConnectionLimit {
		t.sendAnswer(flow, r, balancer.Shed)
		return
	}
	t.runs[flow] = r
	if t.busySlots < t.service.Slots {
		t.serve(r)
		return
	}
	t.queue = append(t.queue, r)
}

func (t *target) serve(r *run) {
	t.busySlots++
	r.state = runServing
	r.started = t.sim.now
	t.sim.results.recordRun(r.attempt)
	d := r.attempt.request.serviceTime
	if t.sim.now < t.coldUntil {
		d *= coldFactor
	}
	t.sim.after(d, func() {
		if r.state != runServing {
			return
		}
		r.state = runDone
		r.ended = t.sim.now
		t.releaseSlot(r)
		t.sendAnswer(r.attempt.flow, r, balancer.Done)
		t.sim.after(time.Second, func() {
			if t.runs[r.attempt.flow] == r {
				delete(t.runs, r.attempt.flow)
			}
		})
	})
}

// releaseSlot frees the slot of r and serves the next request in the queue.
func (t *target) releaseSlot(r *run) {
	t.busySlots--
	used := t.sim.results.overlap(r.started, t.sim.now)
	t.busyTime += used
	r.attempt.request.slotTime = used
	for len(t.queue) > 0 && t.busySlots < t.service.Slots {
		next := t.queue[0]
		t.queue[0] = nil
		t.queue = t.queue[1:]
		if next.state != runQueued {
			continue
		}
		if t.sim.now >= next.attempt.request.deadline {
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
		t.releaseSlot(r)
	}
}

// sendAnswer sends the answer and the end of a flow, or a refusal if end is
// Shed, to the entry VM that forwarded the flow's last packet. If that VM is
// lost or cut off, the target tries again while it is alive, up to
// maxSendAttempts attempts in total.
func (t *target) sendAnswer(flow fleet.FlowKey, r *run, end balancer.End) {
	sim := t.sim
	d, ok := sim.pathLatency(t.zone, r.replyTo.zone)
	sim.after(d, func() {
		p := balancer.Packet{Flow: flow, Source: balancer.FromTarget, Target: t.fleetTarget.ID, Payload: ackPayload}
		if end == balancer.Shed {
			// A refusal from a target carries the start packet.
			p.Payload = startPayload
		}
		if ok && (end == balancer.Shed || sim.deliver(r.replyTo, p)) {
			p.End = end
			ok = sim.deliver(r.replyTo, p)
		} else {
			ok = false
		}
		r.sendAttempts++
		if !ok && r.sendAttempts < maxSendAttempts && t.alive {
			sim.after(resendInterval, func() { t.sendAnswer(flow, r, end) })
		}
	})
}

// fail stops the target and marks the attempts of its unfinished requests as
// broken.
func (t *target) fail() {
	t.alive = false
	t.upTime += t.sim.results.overlap(t.upSince, t.sim.now)
	for _, r := range t.runs {
		if r.state == runServing {
			t.busyTime += t.sim.results.overlap(r.started, t.sim.now)
		}
		if r.state != runDone {
			r.state = runStopped
			r.attempt.broken = true
		}
	}
	clear(t.runs)
	t.queue = nil
	t.busySlots = 0
}

// restart starts a lost target with a new incarnation and a cold start.
func (t *target) restart() {
	t.alive = true
	t.upSince = t.sim.now
	t.fleetTarget.ID.Incarnation++
	t.fleetTarget.State = fleet.TargetCold
	t.sim.targetByID[t.fleetTarget.ID] = t
	t.coldUntil = t.sim.now + detectionDelay + coldDuration
	t.sim.after(detectionDelay+coldDuration, func() {
		t.fleetTarget.State = fleet.TargetReady
		t.sim.updateViews()
	})
}
