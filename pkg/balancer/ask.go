package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// askExceptionDest passes the packet to the destination that a replicated exception
// names: to a VM of another zone, or to the owner of a target of this zone. The
// owner receives the packet as an Ask, because the exception holds only a part
// of the flow's hash and may belong to another flow. If this VM owns the target
// or the target is not in the view, askExceptionDest handles the packet here.
func (b *Balancer) askExceptionDest(p *Packet, l *fleet.Listener, r Route, at uint16, certain bool, now time.Time, out []Action) []Action {
	key := exceptionKey{b.dests.index(r.First.Key), fingerprint(p.hash)}
	d := &b.dests.all[at]
	if d.zone != "" {
		return b.pass(p, b.placement.Relay(d.zone, p.hash), PassHeader{Mode: Established, Target: d.key, Origin: b.self}, out)
	}
	if d.removed() {
		delete(b.replicatedExceptions, key)
		if p.Start && !l.Kind.Idempotent {
			return b.drop(p, CauseUnknownResult, out)
		}
		return b.ask(p, l, r, 0, !certain, now, out)
	}
	owner := b.placement.Owner(d.key)
	if owner != b.self {
		b.replicatedExceptions[key] = replicatedException{dest: at, seen: tick(now)}
		return b.pass(p, owner, PassHeader{Mode: Ask, Step: exceptionAskStep, Target: d.key, Origin: b.self}, out)
	}
	if p.Start {
		// This VM owns the destination and does not hold the flow.
		if d.lacksRecordsWithin(tick(now), windowOf(p, l)) && !l.Kind.Idempotent {
			return b.drop(p, CauseUnknownResult, out)
		}
		delete(b.replicatedExceptions, key)
		return b.ask(p, l, r, 0, !certain, now, out)
	}
	return b.adopt(p, l, at, now, out)
}

// handleAsk handles Ask. If this VM holds a valid entry of the flow, it handles
// the packet. It passes the packet on if the flow moved to a VM other than the
// one that asked, or if the previous owner of the destination may hold the flow
// because the handover is incomplete, and that owner did not ask. Otherwise it
// sends the packet back with NotHere.
func (b *Balancer) handleAsk(p *Packet, now time.Time, out []Action) []Action {
	if i := b.find(p); i != noEntry {
		e := &b.flows.entries[i]
		switch {
		case e.state == stateMoved:
			if to := b.vms[e.dest]; to != p.Header.Origin && b.isPeer(to) {
				return b.pass(p, to, p.Header, out)
			}
			b.removeFlow(i, admission.Cancelled, now)
		case e.state == stateUnknown && b.listeners.all[e.listener].Kind.Idempotent && p.Start:
			// A target that is no longer in the view may have run the request.
			// The request may start again elsewhere. Uncertain is set so that
			// NotRun is never reported for the request.
			h := p.Header
			h.Mode, h.Uncertain = NotHere, true
			p.Header.Hops--
			return b.pass(p, h.Origin, h, out)
		case e.state == stateReturned && !b.isStale(e):
			// Keep the entry: it also prevents a late duplicate of the offer from
			// being accepted.
		case p.Start && b.isNewRequest(e, p) || b.isStale(e):
			b.removeFlow(i, admission.Completed, now)
		default:
			b.reportDest(i, p)
			return b.handleKnown(i, p, now, out)
		}
	}
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil {
		return b.drop(p, CauseNoListener, out)
	}
	if p.Header.Target == zoneKey(b.view.Zone) {
		return b.handleAskFromZone(p, l, now, out)
	}
	at := b.dests.index(p.Header.Target)
	d := &b.dests.all[at]
	window := windowOf(p, l)
	if d.predecessor != "" && d.predecessor != p.Header.Origin && d.lacksRecordsWithin(tick(now), window) {
		return b.pass(p, d.predecessor, p.Header, out)
	}
	authoritative := d.owned || d.wasOwned && !passed(tick(now), d.ownedUntil+window)
	return b.replyNotHere(p, l, !authoritative || d.lostWithin(tick(now), window), now, out)
}

// handleAskFromZone handles an Ask from another zone. The home zone of the flow
// was this zone before, and is now the zone that sent the Ask.
func (b *Balancer) handleAskFromZone(p *Packet, l *fleet.Listener, now time.Time, out []Action) []Action {
	r := b.cfg.Strategy.Route(b.placement, l.Service, p.hash)
	if r.First.Target == nil {
		return b.replyNotHere(p, l, true, now, out)
	}
	if r.Decider != b.self {
		return b.pass(p, r.Decider, p.Header, out)
	}
	uncertain := b.listAsks(l.Service, p.hash, r, windowOf(p, l), now)
	return b.replyNotHere(p, l, uncertain || len(b.askDests) > 0, now, out)
}

