package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// handleKnown handles a packet of a flow that has an entry.
func (b *Balancer) handleKnown(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	if p.Start && b.isNewRequest(e, p) {
		return b.handleReusedFlow(i, p, now, out)
	}
	if b.isStale(e) {
		b.removeFlow(i, admission.Completed, now)
		return b.routeUnknown(p, now, out)
	}
	if p.Start && !e.isReturnedOrMoved() && !b.updateInstance(e, p) {
		return b.drop(p, CausePortReused, out)
	}
	e.lastSeen = tick(now)
	switch e.state {
	case stateRunning, stateEnding, stateEnded:
		return b.forwardToTarget(i, p, now, out)
	case stateAway:
		return b.handleAway(i, p, now, out)
	case stateRefused:
		return b.repeatRefusal(i, p, now, out)
	case stateQueued:
		return b.handleQueued(i, p, now, out)
	case stateReturned, stateMoved:
		return b.handleReturnedOrMoved(i, p, now, out)
	}
	return b.handleUnknownResult(i, p, now, out)
}

// handleReusedFlow handles a start packet with another instance than the entry. It
// is a new request, or a late copy of an earlier one: instances have no order. The
// request may therefore have run, so that the new decision never reports NotRun.
// The entry stays until that decision replaces it.
func (b *Balancer) handleReusedFlow(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	b.freeSlot(e, admission.Completed, now)
	if e.state != stateAway {
		b.transition(e, eventLose)
		e.expires = tick(now) + b.listeners.all[e.listener].retention
	}
	p.mayHaveRun = true
	return b.routeUnknown(p, now, out)
}

// updateInstance stores the instance of a start packet in the entry. It
// returns false if the instance differs from that of the entry and the request
// is non-idempotent, because the entry does not show where that request may
// have run. The instance of a refused flow is not compared.
func (b *Balancer) updateInstance(e *flowEntry, p *Packet) bool {
	switch {
	case p.Instance == e.instance || e.state == stateRefused:
		return true
	case !b.listeners.all[e.listener].Kind.Idempotent:
		return false
	case e.instance != 0:
		e.flags &^= flagFinCaller | flagFinTarget
	}
	e.instance = p.Instance
	return true
}

// repeatRefusal handles a packet of a refused flow. It repeats the refusal for
// a start packet and drops other packets.
func (b *Balancer) repeatRefusal(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	if !p.Start {
		return b.drop(p, CauseRefused, out)
	}
	e.expires = tick(now) + b.listeners.all[e.listener].retention
	if b.dests.all[e.dest].owned {
		return b.sendRefusal(e, p, CauseRefused, out)
	}
	return b.refuse(p, fleet.NotRun, CauseRefused, out)
}

// isNewRequest reports whether a start packet begins a new request that needs a
// new entry, because the caller reused the port of an earlier request. It is
// always false for a non-idempotent request, whose entry stays until it
// expires: if the entry were replaced, a late duplicate of the earlier request
// would look like another new request.
func (b *Balancer) isNewRequest(e *flowEntry, p *Packet) bool {
	if !b.listeners.all[e.listener].Kind.Idempotent {
		return false
	}
	newInstance := p.Instance != 0 && e.instance != 0 && p.Instance != e.instance
	switch e.state {
	case stateEnded:
		return newInstance || p.Instance == 0
	case stateAway:
		return newInstance
	case stateRunning, stateEnding:
		// A draining target must not get a new request on an existing flow.
		t := b.dests.all[e.dest].target
		return newInstance && t != nil && !t.TakesNewFlows()
	}
	return false
}

// forwardToTarget forwards a packet of a flow that is at a target of this VM.
func (b *Balancer) forwardToTarget(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	d := &b.dests.all[e.dest]
	if d.target == nil {
		b.markTargetGone(i, now)
		return b.handleUnknownResult(i, p, now, out)
	}
	if p.Start && e.flags&flagInferred != 0 {
		return b.drop(p, CauseUnknownResult, out)
	}
	if p.Start && e.state == stateEnded {
		return b.drop(p, CauseEnded, out)
	}
	out = b.forward(p, d.id, out)
	b.handleCallerEnd(i, p, now)
	return out
}

// markTargetGone marks a flow whose target is no longer in the view.
func (b *Balancer) markTargetGone(i uint32, now time.Time) {
	e := &b.flows.entries[i]
	b.freeSlot(e, admission.Cancelled, now)
	b.transition(e, eventLose)
	e.expires = tick(now) + b.listeners.all[e.listener].retention
}

// handleUnknownResult handles a packet of a request that may have run at a
// destination that is no longer in the view. It routes the start packet of an
// idempotent request as if the flow were unknown, and drops the start packet of
// a non-idempotent request, which must not run twice. It refuses other packets
// with OutcomeUnknown.
func (b *Balancer) handleUnknownResult(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	if !p.Start {
		return b.refuse(p, fleet.OutcomeUnknown, CauseTargetGone, out)
	}
	if !b.listeners.all[e.listener].Kind.Idempotent {
		return b.drop(p, CauseUnknownResult, out)
	}
	p.mayHaveRun = true
	return b.routeUnknown(p, now, out)
}

