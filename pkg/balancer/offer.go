package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// toAway passes a packet of a flow that is away to the owner of its place. It
// is an offer only in the epoch of the first offer: after that, an earlier
// owner of the place may have accepted the flow.
func (b *Balancer) toAway(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	pl := &b.places.all[e.place]
	offer := e.flags&flagTentative != 0 && e.epoch == uint32(b.view.Epoch)
	if !offer {
		e.flags &^= flagTentative
	}
	e.epoch = uint32(b.view.Epoch)
	h := PassHeader{Mode: Established, Target: pl.key, Origin: b.self}
	if pl.zone != "" {
		if offer {
			h.Mode = Overflow
		}
		return b.pass(p, b.placement.Relay(pl.zone, e.hash), h, out)
	}
	if offer {
		h.Mode = ToSecond
	}
	owner := b.placement.Owner(pl.key)
	switch {
	case owner != b.self:
		return b.pass(p, owner, h, out)
	case !offer:
		b.adoptAway(i, now)
		return b.toTarget(i, p, now, out)
	case b.tryStart(pl, b.request(p, &b.listeners.all[e.listener].Listener, now), now):
		return b.start(i, p, pl.target, now, out)
	}
	return b.decideAgain(i, p, now, out)
}

// adoptAway makes a flow run here whose place this VM has come to own.
func (b *Balancer) adoptAway(i uint32, now time.Time) {
	e := &b.flows.entries[i]
	if e.flags&flagReplicated != 0 {
		b.unreplicate(e)
	}
	b.adoptEntry(i, eventForward, now)
}

// decideAgain decides again about a flow that the other place did not accept.
func (b *Balancer) decideAgain(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	l := &b.listeners.all[e.listener]
	r := b.cfg.Strategy.Route(b.placement, l.Service, e.hash)
	overflowed := b.places.all[e.place].zone != ""
	if r.First.Target == nil || r.Decider != b.self {
		b.removeFlow(i, admission.Cancelled, now)
		return b.unknown(p, now, out)
	}
	if e.flags&flagReplicated != 0 {
		b.unreplicate(e)
	}
	b.step(e, eventTake)
	e.flags &^= flagTentative | flagReplicated
	b.setPlace(e, b.places.index(r.First.Key))
	if b.tryStart(&b.places.all[e.place], b.request(p, &l.Listener, now), now) {
		return b.start(i, p, r.First.Target, now, out)
	}
	if overflowed {
		return b.refuseFlow(i, p, CauseNoSlot, now, out)
	}
	return b.enqueue(i, p, now, out)
}

// newHere returns the listener of a flow that is new to this VM. It handles the
// packet of a flow that it holds, or without a listener, and returns nil.
func (b *Balancer) newHere(p *Packet, now time.Time, out []Action) (*fleet.Listener, []Action) {
	if i := b.find(p); i != noEntry {
		if !b.forgets(i, p) {
			return nil, b.offeredAgain(i, p, now, out)
		}
		b.removeFlow(i, admission.Cancelled, now)
	}
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil {
		return nil, b.drop(p, CauseNoListener, out)
	}
	return l, out
}

