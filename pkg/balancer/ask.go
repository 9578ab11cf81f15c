package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// askReplica passes the packet to the place that a replicated exception names.
// The exception holds only a part of the flow's hash, so the place is asked.
func (b *Balancer) askReplica(p *Packet, l *fleet.Listener, r Route, at uint16, home bool, now time.Time, out []Action) []Action {
	key := replicaKey{b.places.index(r.First.Key), fingerprint(p.hash)}
	pl := &b.places.all[at]
	if pl.zone != "" {
		return b.pass(p, b.placement.Relay(pl.zone, p.hash), PassHeader{Mode: Established, Target: pl.key, Origin: b.self}, out)
	}
	if pl.gone() {
		delete(b.replicas, key)
		if p.Start && !l.Kind.Idempotent {
			return b.drop(p, CauseUnknownResult, out)
		}
		return b.ask(p, l, r, 0, !home, now, out)
	}
	owner := b.placement.Owner(pl.key)
	if owner != b.self {
		b.replicas[key] = replica{place: at, seen: tick(now)}
		return b.pass(p, owner, PassHeader{Mode: Ask, Step: replicaStep, Target: pl.key, Origin: b.self}, out)
	}
	if p.Start {
		// This VM owns the place and does not hold the flow.
		if pl.inheritedWithin(tick(now), windowOf(p, l)) && !l.Kind.Idempotent {
			return b.drop(p, CauseUnknownResult, out)
		}
		delete(b.replicas, key)
		return b.ask(p, l, r, 0, !home, now, out)
	}
	return b.adopt(p, l, at, now, out)
}

// asked answers Ask: a VM that holds the flow handles the packet, another one
// sends it back.
func (b *Balancer) asked(p *Packet, now time.Time, out []Action) []Action {
	if i := b.find(p); i != noEntry {
		e := &b.flows.entries[i]
		switch {
		case e.state == stateMoved:
			if to := b.vms[e.place]; to != p.Header.Origin && b.isPeer(to) {
				return b.pass(p, to, p.Header, out)
			}
			b.removeFlow(i, admission.Cancelled, now)
		case e.state == stateUnknown && b.listeners.all[e.listener].Kind.Idempotent && p.Start:
			// A target that is gone ran it, so it may start again elsewhere but
			// never counts as surely not run.
			h := p.Header
			h.Mode, h.Uncertain = NotHere, true
			p.Header.Hops--
			return b.pass(p, h.Origin, h, out)
		case e.state == stateReturned && !b.isStale(e):
			// The memory of the return stays: it also keeps a late duplicate of
			// the offer from being accepted.
		case p.Start && b.isNewRequest(e, p) || b.isStale(e):
			b.removeFlow(i, admission.Completed, now)
		default:
			b.report(i, p)
			return b.known(i, p, now, out)
		}
	}
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil {
		return b.drop(p, CauseNoListener, out)
	}
	if p.Header.Target == zoneKey(b.view.Zone) {
		return b.askedZone(p, l, now, out)
	}
	at := b.places.index(p.Header.Target)
	pl := &b.places.all[at]
	window := windowOf(p, l)
	if pl.pending != "" && pl.pending != p.Header.Origin && pl.inheritedWithin(tick(now), window) {
		return b.pass(p, pl.pending, p.Header, out)
	}
	sure := pl.owned || pl.wasOwned && !passed(tick(now), pl.until+window)
	return b.sayNotHere(p, l, !sure || pl.lostWithin(tick(now), window), now, out)
}

// askedZone answers the question of the zone to which the flow's home moved.
func (b *Balancer) askedZone(p *Packet, l *fleet.Listener, now time.Time, out []Action) []Action {
	r := b.cfg.Strategy.Route(b.placement, l.Service, p.hash)
	if r.First.Target == nil {
		return b.sayNotHere(p, l, true, now, out)
	}
	if r.Decider != b.self {
		return b.pass(p, r.Decider, p.Header, out)
	}
	uncertain := b.askList(l.Service, p.hash, r, windowOf(p, l), now)
	return b.sayNotHere(p, l, uncertain || len(b.asks) > 0, now, out)
}