// replyNotHere sends the packet back with NotHere. If the packet may start the
// flow, this VM passes later packets of the flow to the VM that asked, so that
// the reply stays true.
func (b *Balancer) replyNotHere(p *Packet, l *fleet.Listener, uncertain bool, now time.Time, out []Action) []Action {
	if p.starts() && !b.addMoved(p, l, now) {
		return b.drop(p, CauseTableFull, out)
	}
	h := p.Header
	h.Mode = NotHere
	h.Uncertain = h.Uncertain || uncertain
	// The reply does not count as a hop, since maxAsks limits the replies.
	p.Header.Hops--
	return b.pass(p, h.Origin, h, out)
}

// addMoved records that the flow moved to the VM that asked. If the flow has an
// entry in state Returned, addMoved instead keeps this entry and restarts its
// retention time. It returns false if a table is full.
func (b *Balancer) addMoved(p *Packet, l *fleet.Listener, now time.Time) bool {
	vm, ok := b.vmIndex(p.Header.Origin)
	if !ok {
		return false
	}
	if i := b.find(p); i != noEntry && b.flows.entries[i].state == stateReturned {
		e := &b.flows.entries[i]
		e.expires = tick(now) + b.listeners.all[e.listener].retention
		return true
	}
	i := b.addFlow(p, l, 0, now)
	if i == noEntry {
		return false
	}
	e := &b.flows.entries[i]
	b.markMoved(e, vm, p.Header.Epoch)
	e.expires = e.lastSeen + b.listeners.all[e.listener].retention
	return true
}

// markMoved marks a flow as moved to another VM in the given epoch.
func (b *Balancer) markMoved(e *flowEntry, vm uint16, epoch fleet.Epoch) {
	b.transition(e, eventMove)
	b.dests.all[e.dest].refs--
	e.dest, e.epoch = vm, uint32(epoch)
	b.stats.Moved++
}

// handleNotHere continues with a packet that another VM sent back because it
// does not hold the flow.
func (b *Balancer) handleNotHere(p *Packet, now time.Time, out []Action) []Action {
	if i := b.find(p); i != noEntry && !b.mayStartAgain(&b.flows.entries[i]) {
		return b.handleKnown(i, p, now, out)
	}
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil {
		return b.drop(p, CauseNoListener, out)
	}
	r := b.cfg.Strategy.Route(b.placement, l.Service, p.hash)
	if p.Header.Epoch != b.view.Epoch || r.Decider != b.self {
		return b.routeUnknown(p, now, out)
	}
	if p.Start && !l.Kind.Idempotent && !b.mayDecide(l.Service, p.hash, r, now) {
		return b.holdStart(p, l, now, out)
	}
	if p.Header.Step == exceptionAskStep {
		return b.handleExceptionNotHere(p, l, r, now, out)
	}
	if !p.Start && p.Header.Uncertain && b.wasFirstCandidate(p, l, now) {
		// The flow is most likely at the header's target, which was its first
		// candidate in an earlier view. A crash may have lost the record of the flow.
		return b.pass(p, b.placement.Owner(p.Header.Target), PassHeader{Mode: Established, Target: p.Header.Target, Origin: b.self}, out)
	}
	return b.ask(p, l, r, int(p.Header.Step), p.Header.Uncertain && p.Start, now, out)
}

// mayStartAgain reports whether the entry allows a new decision about a start
// packet.
func (b *Balancer) mayStartAgain(e *flowEntry) bool {
	return e.isReturnedOrMoved() || e.state == stateUnknown && b.listeners.all[e.listener].Kind.Idempotent
}

// handleExceptionNotHere continues with a packet that askExceptionDest passed to the
// owner of a destination and that this owner sent back with NotHere.
func (b *Balancer) handleExceptionNotHere(p *Packet, l *fleet.Listener, r Route, now time.Time, out []Action) []Action {
	if !p.Header.Uncertain {
		delete(b.replicatedExceptions, exceptionKey{b.dests.index(r.First.Key), fingerprint(p.hash)})
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

// wasFirstCandidate reports whether the target that a NotHere refers to is in
// the view and was the flow's first candidate in an earlier view within the
// window.
func (b *Balancer) wasFirstCandidate(p *Packet, l *fleet.Listener, now time.Time) bool {
	if b.view.Target(p.Header.Target) == nil {
		return false
	}
	for i := range b.history.past {
		v := &b.history.past[i]
		if !v.within(now, windowOf(p, l)) {
			return false
		}
		if c1, _, zone := b.pastCandidates(v, l.Service, p.hash); zone == "" && c1.Key == p.Header.Target {
			return true
		}
	}
	return false
}