// offered handles ToSecond and Overflow at the owner of the offered place.
func (b *Balancer) offered(p *Packet, now time.Time, out []Action) []Action {
	l, out := b.newHere(p, now, out)
	if l == nil {
		return out
	}
	if !p.starts() {
		return b.drop(p, CauseUnknownFlow, out)
	}
	at := b.places.index(p.Header.Target)
	pl := &b.places.all[at]
	if !pl.owned || p.Header.Epoch < pl.takenEpoch {
		// A predecessor may have accepted the flow, so this VM can neither
		// accept nor return it; the owner of the first candidate finds out.
		return b.unknown(p, now, out)
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
	pl := &b.places.all[at]
	if pl.target.TakesNewFlows() && b.tryStart(pl, b.request(p, l, now), now) {
		return b.start(i, p, pl.target, now, out)
	}
	e := &b.flows.entries[i]
	b.step(e, eventReturn)
	e.epoch = uint32(b.view.Epoch)
	e.until = tick(now) + b.listeners.all[e.listener].retention
	return b.returnOffer(p, out)
}

// forgets reports whether an entry no longer binds a packet that the owner of
// the first candidate sends: the flow moved to that owner, or the packet
// starts a new request.
func (b *Balancer) forgets(i uint32, p *Packet) bool {
	e := &b.flows.entries[i]
	if b.isStale(e) {
		return true
	}
	if e.state == stateMoved {
		return b.vms[e.place] == p.Header.Origin && uint32(p.Header.Epoch) >= e.epoch
	}
	return p.Start && b.isNewRequest(e, p)
}

func (b *Balancer) offeredAgain(i uint32, p *Packet, now time.Time, out []Action) []Action {
	if e := &b.flows.entries[i]; e.state == stateReturned {
		// The entry may be that of an earlier request on the same port; it has to
		// outlive late duplicates of this offer.
		e.until = tick(now) + b.listeners.all[e.listener].retention
		return b.returnOffer(p, out)
	}
	return b.known(i, p, now, out)
}

// returnOffer answers an offer; the epoch tells the other VM which offer. An owner
// of an earlier epoch does not speak for the one of the offer's epoch.
func (b *Balancer) returnOffer(p *Packet, out []Action) []Action {
	if p.Header.Epoch > b.view.Epoch && b.view.Member(p.Header.Origin) != nil {
		return b.drop(p, CauseStale, out)
	}
	b.stats.Returned++
	h := PassHeader{Mode: Returned, Target: p.Header.Target, Epoch: p.Header.Epoch, Origin: p.Header.Origin}
	if at, ok := b.places.at[h.Target]; ok && b.places.all[at].limiter != nil {
		h.Pressure = b.places.all[at].limiter.Pressure()
	}
	return b.pass(p, p.Header.Origin, h, out)
}

// returned handles an offer that comes back. An answer to an offer of an
// earlier epoch proves nothing, since a later owner may have accepted the flow;
// nor does one to a VM that did not own the first candidate all the while.
func (b *Balancer) returned(p *Packet, now time.Time, out []Action) []Action {
	i := b.find(p)
	if i == noEntry {
		return b.drop(p, CauseStale, out)
	}
	e := &b.flows.entries[i]
	stale := b.places.all[e.place].key != p.Header.Target || e.epoch != uint32(p.Header.Epoch)
	if e.state != stateAway || stale || b.isStale(e) || p.Start && e.instance != p.Instance {
		return b.drop(p, CauseStale, out)
	}
	return b.decideAgain(i, p, now, out)
}

// established handles a packet of a flow that is at a place of this VM.
func (b *Balancer) established(p *Packet, now time.Time, out []Action) []Action {
	if b.passedEarlier(p) {
		return b.drop(p, CauseStale, out)
	}
	l, out := b.newHere(p, now, out)
	if l == nil {
		return out
	}
	if p.Header.Target == zoneKey(b.view.Zone) {
		return b.establishedZone(p, l, now, out)
	}
	at, ok := b.places.at[p.Header.Target]
	if !ok || b.places.all[at].target == nil {
		if p.Start {
			return b.drop(p, CauseTargetGone, out)
		}
		return b.refuseUnknown(p, CauseTargetGone, now, out)
	}
	if owner := b.placement.Owner(p.Header.Target); owner != b.self {
		return b.pass(p, owner, p.Header, out)
	}
	return b.adopt(p, l, at, now, out)
}

// passedEarlier reports whether a start packet of a non-idempotent request was
// passed to this VM before it took the place over: its predecessor may have
// returned the flow since.
func (b *Balancer) passedEarlier(p *Packet) bool {
	at, ok := b.places.at[p.Header.Target]
	if !ok || !p.Start || !b.places.all[at].owned || p.Header.Epoch >= b.places.all[at].takenEpoch {
		return false
	}
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	return l != nil && !l.Kind.Idempotent
}

// establishedZone handles a flow that another zone offered to this one.
func (b *Balancer) establishedZone(p *Packet, l *fleet.Listener, now time.Time, out []Action) []Action {
	r := b.cfg.Strategy.Route(b.placement, l.Service, p.hash)
	switch {
	case r.First.Target == nil:
		return b.drop(p, CauseNoTarget, out)
	case r.Decider != b.self:
		return b.pass(p, r.Decider, p.Header, out)
	}
	return b.adopt(p, l, b.places.index(r.First.Key), now, out)
}

// overflowed handles the offer of another zone.
func (b *Balancer) overflowed(p *Packet, now time.Time, out []Action) []Action {
	l, out := b.newHere(p, now, out)
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
	at := b.places.index(r.First.Key)
	if b.places.all[at].inheritedWithin(tick(now), windowOf(p, l)) {
		return b.drop(p, CauseUnknownResult, out)
	}
	return b.acceptOrReturn(p, l, at, now, out)
}
