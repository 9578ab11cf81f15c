package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// passAway passes a packet of a flow in state Away to the owner of the flow's
// destination, or handles the packet here if this VM is now the owner. The
// packet is an offer only while the entry is tentative and only in the epoch of
// the first offer: in a later epoch, a previous owner of the destination may
// have accepted the flow.
func (b *Balancer) passAway(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	d := &b.dests.all[e.dest]
	offer := e.flags&flagTentative != 0 && e.epoch == uint32(b.view.Epoch)
	if !offer {
		e.flags &^= flagTentative
	}
	e.epoch = uint32(b.view.Epoch)
	h := PassHeader{Mode: Established, Target: d.key, Origin: b.self}
	if d.zone != "" {
		if offer {
			h.Mode = Overflow
		}
		return b.pass(p, b.placement.Relay(d.zone, e.hash), h, out)
	}
	if offer {
		h.Mode = ToSecond
	}
	owner := b.placement.Owner(d.key)
	switch {
	case owner != b.self:
		return b.pass(p, owner, h, out)
	case !offer:
		b.adoptAway(i, now)
		return b.forwardToTarget(i, p, now, out)
	case b.tryStart(d, b.request(p, &b.listeners.all[e.listener].Listener, now), now):
		return b.start(i, p, d.target, now, out)
	}
	return b.decideReturned(i, p, now, out)
}

// adoptAway marks a flow in state Away as running here, after this VM became
// the owner of its destination.
func (b *Balancer) adoptAway(i uint32, now time.Time) {
	e := &b.flows.entries[i]
	if e.flags&flagReplicated != 0 {
		b.unreplicate(e)
	}
	b.adoptEntry(i, eventForward, now)
}

// decideReturned decides again about a flow that the offered destination did
// not accept.
func (b *Balancer) decideReturned(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	l := &b.listeners.all[e.listener]
	r := b.cfg.Strategy.Route(b.placement, l.Service, e.hash)
	overflowed := b.dests.all[e.dest].zone != ""
	if r.First.Target == nil || r.Decider != b.self {
		b.removeFlow(i, admission.Cancelled, now)
		return b.routeUnknown(p, now, out)
	}
	if e.flags&flagReplicated != 0 {
		b.unreplicate(e)
	}
	b.transition(e, eventTake)
	e.flags &^= flagTentative | flagReplicated
	b.setDest(e, b.dests.index(r.First.Key))
	if b.tryStart(&b.dests.all[e.dest], b.request(p, &l.Listener, now), now) {
		return b.start(i, p, r.First.Target, now, out)
	}
	if overflowed {
		return b.refuseFlow(i, p, CauseNoSlot, now, out)
	}
	return b.enqueue(i, p, now, out)
}

// listenerOfNewFlow returns the listener of a flow that is new to this VM, and
// removes an entry of the flow that may be replaced (see mayReplace). If the
// flow has another entry or no listener, it handles the packet and returns nil.
func (b *Balancer) listenerOfNewFlow(p *Packet, now time.Time, out []Action) (*fleet.Listener, []Action) {
	if i := b.find(p); i != noEntry {
		if !b.mayReplace(i, p) {
			return nil, b.handleRepeatedOffer(i, p, now, out)
		}
		b.removeFlow(i, admission.Cancelled, now)
	}
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil {
		return nil, b.drop(p, CauseNoListener, out)
	}
	return l, out
}

// handleOffer handles ToSecond at the owner of the offered destination.
func (b *Balancer) handleOffer(p *Packet, now time.Time, out []Action) []Action {
	l, out := b.listenerOfNewFlow(p, now, out)
	if l == nil {
		return out
	}
	if !p.starts() {
		return b.drop(p, CauseUnknownFlow, out)
	}
	at := b.dests.index(p.Header.Target)
	d := &b.dests.all[at]
	if !d.owned || p.Header.Epoch < d.takenEpoch {
		// A previous owner may have accepted the flow, so this VM can neither
		// accept nor return it. The owner of the first candidate decides.
		return b.routeUnknown(p, now, out)
	}
	if !l.Kind.Idempotent && !now.Before(b.leaseUntil) {
		return b.drop(p, CauseUnsealed, out)
	}
	return b.acceptOrReturn(p, l, at, now, out)
}

func (b *Balancer) acceptOrReturn(p *Packet, l *fleet.Listener, at uint16, now time.Time, out []Action) []Action {
	if b.refusals >= b.cfg.MaxFlows/2 {
		return b.drop(p, CauseTableFull, out)
	}
	i := b.addFlow(p, l, at, now)
	if i == noEntry {
		return b.drop(p, CauseTableFull, out)
	}
	d := &b.dests.all[at]
	if d.target.TakesNewFlows() && b.tryStart(d, b.request(p, l, now), now) {
		return b.start(i, p, d.target, now, out)
	}
	e := &b.flows.entries[i]
	b.transition(e, eventReturn)
	e.epoch = uint32(b.view.Epoch)
	e.expires = tick(now) + b.listeners.all[e.listener].retention
	return b.returnOffer(p, out)
}

