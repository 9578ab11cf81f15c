package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// known handles a packet of a flow that has an entry.
func (b *Balancer) known(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	if p.Start && b.isNewRequest(e, p) || b.isStale(e) {
		b.removeFlow(i, admission.Completed, now)
		return b.unknown(p, now, out)
	}
	if p.Start && !e.isElsewhere() && !b.noteInstance(e, p) {
		return b.drop(p, CausePortReused, out)
	}
	e.seen = tick(now)
	switch e.state {
	case stateRunning, stateEnding, stateEnded:
		return b.toTarget(i, p, now, out)
	case stateAway:
		return b.away(i, p, now, out)
	case stateRefused:
		return b.refusedAgain(i, p, now, out)
	case stateQueued:
		return b.queued(i, p, now, out)
	case stateReturned, stateMoved:
		return b.elsewhere(i, p, now, out)
	}
	return b.unknownResult(i, p, now, out)
}

// noteInstance takes the instance of a start packet. It returns false for a
// non-idempotent request of another instance than the entry's: the entry does
// not say where that one may run.
func (b *Balancer) noteInstance(e *flowEntry, p *Packet) bool {
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

// refusedAgain gives a refused flow the same refusal, the same way as before.
func (b *Balancer) refusedAgain(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	if !p.Start {
		return b.drop(p, CauseRefused, out)
	}
	e.until = tick(now) + b.listeners.all[e.listener].retention
	if b.places.all[e.place].owned {
		return b.sendRefusal(e, p, CauseRefused, out)
	}
	return b.refuse(p, fleet.NotRun, CauseRefused, out)
}

// isNewRequest reports whether a start packet begins a new request of a caller
// that uses its port again, where the flow's earlier request is over. Only
// idempotent requests can do so before the earlier one is forgotten: after
// that, a late duplicate of the earlier one would look like a third request.
func (b *Balancer) isNewRequest(e *flowEntry, p *Packet) bool {
	if !b.listeners.all[e.listener].Kind.Idempotent {
		return false
	}
	fresh := p.Instance != 0 && e.instance != 0 && p.Instance != e.instance
	switch e.state {
	case stateEnded:
		return fresh || p.Instance == 0
	case stateAway:
		return fresh
	case stateRunning, stateEnding:
		// A target that drains gets no new request through an old flow.
		t := b.places.all[e.place].target
		return fresh && t != nil && !t.TakesNewFlows()
	}
	return false
}

// toTarget forwards a packet of a flow that is at a target.
func (b *Balancer) toTarget(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	pl := &b.places.all[e.place]
	if pl.target == nil {
		b.lose(i, now)
		return b.unknownResult(i, p, now, out)
	}
	if p.Start && e.flags&flagInferred != 0 {
		return b.drop(p, CauseUnknownResult, out)
	}
	if p.Start && e.state == stateEnded {
		return b.drop(p, CauseEnded, out)
	}
	out = b.forward(p, pl.id, out)
	b.callerEnd(i, p, now)
	return out
}

// lose marks a flow whose target is gone.
func (b *Balancer) lose(i uint32, now time.Time) {
	e := &b.flows.entries[i]
	b.freeSlot(e, admission.Cancelled, now)
	b.step(e, eventLose)
	e.until = tick(now) + b.listeners.all[e.listener].retention
}

// unknownResult handles a packet of a request that a target that is gone may
// have run. An idempotent one starts again; another one never does.
func (b *Balancer) unknownResult(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	if !p.Start {
		return b.refuse(p, fleet.Unknown, CauseTargetGone, out)
	}
	if !b.listeners.all[e.listener].Kind.Idempotent {
		return b.drop(p, CauseUnknownResult, out)
	}
	p.unsure = true
	return b.unknown(p, now, out)
}

func (b *Balancer) callerEnd(i uint32, p *Packet, now time.Time) {
	e := &b.flows.entries[i]
	switch {
	case p.End == Reset:
		b.finish(i, admission.Cancelled, now)
	case p.End == Fin && e.state != stateEnded:
		e.flags |= flagFinCaller
		b.endSide(i, now)
	}
}

// endSide ends a flow after a FIN from both sides; with Direct answers, the
// target's FIN is not seen here and its RequestDone ends the flow.
func (b *Balancer) endSide(i uint32, now time.Time) {
	e := &b.flows.entries[i]
	b.step(e, eventEnd)
	if e.flags&flagFinCaller != 0 && e.flags&flagFinTarget != 0 {
		b.finish(i, admission.Completed, now)
	}
}

// finish frees the slot of a flow that is over and keeps the entry, so that a
// late duplicate of the start packet does not run again and the last packets
// of the connection find their way.
func (b *Balancer) finish(i uint32, result admission.Result, now time.Time) {
	e := &b.flows.entries[i]
	if e.state != stateRunning && e.state != stateEnding {
		return
	}
	if result == admission.Completed && b.cfg.Retries != nil {
		b.cfg.Retries.Earn(now)
	}
	b.freeSlot(e, result, now)
	b.step(e, eventFinish)
	b.keepEnded(e, now)
}

// keepEnded sets how long an ended flow is remembered.
func (b *Balancer) keepEnded(e *flowEntry, now time.Time) {
	t := tick(now)
	if passed(t, e.until) || b.listeners.all[e.listener].Kind.Idempotent {
		e.until = t
	}
	e.until += ticks(retentionSlack)
}

// queued handles a packet of a flow that waits for a slot.
func (b *Balancer) queued(i uint32, p *Packet, now time.Time, out []Action) []Action {
	if p.End != Reset {
		return b.drop(p, CauseQueued, out)
	}
	e := &b.flows.entries[i]
	if lim := b.places.all[e.place].limiter; lim != nil {
		lim.Cancel(p.Flow, now)
	}
	b.held.take(i)
	b.step(e, eventCancel)
	b.keepEnded(e, now)
	return b.drop(p, CauseEnded, out)
}

// away handles a packet of a flow that is at another place.
func (b *Balancer) away(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	if b.places.all[e.place].gone() {
		return b.unknownResult(i, p, now, out)
	}
	if !p.Start {
		// The caller goes on only after an answer, so the offer was accepted.
		e.flags &^= flagTentative
	}
	if p.End == Fin || p.End == Reset {
		e.flags |= flagFinCaller
		e.until = e.seen + b.listeners.all[e.listener].retention
	}
	return b.toAway(i, p, now, out)
}

// elsewhere handles a packet of a flow that this VM returned, or that moved to
// another VM.
func (b *Balancer) elsewhere(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	l := &b.listeners.all[e.listener]
	r := b.cfg.Strategy.Route(b.placement, l.Service, e.hash)
	if e.state == stateMoved {
		to := b.vms[e.place]
		newer := uint32(b.view.Epoch) > e.epoch
		if b.view.Member(to) == nil {
			// The entry has the epoch of another zone, which can't be compared.
			newer = l.Kind.Idempotent
		}
		decides := r.Decider == b.self && newer
		if !decides && b.isPeer(to) && to != p.Header.Origin {
			return b.pass(p, to, PassHeader{Mode: ToFirst, Target: p.Header.Target}, out)
		}
	}
	if r.Decider != b.self && r.Decider != "" {
		return b.pass(p, r.Decider, PassHeader{Mode: ToFirst, Target: r.First.Key}, out)
	}
	// The entry stays until a decision replaces it.
	return b.unknown(p, now, out)
}

// isStale reports whether another VM owned the place that binds the entry
// since the entry was made, and may have decided otherwise.
func (b *Balancer) isStale(e *flowEntry) bool {
	var pl *place
	switch e.state {
	case stateAway:
		r := b.cfg.Strategy.Route(b.placement, b.listeners.all[e.listener].Service, e.hash)
		at, ok := b.places.at[r.First.Key]
		if !ok {
			return false
		}
		pl = &b.places.all[at]
	case stateReturned:
		pl = &b.places.all[e.place]
	default:
		return false
	}
	return pl.owned && e.epoch < uint32(pl.takenEpoch)
}

// isElsewhere reports whether the flow was returned or moved by this VM.
func (e *flowEntry) isElsewhere() bool { return e.state == stateReturned || e.state == stateMoved }

// isPeer reports whether packets can be passed to the VM.
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

// adoptEntry makes a flow run at its place, where a predecessor started it.
func (b *Balancer) adoptEntry(i uint32, ev chart.Event, now time.Time) {
	e := &b.flows.entries[i]
	b.step(e, ev)
	e.flags = e.flags&^flagTentative | flagSlot
	pl := &b.places.all[e.place]
	pl.connections++
	b.stats.Adopted++
	if pl.limiter == nil {
		return
	}
	l := &b.listeners.all[e.listener]
	deadline := now.Add(time.Duration(int32(e.until-tick(now))) * time.Millisecond)
	pl.limiter.Adopt(Request{Flow: b.keyOf(e), Kind: l.Kind.Name, Arrived: now, Deadline: deadline}, now)
}

// nextQueued starts queued requests of one target.
func (b *Balancer) nextQueued(at uint16, now time.Time, out []Action) []Action {
	pl := &b.places.all[at]
	if pl.limiter == nil || pl.target == nil || !b.ramped(pl, now) {
		return out
	}
	started, expired := pl.limiter.Next(now)
	for _, r := range started {
		out = b.startQueued(r, pl, now, out)
	}
	for _, r := range expired {
		out = b.refuseQueued(r, CauseDeadline, now, out)
	}
	return out
}

func (b *Balancer) startQueued(r Request, pl *place, now time.Time, out []Action) []Action {
	i := b.findKey(r.Flow)
	if i == noEntry || b.flows.entries[i].state != stateQueued {
		pl.limiter.Finish(r.Flow, admission.Cancelled, now)
		return out
	}
	e := &b.flows.entries[i]
	p := b.held.take(i)
	p.Flow, p.hash = r.Flow, e.hash
	if !b.listeners.all[e.listener].Kind.Idempotent && !now.Before(b.leaseUntil) {
		// A successor may decide about the flow, which ran nowhere yet.
		pl.limiter.Finish(r.Flow, admission.Cancelled, now)
		b.removeFlow(i, admission.Cancelled, now)
		return b.drop(&p, CauseUnsealed, out)
	}
	return b.start(i, &p, pl.target, now, out)
}

// sweep looks through a part of the table for flows whose time is over.
func (b *Balancer) sweep(now time.Time, out []Action) []Action {
	n := len(b.flows.entries)/sweepSteps + 1
	for ; n > 0 && len(b.flows.entries) > 0; n-- {
		if b.sweepAt >= len(b.flows.entries) {
			b.sweepAt = 0
			b.sweepReplicas(now)
		}
		if b.flows.entries[b.sweepAt].live() {
			out = b.sweepFlow(uint32(b.sweepAt), now, out)
		}
		b.sweepAt++
	}
	return out
}

func (b *Balancer) sweepFlow(i uint32, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	l := &b.listeners.all[e.listener]
	t := tick(now)
	if b.moveTransferred(e, now) {
		return out
	}
	switch e.state {
	case stateRunning, stateEnding:
		if passed(t, e.seen+l.idle) {
			b.finish(i, admission.Expired, now)
		} else if passed(t, e.until) && e.flags&flagSlot != 0 {
			out = b.expire(i, now, out)
		}
	case stateEnded:
		if passed(t, e.until) && passed(t, e.seen+ticks(retentionSlack)) {
			b.removeFlow(i, admission.Completed, now)
		}
	case stateAway:
		over := e.flags&flagFinCaller != 0 && passed(t, e.until)
		if over || passed(t, e.seen+max(l.idle, l.retention)) {
			b.removeFlow(i, admission.Completed, now)
		}
	case stateQueued:
	default:
		if passed(t, e.until) {
			b.removeFlow(i, admission.Expired, now)
		}
	}
	return out
}

// expire cancels a request whose deadline passed before it was answered.
func (b *Balancer) expire(i uint32, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	pl := &b.places.all[e.place]
	b.finish(i, admission.Expired, now)
	if pl.target == nil {
		return out
	}
	key := b.keyOf(e)
	b.record(timeline.KindFlow, "DeadlinePassed", timeline.Event{Flow: key.String(), Target: pl.id.String()}, now)
	return append(out, Action{Op: Cancel, Flow: key, Target: pl.id, Outcome: fleet.DeadlinePassed, Cause: CauseDeadline})
}