func (b *Balancer) handleCallerEnd(i uint32, p *Packet, now time.Time) {
	e := &b.flows.entries[i]
	switch {
	case p.End == Reset:
		b.finish(i, admission.Cancelled, now)
	case p.End == Fin && e.state != stateEnded:
		e.flags |= flagFinCaller
		b.halfClose(i, now)
	}
}

// halfClose records that one side closed the flow, and finishes the flow once
// both sides sent a FIN. If the target answers the caller directly, its FIN
// does not reach this VM, and its option RequestDone finishes the flow.
func (b *Balancer) halfClose(i uint32, now time.Time) {
	e := &b.flows.entries[i]
	b.transition(e, eventEnd)
	if e.flags&flagFinCaller != 0 && e.flags&flagFinTarget != 0 {
		b.finish(i, admission.Completed, now)
	}
}

// finish releases the slot of a flow that is over. The entry is kept, so that
// a late duplicate of the start packet does not run again and the last
// packets of the connection still reach the target.
func (b *Balancer) finish(i uint32, result admission.Result, now time.Time) {
	e := &b.flows.entries[i]
	if e.state != stateRunning && e.state != stateEnding {
		return
	}
	if result == admission.Completed && b.cfg.Retries != nil {
		b.cfg.Retries.RecordSuccess(now)
	}
	b.freeSlot(e, result, now)
	b.transition(e, eventFinish)
	b.keepEnded(e, now)
}

// keepEnded sets the time until which an ended flow is remembered.
func (b *Balancer) keepEnded(e *flowEntry, now time.Time) {
	t := tick(now)
	if passed(t, e.expires) || b.listeners.all[e.listener].Kind.Idempotent {
		e.expires = t
	}
	e.expires += ticks(retentionSlack)
}

// handleQueued handles a packet of a flow that is queued for a slot.
func (b *Balancer) handleQueued(i uint32, p *Packet, now time.Time, out []Action) []Action {
	if p.End != Reset {
		return b.drop(p, CauseQueued, out)
	}
	e := &b.flows.entries[i]
	if lim := b.dests.all[e.dest].limiter; lim != nil {
		lim.Cancel(p.Flow, now)
	}
	b.held.take(i)
	b.transition(e, eventCancel)
	b.keepEnded(e, now)
	return b.drop(p, CauseEnded, out)
}

// handleAway handles a packet of a flow that is at a destination of another
// VM or zone.
func (b *Balancer) handleAway(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	if b.dests.all[e.dest].removed() {
		return b.handleUnknownResult(i, p, now, out)
	}
	if !p.Start {
		// The caller sends another packet only after an answer, so the offer was
		// accepted.
		e.flags &^= flagTentative
	}
	if p.End == Fin || p.End == Reset {
		e.flags |= flagFinCaller
		e.expires = e.lastSeen + b.listeners.all[e.listener].retention
	}
	return b.passAway(i, p, now, out)
}

// handleReturnedOrMoved handles a packet of a flow that this VM returned or
// that moved to another VM.
func (b *Balancer) handleReturnedOrMoved(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	l := &b.listeners.all[e.listener]
	r := b.cfg.Strategy.Route(b.placement, l.Service, e.hash)
	if e.state == stateMoved {
		to := b.vms[e.dest]
		laterEpoch := uint32(b.view.Epoch) > e.epoch
		if b.view.Member(to) == nil {
			// If the VM is in another zone, the epoch of the entry is an epoch
			// of that zone and cannot be compared with an epoch of this zone.
			// This VM then prefers a new decision only for an idempotent flow,
			// since a new decision may run the flow twice.
			laterEpoch = l.Kind.Idempotent
		}
		decides := r.Decider == b.self && laterEpoch
		if !decides && b.isPeer(to) && to != p.Header.Origin {
			return b.pass(p, to, PassHeader{Mode: ToFirst, Target: p.Header.Target}, out)
		}
	}
	if r.Decider != b.self && r.Decider != "" {
		return b.pass(p, r.Decider, PassHeader{Mode: ToFirst, Target: r.First.Key}, out)
	}
	// The entry stays until a new decision replaces it.
	return b.routeUnknown(p, now, out)
}

// isStale reports whether this VM took over a destination after the entry was
// made and still owns it, so that another VM may have decided about the flow in
// between. For an entry in state Away, the destination is the first candidate of
// the flow. For an entry in state Returned, it is the destination of the entry.
// Entries in other states are never stale.
func (b *Balancer) isStale(e *flowEntry) bool {
	var d *destination
	switch e.state {
	case stateAway:
		r := b.cfg.Strategy.Route(b.placement, b.listeners.all[e.listener].Service, e.hash)
		at, ok := b.dests.byKey[r.First.Key]
		if !ok {
			return false
		}
		d = &b.dests.all[at]
	case stateReturned:
		d = &b.dests.all[e.dest]
	default:
		return false
	}
	return d.owned && e.epoch < uint32(d.takenEpoch)
}