// sayNotHere sends the packet back. From then on, this VM passes the flow's
// packets to the VM that asked, so that its answer stays true.
func (b *Balancer) sayNotHere(p *Packet, l *fleet.Listener, uncertain bool, now time.Time, out []Action) []Action {
	if p.starts() && !b.addMoved(p, l, now) {
		return b.drop(p, CauseTableFull, out)
	}
	h := p.Header
	h.Mode = NotHere
	h.Uncertain = h.Uncertain || uncertain
	// The way back is not a hop of its own: Step bounds the questions.
	p.Header.Hops--
	return b.pass(p, h.Origin, h, out)
}

func (b *Balancer) addMoved(p *Packet, l *fleet.Listener, now time.Time) bool {
	vm, ok := b.vmIndex(p.Header.Origin)
	if !ok {
		return false
	}
	if i := b.find(p); i != noEntry && b.flows.entries[i].state == stateReturned {
		e := &b.flows.entries[i]
		e.until = tick(now) + b.listeners.all[e.listener].retention
		return true
	}
	i := b.addFlow(p, l, 0, now)
	if i == noEntry {
		return false
	}
	e := &b.flows.entries[i]
	b.move(e, vm, p.Header.Epoch)
	e.until = e.seen + b.listeners.all[e.listener].retention
	return true
}

// move marks a flow as moved to another VM in an epoch.
func (b *Balancer) move(e *flowEntry, vm uint16, epoch fleet.Epoch) {
	b.step(e, eventMove)
	b.places.all[e.place].refs--
	e.place, e.epoch = vm, uint32(epoch)
	b.stats.Moved++
}

// notHere goes on with a packet that a VM did not hold.
func (b *Balancer) notHere(p *Packet, now time.Time, out []Action) []Action {
	if i := b.find(p); i != noEntry && !b.mayStartAgain(&b.flows.entries[i]) {
		return b.known(i, p, now, out)
	}
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil {
		return b.drop(p, CauseNoListener, out)
	}
	r := b.cfg.Strategy.Route(b.placement, l.Service, p.hash)
	if p.Header.Epoch != b.view.Epoch || r.Decider != b.self {
		return b.unknown(p, now, out)
	}
	if p.Start && !l.Kind.Idempotent && !b.mayDecide(l.Service, p.hash, r, now) {
		return b.hold(p, l, now, out)
	}
	if p.Header.Step == replicaStep {
		return b.replicaNotHere(p, l, r, now, out)
	}
	if !p.Start && p.Header.Uncertain && b.wasFirst(p, l, now) {
		// The records of the flow's most likely place were lost in a crash.
		return b.pass(p, b.placement.Owner(p.Header.Target), PassHeader{Mode: Established, Target: p.Header.Target, Origin: b.self}, out)
	}
	return b.ask(p, l, r, int(p.Header.Step), p.Header.Uncertain && p.Start, now, out)
}

// mayStartAgain reports whether an entry leaves the decision about a start
// packet open.
func (b *Balancer) mayStartAgain(e *flowEntry) bool {
	return e.isElsewhere() || e.state == stateUnknown && b.listeners.all[e.listener].Kind.Idempotent
}

// replicaNotHere goes on after the place of a replicated exception did not
// hold the flow.
func (b *Balancer) replicaNotHere(p *Packet, l *fleet.Listener, r Route, now time.Time, out []Action) []Action {
	if !p.Header.Uncertain {
		delete(b.replicas, replicaKey{b.places.index(r.First.Key), fingerprint(p.hash)})
		return b.ask(p, l, r, 0, false, now, out)
	}
	if p.Start && !l.Kind.Idempotent {
		return b.drop(p, CauseUnknownResult, out)
	}
	if t := b.view.Target(p.Header.Target); p.Start && (t == nil || !t.TakesNewFlows()) {
		return b.ask(p, l, r, 0, true, now, out)
	}
	owner := b.placement.Owner(p.Header.Target)
	return b.pass(p, owner, PassHeader{Mode: Established, Target: p.Header.Target, Origin: b.self}, out)
}

// wasFirst reports whether the target that a reply is about is in the view and
// was the flow's first candidate in an earlier one.
func (b *Balancer) wasFirst(p *Packet, l *fleet.Listener, now time.Time) bool {
	if b.view.Target(p.Header.Target) == nil {
		return false
	}
	for i := range b.history.past {
		v := &b.history.past[i]
		if !v.within(now, windowOf(p, l)) {
			return false
		}
		if c1, _, zone := b.pastChoice(v, l.Service, p.hash); zone == "" && c1.Key == p.Header.Target {
			return true
		}
	}
	return false
}
