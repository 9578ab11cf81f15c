package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// minRetryDelay and maxRetryDelay limit the delay before a shed request
	// starts again. The delay is uniformly random, so that requests that a
	// target shed at the same time are retried at different times.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 50 * time.Millisecond
)

// handleAnswer handles an answer that a target sent or a peer passed on. If this
// VM does not hold the flow, it calls passUnmatchedAnswer. It drops an answer of
// a target other than the destination of the flow. An answer with End Done
// finishes the request, and an answer with End Shed makes this VM retry or
// refuse the request; neither is sent to the caller. Any other answer is sent to
// the caller.
func (b *Balancer) handleAnswer(p *Packet, now time.Time, out []Action) []Action {
	key := p.Target.Key()
	if p.Source == FromPeer {
		key = p.Header.Target
		p.End = End(p.Header.Step)
	}
	i := b.adoptAnswered(p, key, now)
	if i == noEntry {
		return b.passUnmatchedAnswer(p, key, b.placement.Owner(key), out)
	}
	e := &b.flows.entries[i]
	switch e.state {
	case stateRunning, stateEnding, stateEnded:
	case stateMoved:
		return b.passUnmatchedAnswer(p, key, b.vms[e.dest], out)
	default:
		return b.passUnmatchedAnswer(p, key, b.placement.Owner(key), out)
	}
	if b.dests.all[e.dest].key != key {
		return b.drop(p, CauseForeignAnswer, out)
	}
	e.lastSeen = tick(now)
	if p.End == Shed {
		return b.handleShed(i, p, now, out)
	}
	if p.End == Done {
		b.finish(i, admission.Completed, now)
		return out
	}
	b.stats.Replies++
	out = append(out, Action{Op: Reply, Flow: p.Flow, Target: b.dests.all[e.dest].id, Payload: p.Payload})
	b.handleTargetEnd(i, p, now)
	return out
}

func (b *Balancer) handleTargetEnd(i uint32, p *Packet, now time.Time) {
	e := &b.flows.entries[i]
	switch {
	case e.state == stateEnded:
	case p.End == Reset:
		b.finish(i, admission.Completed, now)
	case p.End == Fin:
		e.flags |= flagFinTarget
		b.halfClose(i, now)
	}
}

// adoptAnswered returns the index of the entry of an answer's flow, or noEntry.
// If this VM owns the target, and records of the target were lost less than the
// idle timeout ago, it first adopts the flow. It does not adopt the flow if the
// answer ends the flow, or if the flow has an entry, except in two cases: the
// entry is in state Away with this target as its destination, or the flow moved
// to a VM that is no longer a member.
//
// Adopting is necessary because the caller may send nothing during a download
// until data arrives, so this VM may receive no other packet of the flow. The
// answer proves that the flow is at the target, so no request can run twice.
func (b *Balancer) adoptAnswered(p *Packet, key fleet.TargetKey, now time.Time) uint32 {
	i := b.find(p)
	at, known := b.dests.byKey[key]
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if !known || l == nil || p.End != NoEnd {
		return i
	}
	d := &b.dests.all[at]
	if !d.owned || d.id.Service != l.Service || !d.lostWithin(tick(now), ticks(l.Kind.IdleTimeout)) {
		return i
	}
	if i != noEntry {
		e := &b.flows.entries[i]
		switch {
		case e.state == stateAway && e.dest == at:
			b.adoptAway(i, now)
			return i
		case e.state != stateMoved || b.isPeer(b.vms[e.dest]):
			return i
		}
		// The VM to which the flow moved is no longer a member of its zone.
		b.removeFlow(i, admission.Cancelled, now)
	}
	i = b.addFlow(p, l, at, now)
	if i != noEntry {
		b.adoptEntry(i, eventAdopt, now)
	}
	return i
}

// passUnmatchedAnswer handles an answer whose flow this VM does not hold. It
// passes the answer to the peer given by the parameter to, which may hold the
// flow. With the strategy Table, no VM holds flows; an answer received from a
// target is then sent to the caller.
func (b *Balancer) passUnmatchedAnswer(p *Packet, key fleet.TargetKey, to fleet.VMID, out []Action) []Action {
	if _, stateless := b.cfg.Strategy.(Table); stateless && p.Source == FromTarget {
		b.stats.Replies++
		return append(out, Action{Op: Reply, Flow: p.Flow, Target: p.Target, Payload: p.Payload})
	}
	if to == b.self || !b.isPeer(to) {
		return b.drop(p, CauseUnknownFlow, out)
	}
	return b.pass(p, to, PassHeader{Mode: Answer, Step: uint8(p.End), Target: key, Origin: b.self}, out)
}

// handleShed schedules a retry of a request that the target shed without
// running it. If the request cannot be retried, handleShed refuses it.
func (b *Balancer) handleShed(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	if e.state == stateEnded {
		return out
	}
	b.freeSlot(e, admission.Shed, now)
	if len(p.Payload) == 0 {
		// The request cannot be retried without its start packet.
		b.finish(i, admission.Shed, now)
		return b.refuse(p, fleet.OutcomeUnknown, CauseShed, out)
	}
	wait := minRetryDelay + time.Duration(b.cfg.Random.Int64N(int64(maxRetryDelay-minRetryDelay)))
	pastDeadline := passed(tick(now.Add(wait)), e.expires)
	if pastDeadline || e.flags&flagRetried != 0 || !b.held.fits(len(p.Payload)) || b.cfg.Retries == nil || !b.cfg.Retries.AllowRetry(now) {
		e.flags |= flagProvenNotRun
		return b.refuseFlow(i, p, CauseShed, now, out)
	}
	b.transition(e, eventShed)
	e.flags |= flagRetried | flagProvenNotRun
	b.held.put(i, p)
	b.held.retryAt(i, now.Add(wait))
	b.stats.Retried++
	return out
}

// retry starts a shed request again at the same target, or queues the request
// if no slot is free. If neither is possible, retry refuses the request.
func (b *Balancer) retry(i uint32, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	d := &b.dests.all[e.dest]
	p := b.held.take(i)
	p.Flow, p.hash = b.keyOf(e), e.hash
	if d.target == nil || !d.owned || passed(tick(now), e.expires) {
		return b.refuseFlow(i, &p, CauseShed, now, out)
	}
	r := b.request(&p, &b.listeners.all[e.listener].Listener, now)
	r.Deadline = now.Add(time.Duration(e.expires-tick(now)) * time.Millisecond)
	if b.tryStart(d, r, now) {
		return b.start(i, &p, d.target, now, out)
	}
	if d.limiter == nil {
		return b.refuseFlow(i, &p, CauseShed, now, out)
	}
	evicted, err := d.limiter.Enqueue(r, now)
	if err != nil {
		return b.refuseFlow(i, &p, CauseShed, now, out)
	}
	b.held.put(i, &p)
	for _, ev := range evicted {
		out = b.refuseQueued(ev, CauseEvicted, now, out)
	}
	return out
}
