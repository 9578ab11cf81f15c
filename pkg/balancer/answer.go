package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// retryBase and retryMost bound the time before a shed request starts
	// again; the time is drawn evenly between them, so that the requests that
	// a target shed together do not come back together.
	retryBase = 5 * time.Millisecond
	retryMost = 50 * time.Millisecond
)

// answer matches a target's answer to its flow.
func (b *Balancer) answer(p *Packet, now time.Time, out []Action) []Action {
	key := p.Target.Key()
	if p.Source == FromPeer {
		key = p.Header.Target
		p.End = End(p.Header.Step)
	}
	i := b.takeAnswered(p, key, now)
	if i == noEntry {
		return b.strayAnswer(p, key, b.placement.Owner(key), out)
	}
	e := &b.flows.entries[i]
	switch e.state {
	case stateRunning, stateEnding, stateEnded:
	case stateMoved:
		return b.strayAnswer(p, key, b.vms[e.place], out)
	default:
		return b.strayAnswer(p, key, b.placement.Owner(key), out)
	}
	if b.places.all[e.place].key != key {
		return b.drop(p, CauseForeignAnswer, out)
	}
	e.seen = tick(now)
	if p.End == Shed {
		return b.shed(i, p, now, out)
	}
	if p.End == Done {
		b.finish(i, admission.Completed, now)
		return out
	}
	b.stats.Replies++
	out = append(out, Action{Op: Reply, Flow: p.Flow, Target: b.places.all[e.place].id, Payload: p.Payload})
	b.targetEnd(i, p, now)
	return out
}

func (b *Balancer) targetEnd(i uint32, p *Packet, now time.Time) {
	e := &b.flows.entries[i]
	switch {
	case e.state == stateEnded:
	case p.End == Reset:
		b.finish(i, admission.Completed, now)
	case p.End == Fin:
		e.flags |= flagFinTarget
		b.endSide(i, now)
	}
}

// takeAnswered returns the entry of an answer's flow, or noEntry. Where this
// VM inherited the target from a VM that was lost, it takes the flow over:
// during a download the caller may send nothing until data arrives, so that no
// packet of its own would bring the flow here. The answer proves that the flow
// is at the target, so that no request can run twice.
func (b *Balancer) takeAnswered(p *Packet, key fleet.TargetKey, now time.Time) uint32 {
	i := b.find(p)
	at, known := b.places.at[key]
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if !known || l == nil || p.End != NoEnd {
		return i
	}
	pl := &b.places.all[at]
	if !pl.owned || pl.id.Service != l.Service || !pl.lostWithin(tick(now), ticks(l.Kind.IdleTimeout)) {
		return i
	}
	if i != noEntry {
		e := &b.flows.entries[i]
		switch {
		case e.state == stateAway && e.place == at:
			b.adoptAway(i, now)
			return i
		case e.state != stateMoved || b.isPeer(b.vms[e.place]):
			return i
		}
		// The VM to which the flow moved is the one that was lost.
		b.removeFlow(i, admission.Cancelled, now)
	}
	i = b.addFlow(p, l, at, now)
	if i != noEntry {
		b.adoptEntry(i, eventAdopt, now)
	}
	return i
}

// strayAnswer passes an answer without a flow to the VM that may hold it.
func (b *Balancer) strayAnswer(p *Packet, key fleet.TargetKey, to fleet.VMID, out []Action) []Action {
	if _, stateless := b.cfg.Strategy.(Table); stateless && p.Source == FromTarget {
		b.stats.Replies++
		return append(out, Action{Op: Reply, Flow: p.Flow, Target: p.Target, Payload: p.Payload})
	}
	if to == b.self || !b.isPeer(to) {
		return b.drop(p, CauseUnknownFlow, out)
	}
	return b.pass(p, to, PassHeader{Mode: Answer, Step: uint8(p.End), Target: key, Origin: b.self}, out)
}

// shed retries a request that its target surely did not run, or refuses it.
func (b *Balancer) shed(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	if e.state == stateEnded {
		return out
	}
	b.freeSlot(e, admission.Shed, now)
	if len(p.Payload) == 0 {
		// Without the start packet nothing can be started again.
		b.finish(i, admission.Shed, now)
		return b.refuse(p, fleet.Unknown, CauseShed, out)
	}
	wait := retryBase + time.Duration(b.cfg.Random.Int64N(int64(retryMost-retryBase)))
	late := passed(tick(now.Add(wait)), e.until)
	if late || e.flags&flagRetried != 0 || !b.held.fits(len(p.Payload)) || b.cfg.Retries == nil || !b.cfg.Retries.Spend(now) {
		e.flags |= flagSure
		return b.refuseFlow(i, p, CauseShed, now, out)
	}
	b.step(e, eventShed)
	e.flags |= flagRetried | flagSure
	b.held.put(i, p)
	b.held.retryAt(i, now.Add(wait))
	b.stats.Retried++
	return out
}

// retry starts a shed request again, at the same target.
func (b *Balancer) retry(i uint32, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	pl := &b.places.all[e.place]
	p := b.held.take(i)
	p.Flow, p.hash = b.keyOf(e), e.hash
	if pl.target == nil || !pl.owned || passed(tick(now), e.until) {
		return b.refuseFlow(i, &p, CauseShed, now, out)
	}
	r := b.request(&p, &b.listeners.all[e.listener].Listener, now)
	r.Deadline = now.Add(time.Duration(e.until-tick(now)) * time.Millisecond)
	if b.tryStart(pl, r, now) {
		return b.start(i, &p, pl.target, now, out)
	}
	if pl.limiter == nil {
		return b.refuseFlow(i, &p, CauseShed, now, out)
	}
	evicted, err := pl.limiter.Enqueue(r, now)
	if err != nil {
		return b.refuseFlow(i, &p, CauseShed, now, out)
	}
	b.held.put(i, &p)
	for _, ev := range evicted {
		out = b.refuseQueued(ev, CauseEvicted, now, out)
	}
	return out
}