// isReturnedOrMoved reports whether the flow was returned by this VM or moved
// to another VM.
func (e *flowEntry) isReturnedOrMoved() bool {
	return e.state == stateReturned || e.state == stateMoved
}

// isPeer reports whether packets can be passed to the VM: another member of
// this zone, or a member of another zone.
func (b *Balancer) isPeer(id fleet.VMID) bool {
	if id == b.self {
		return false
	}
	if b.view.Member(id) != nil {
		return true
	}
	for i := range b.view.Zones {
		for j := range b.view.Zones[i].Members {
			if b.view.Zones[i].Members[j].ID == id {
				return true
			}
		}
	}
	return false
}

// adoptEntry marks a flow as running at its destination, where a previous
// owner started it, and counts it against the target's slots.
func (b *Balancer) adoptEntry(i uint32, ev chart.Event, now time.Time) {
	e := &b.flows.entries[i]
	b.transition(e, ev)
	e.flags = e.flags&^flagTentative | flagSlot
	d := &b.dests.all[e.dest]
	d.connections++
	b.stats.Adopted++
	if d.limiter == nil {
		return
	}
	l := &b.listeners.all[e.listener]
	deadline := now.Add(time.Duration(int32(e.expires-tick(now))) * time.Millisecond)
	d.limiter.Adopt(Request{Flow: b.keyOf(e), Kind: l.Kind.Name, Arrived: now, Deadline: deadline}, now)
}

// admitQueued starts queued requests of one target and refuses expired ones.
func (b *Balancer) admitQueued(at uint16, now time.Time, out []Action) []Action {
	d := &b.dests.all[at]
	if d.limiter == nil || d.target == nil || !b.slowStartAllows(d, now) {
		return out
	}
	started, expired := d.limiter.Next(now)
	for _, r := range started {
		out = b.startQueued(r, d, now, out)
	}
	for _, r := range expired {
		out = b.refuseQueued(r, CauseDeadline, now, out)
	}
	return out
}

func (b *Balancer) startQueued(r Request, d *destination, now time.Time, out []Action) []Action {
	i := b.findKey(r.Flow)
	if i == noEntry || b.flows.entries[i].state != stateQueued {
		d.limiter.Finish(r.Flow, admission.Cancelled, now)
		return out
	}
	e := &b.flows.entries[i]
	p := b.held.take(i)
	p.Flow, p.hash = r.Flow, e.hash
	if !b.listeners.all[e.listener].Kind.Idempotent && !now.Before(b.leaseUntil) {
		// The request has not run, and the next owner may already decide about
		// it.
		d.limiter.Finish(r.Flow, admission.Cancelled, now)
		b.removeFlow(i, admission.Cancelled, now)
		return b.drop(&p, CauseUnsealed, out)
	}
	return b.start(i, &p, d.target, now, out)
}

// sweep checks the next part of the flow table for expired flows.
func (b *Balancer) sweep(now time.Time, out []Action) []Action {
	pending := b.transfersPending()
	n := len(b.flows.entries)/sweepSteps + 1
	for ; n > 0 && len(b.flows.entries) > 0; n-- {
		if b.sweepIndex >= len(b.flows.entries) {
			b.sweepIndex = 0
			b.sweepReplicatedExceptions(now)
		}
		if b.flows.entries[b.sweepIndex].live() {
			out = b.sweepFlow(uint32(b.sweepIndex), !pending, now, out)
		}
		b.sweepIndex++
	}
	return out
}

// sweepFlow removes or finishes a flow that has expired. With markMoved, it marks a
// flow whose new owner has its record.
func (b *Balancer) sweepFlow(i uint32, markMoved bool, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	l := &b.listeners.all[e.listener]
	t := tick(now)
	if markMoved && b.markMovedAfterHandover(e, now) {
		return out
	}
	switch e.state {
	case stateRunning, stateEnding:
		if passed(t, e.lastSeen+l.idle) {
			b.finish(i, admission.Expired, now)
		} else if passed(t, e.expires) && e.flags&flagSlot != 0 {
			out = b.expire(i, now, out)
		}
	case stateEnded:
		if passed(t, e.expires) && passed(t, e.lastSeen+ticks(retentionSlack)) {
			b.removeFlow(i, admission.Completed, now)
		}
	case stateAway:
		ended := e.flags&flagFinCaller != 0 && passed(t, e.expires)
		if ended || passed(t, e.lastSeen+max(l.idle, l.retention)) {
			b.removeFlow(i, admission.Completed, now)
		}
	case stateQueued:
	default:
		if passed(t, e.expires) {
			b.removeFlow(i, admission.Expired, now)
		}
	}
	return out
}

// expire cancels a request that had not finished when its deadline passed.
func (b *Balancer) expire(i uint32, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	d := &b.dests.all[e.dest]
	b.finish(i, admission.Expired, now)
	if d.target == nil {
		return out
	}
	key := b.keyOf(e)
	b.record(timeline.KindFlow, "DeadlinePassed", timeline.Event{Flow: key.String(), Target: d.id.String()}, now)
	return append(out, Action{Op: Cancel, Flow: key, Target: d.id, Outcome: fleet.DeadlinePassed, Cause: CauseDeadline})
}