// mayReplace reports whether an offer or an Established packet may replace
// the entry: the entry is stale, the flow moved to the VM that sent the packet
// in the epoch of the packet or earlier, or the packet starts a new request.
func (b *Balancer) mayReplace(i uint32, p *Packet) bool {
	e := &b.flows.entries[i]
	if b.isStale(e) {
		return true
	}
	if e.state == stateMoved {
		return b.vms[e.dest] == p.Header.Origin && uint32(p.Header.Epoch) >= e.epoch
	}
	return p.Start && b.isNewRequest(e, p)
}

func (b *Balancer) handleRepeatedOffer(i uint32, p *Packet, now time.Time, out []Action) []Action {
	if e := &b.flows.entries[i]; e.state == stateReturned {
		// The entry may belong to an earlier request from the same port. It must
		// be kept until no late duplicate of this offer can arrive.
		e.expires = tick(now) + b.listeners.all[e.listener].retention
		return b.returnOffer(p, out)
	}
	return b.handleKnown(i, p, now, out)
}

// returnOffer returns an offer to its origin with the epoch of the offer. If the
// origin is in this zone and this VM has not reached that epoch, it drops the
// packet: the owner in that epoch may be another VM, and may accept the offer.
func (b *Balancer) returnOffer(p *Packet, out []Action) []Action {
	if p.Header.Epoch > b.view.Epoch && b.view.Member(p.Header.Origin) != nil {
		return b.drop(p, CauseStale, out)
	}
	b.stats.Returned++
	h := PassHeader{Mode: Returned, Target: p.Header.Target, Epoch: p.Header.Epoch, Origin: p.Header.Origin}
	if at, ok := b.dests.byKey[h.Target]; ok && b.dests.all[at].limiter != nil {
		h.Pressure = b.dests.all[at].limiter.Pressure()
	}
	return b.pass(p, p.Header.Origin, h, out)
}

// handleReturned handles a returned offer. It drops a return whose epoch is not
// that of the last packet passed to the destination, since a later owner may
// have accepted the flow. It also drops a return if this VM became the owner of
// the first candidate after that packet was passed.
func (b *Balancer) handleReturned(p *Packet, now time.Time, out []Action) []Action {
	i := b.find(p)
	if i == noEntry {
		return b.drop(p, CauseStale, out)
	}
	e := &b.flows.entries[i]
	stale := b.dests.all[e.dest].key != p.Header.Target || e.epoch != uint32(p.Header.Epoch)
	if e.state != stateAway || stale || b.isStale(e) || p.Start && e.instance != p.Instance {
		return b.drop(p, CauseStale, out)
	}
	return b.decideReturned(i, p, now, out)
}

// handleEstablished handles a packet of a flow that is at a destination of
// this VM.
func (b *Balancer) handleEstablished(p *Packet, now time.Time, out []Action) []Action {
	if b.passedBeforeTakeover(p) {
		return b.drop(p, CauseStale, out)
	}
	l, out := b.listenerOfNewFlow(p, now, out)
	if l == nil {
		return out
	}
	if p.Header.Target == zoneKey(b.view.Zone) {
		return b.handleEstablishedFromZone(p, l, now, out)
	}
	at, ok := b.dests.byKey[p.Header.Target]
	if !ok || b.dests.all[at].target == nil {
		if p.Start {
			return b.drop(p, CauseTargetGone, out)
		}
		return b.resetUnknown(p, CauseTargetGone, now, out)
	}
	if owner := b.placement.Owner(p.Header.Target); owner != b.self {
		return b.pass(p, owner, p.Header, out)
	}
	return b.adopt(p, l, at, now, out)
}

// passedBeforeTakeover reports whether a start packet of a non-idempotent
// request was passed in an epoch before this VM became the owner of the
// destination. The previous owner may have returned the flow since.
func (b *Balancer) passedBeforeTakeover(p *Packet) bool {
	at, ok := b.dests.byKey[p.Header.Target]
	if !ok || !p.Start || !b.dests.all[at].owned || p.Header.Epoch >= b.dests.all[at].takenEpoch {
		return false
	}
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	return l != nil && !l.Kind.Idempotent
}

// handleEstablishedFromZone handles a packet of a flow that another zone
// offered to this zone.
func (b *Balancer) handleEstablishedFromZone(p *Packet, l *fleet.Listener, now time.Time, out []Action) []Action {
	r := b.cfg.Strategy.Route(b.placement, l.Service, p.hash)
	switch {
	case r.First.Target == nil:
		return b.drop(p, CauseNoTarget, out)
	case r.Decider != b.self:
		return b.pass(p, r.Decider, p.Header, out)
	}
	return b.adopt(p, l, b.dests.index(r.First.Key), now, out)
}

// handleOverflow handles an offer of another zone.
func (b *Balancer) handleOverflow(p *Packet, now time.Time, out []Action) []Action {
	l, out := b.listenerOfNewFlow(p, now, out)
	if l == nil {
		return out
	}
	r := b.cfg.Strategy.Route(b.placement, l.Service, p.hash)
	switch {
	case r.First.Target == nil || !p.starts():
		return b.drop(p, CauseNoTarget, out)
	case r.Decider != b.self:
		return b.pass(p, r.Decider, p.Header, out)
	}
	at := b.dests.index(r.First.Key)
	if b.dests.all[at].lacksRecordsWithin(tick(now), windowOf(p, l)) {
		return b.drop(p, CauseUnknownResult, out)
	}
	return b.acceptOrReturn(p, l, at, now, out)
}
