package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// replicaStep is the step of an Ask that a replicated exception led to; the
// steps of the ask list start after it.
const replicaStep = 0

const (
	// unknownSlots bounds the unknown flows that are remembered; a flood of
	// garbage overwrites them and gets no resets.
	unknownSlots = 4096
	// unknownLeast and unknownMost bound the age at which an unknown flow is
	// reset.
	unknownLeast = time.Second
	unknownMost  = 10 * time.Second
)

// unknownFlow is an unknown flow and when its first packet came.
type unknownFlow struct {
	hash  fleet.FlowHash
	first uint32
}

// route handles a packet of the fabric, and one passed as ToFirst.
func (b *Balancer) route(p *Packet, now time.Time, out []Action) []Action {
	if i := b.find(p); i != noEntry {
		return b.known(i, p, now, out)
	}
	return b.unknown(p, now, out)
}

// unknown finds the VM that decides about a flow without an entry.
func (b *Balancer) unknown(p *Packet, now time.Time, out []Action) []Action {
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil {
		return b.drop(p, CauseNoListener, out)
	}
	zone := b.placement.HomeZone(l.Service, p.hash)
	if zone == nil || zone.ID == b.view.Zone {
		return b.local(p, l, true, now, out)
	}
	peer := b.placement.Relay(zone.ID, p.hash)
	if zone.Reachable && peer != "" {
		return b.pass(p, peer, PassHeader{Mode: ToFirst, Uncertain: p.unsure}, out)
	}
	if l.Kind.Idempotent {
		return b.local(p, l, false, now, out)
	}
	return b.drop(p, CauseHomeZone, out)
}

// local decides inside this zone; home is false where another zone that can't
// be reached may have run the request.
func (b *Balancer) local(p *Packet, l *fleet.Listener, home bool, now time.Time, out []Action) []Action {
	r := b.cfg.Strategy.Route(b.placement, l.Service, p.hash)
	if r.First.Target == nil {
		return b.drop(p, CauseNoTarget, out)
	}
	if r.Stateless {
		return b.forward(p, r.First.Target.ID, out)
	}
	if r.Decider != "" && r.Decider != b.self {
		return b.pass(p, r.Decider, PassHeader{Mode: ToFirst, Target: r.First.Key, Uncertain: p.unsure}, out)
	}
	home = home && !p.unsure && (p.Header.Mode != ToFirst || !p.Header.Uncertain)
	if r.Unowned {
		return b.placeUnowned(p, l, r, now, out)
	}
	if p.Start && !l.Kind.Idempotent && !b.mayDecide(l.Service, p.hash, r, now) {
		return b.hold(p, l, now, out)
	}
	if at, ok := b.replicas[replicaKey{b.places.index(r.First.Key), fingerprint(p.hash)}]; ok {
		return b.askReplica(p, l, r, at.place, home, now, out)
	}
	return b.ask(p, l, r, 0, !home, now, out)
}

// placeUnowned places a flow as a strategy without target owners does.
func (b *Balancer) placeUnowned(p *Packet, l *fleet.Listener, r Route, now time.Time, out []Action) []Action {
	t, at := r.First.Target, b.places.index(r.First.Key)
	if r.Second.Target != nil && p.Start {
		second := b.places.index(r.Second.Key)
		if b.places.all[second].connections < b.places.all[at].connections {
			t, at = r.Second.Target, second
		}
	}
	i := b.addFlow(p, l, at, now)
	if i == noEntry {
		return b.drop(p, CauseTableFull, out)
	}
	return b.start(i, p, t, now, out)
}

// ask passes the packet to the next VM that may hold the flow; after the last
// one it decides.
func (b *Balancer) ask(p *Packet, l *fleet.Listener, r Route, step int, uncertain bool, now time.Time, out []Action) []Action {
	window := windowOf(p, l)
	uncertain = b.askList(l.Service, p.hash, r, window, now) || uncertain
	if step < len(b.asks) {
		a := b.asks[step]
		return b.pass(p, a.vm, PassHeader{Mode: Ask, Step: uint8(step + 1), Target: a.key, Origin: b.self, Uncertain: uncertain && p.Start}, out)
	}
	return b.conclude(p, l, r, uncertain, now, out)
}

// windowOf returns the time in ms for which an earlier decision matters to the
// packet: late duplicates of a start packet stop after the retention time, a
// flow that sent nothing for the idle timeout has ended.
func windowOf(p *Packet, l *fleet.Listener) uint32 {
	if p.Start {
		return ticks(l.Kind.Deadline + retentionSlack)
	}
	return ticks(l.Kind.IdleTimeout)
}

// conclude decides about a flow that no VM holds that was asked.
func (b *Balancer) conclude(p *Packet, l *fleet.Listener, r Route, uncertain bool, now time.Time, out []Action) []Action {
	first := &b.places.all[b.places.index(r.First.Key)]
	window := windowOf(p, l)
	lost := first.lostWithin(tick(now), window)
	if !p.Start && p.Flow.Protocol == fleet.UDP && !uncertain && !first.inheritedWithin(tick(now), window) {
		// No packet of UDP says whether it is the first one.
		p.Start = true
		if !l.Kind.Idempotent && !b.mayDecide(l.Service, p.hash, r, now) {
			return b.hold(p, l, now, out)
		}
	}
	switch {
	case !p.Start && (uncertain || first.inheritedWithin(tick(now), window)):
		return b.adopt(p, l, b.places.index(r.First.Key), now, out)
	case !p.Start:
		return b.refuseUnknown(p, CauseUnknownFlow, now, out)
	case !l.Kind.Idempotent && uncertain:
		return b.drop(p, CauseUnknownResult, out)
	case !l.Kind.Idempotent && lost && !first.standby:
		// A refusal of the predecessor is recorded at its standby only, which
		// was lost as well.
		return b.drop(p, CauseUnknownResult, out)
	case lost:
		return b.admitFirst(p, l, r, now, out)
	}
	return b.admit(p, l, r, !uncertain, now, out)
}

// refuseUnknown resets the connection of a flow that nobody holds. This VM's
// view may be older than the flow, so it drops the packets of the first
// second, in which a newer view arrives, and never resets without a lease.
func (b *Balancer) refuseUnknown(p *Packet, cause Cause, now time.Time, out []Action) []Action {
	s := &b.unknownFlows[uint32(p.hash)%unknownSlots]
	age := tick(now) - s.first
	if s.hash != p.hash || age > ticks(unknownMost) {
		*s = unknownFlow{hash: p.hash, first: tick(now)}
		return b.drop(p, cause, out)
	}
	if age < ticks(unknownLeast) || !now.Before(b.leaseUntil) {
		return b.drop(p, cause, out)
	}
	return b.refuse(p, fleet.Unknown, cause, out)
}

// admit decides about a new flow at the owner of its first candidate.
func (b *Balancer) admit(p *Packet, l *fleet.Listener, r Route, sure bool, now time.Time, out []Action) []Action {
	at := b.places.index(r.First.Key)
	i := b.addFlow(p, l, at, now)
	if i == noEntry {
		return b.drop(p, CauseTableFull, out)
	}
	e := &b.flows.entries[i]
	if sure && b.mayDecide(l.Service, p.hash, r, now) && (!l.Kind.Idempotent || !b.zonesCut()) {
		e.flags |= flagSure
	}
	if b.tryStart(&b.places.all[at], b.request(p, l, now), now) {
		return b.start(i, p, r.First.Target, now, out)
	}
	if r.Second.Target == nil {
		return b.enqueue(i, p, now, out)
	}
	b.step(e, eventOffer)
	e.flags |= flagTentative
	e.epoch = uint32(b.view.Epoch)
	b.setPlace(e, b.places.index(r.Second.Key))
	b.stats.Offered++
	b.replicate(i, now)
	return b.toAway(i, p, now, out)
}

// zonesCut reports whether another zone can't be reached. Such a zone serves
// idempotent requests whose home is here, so that none is surely not run.
func (b *Balancer) zonesCut() bool {
	for i := range b.view.Zones {
		if z := &b.view.Zones[i]; z.ID != b.view.Zone && !z.Reachable && z.State != fleet.Out {
			return true
		}
	}
	return false
}

// admitFirst admits a flow that a lost predecessor may have forwarded to the
// first candidate: it goes there or nowhere.
func (b *Balancer) admitFirst(p *Packet, l *fleet.Listener, r Route, now time.Time, out []Action) []Action {
	at := b.places.index(r.First.Key)
	i := b.addFlow(p, l, at, now)
	if i == noEntry {
		return b.drop(p, CauseTableFull, out)
	}
	if b.tryStart(&b.places.all[at], b.request(p, l, now), now) {
		return b.start(i, p, r.First.Target, now, out)
	}
	return b.enqueue(i, p, now, out)
}

// adopt takes a flow over that runs at a target of this VM already.
func (b *Balancer) adopt(p *Packet, l *fleet.Listener, at uint16, now time.Time, out []Action) []Action {
	i := b.addFlow(p, l, at, now)
	if i == noEntry {
		return b.drop(p, CauseTableFull, out)
	}
	b.adoptEntry(i, eventAdopt, now)
	if !p.Start && !l.Kind.Idempotent {
		b.flows.entries[i].flags |= flagInferred
	}
	out = b.forward(p, b.places.all[at].id, out)
	b.record(timeline.KindFlow, "Adopted", timeline.Event{Flow: p.Flow.String(), Target: b.places.all[at].id.String()}, now)
	b.callerEnd(i, p, now)
	return out
}

// start forwards the first packet of a flow whose slot is taken.
func (b *Balancer) start(i uint32, p *Packet, t *fleet.Target, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	b.step(e, eventForward)
	e.flags = e.flags&^flagTentative | flagSlot
	b.places.all[e.place].connections++
	return b.forward(p, t.ID, out)
}

// enqueue lets a flow wait for its place's target; where that is not possible
// it goes to another zone or is refused.
func (b *Balancer) enqueue(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	l := &b.listeners.all[e.listener]
	pl := &b.places.all[e.place]
	if pl.limiter == nil {
		return b.refuseFlow(i, p, CauseNoSlot, now, out)
	}
	if !b.held.fits(len(p.Payload)) {
		return b.refuseFlow(i, p, CauseHeldFull, now, out)
	}
	evicted, err := pl.limiter.Enqueue(b.request(p, &l.Listener, now), now)
	if err != nil {
		return b.overflow(i, p, now, out)
	}
	b.step(e, eventQueue)
	b.held.put(i, p)
	for _, r := range evicted {
		out = b.refuseQueued(r, CauseEvicted, now, out)
	}
	return out
}

// refuseQueued refuses a request that its limiter has dropped from the queue.
func (b *Balancer) refuseQueued(r Request, cause Cause, now time.Time, out []Action) []Action {
	i := b.findKey(r.Flow)
	if i == noEntry || b.flows.entries[i].state != stateQueued {
		return out
	}
	p := b.held.take(i)
	p.Flow, p.hash = r.Flow, b.flows.entries[i].hash
	return b.refuseFlow(i, &p, cause, now, out)
}

// overflow offers an idempotent flow to the zone with the most free slots. A
// non-idempotent flow stays: a crash of this VM would hide where it went.
func (b *Balancer) overflow(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	l := &b.listeners.all[e.listener]
	zone := b.spareZone(l.Service)
	if zone == nil || !l.Kind.Idempotent || e.flags&flagSure == 0 {
		return b.refuseFlow(i, p, CauseNoSlot, now, out)
	}
	b.step(e, eventOffer)
	e.flags |= flagTentative
	e.epoch = uint32(b.view.Epoch)
	b.setPlace(e, b.placeOfZone(zone.ID))
	b.stats.Overflowed++
	return b.toAway(i, p, now, out)
}

func (b *Balancer) spareZone(s fleet.ServiceID) *fleet.Zone {
	var best *fleet.Zone
	for i := range b.view.Zones {
		z := &b.view.Zones[i]
		if z.ID == b.view.Zone || z.State == fleet.Out || !z.Reachable || z.Spare[s] <= 0 || len(z.Members) == 0 {
			continue
		}
		if best == nil || z.Spare[s] > best.Spare[s] {
			best = z
		}
	}
	return best
}

// refuseFlow refuses a flow and keeps it for its retention time. Where it is
// not certain that no target ran it, or where there is no room to remember the
// refusal, the packet is dropped instead.
func (b *Balancer) refuseFlow(i uint32, p *Packet, cause Cause, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	l := &b.listeners.all[e.listener]
	b.freeSlot(e, admission.Shed, now)
	if e.flags&flagSure == 0 || !b.stillSure(e, now) || b.refusals >= b.cfg.MaxFlows/2 {
		b.removeFlow(i, admission.Cancelled, now)
		return b.drop(p, cause, out)
	}
	b.step(e, eventRefuse)
	e.until = tick(now) + l.retention
	b.record(timeline.KindRefuse, "Refused", timeline.Event{Flow: p.Flow.String(), Service: l.Service, Cause: string(cause)}, now)
	return b.sendRefusal(e, p, cause, out)
}

// stillSure reports whether this VM still decides about a flow that it queued:
// with a valid lease, in the epoch in which it was queued or a later one that
// leaves the place here.
func (b *Balancer) stillSure(e *flowEntry, now time.Time) bool {
	return now.Before(b.leaseUntil) && b.places.all[e.place].owned
}

// sendRefusal passes the packet to the standby, which records the refusal and
// tells the caller.
func (b *Balancer) sendRefusal(e *flowEntry, p *Packet, cause Cause, out []Action) []Action {
	pl := &b.places.all[e.place]
	standby := b.placement.Standby(pl.key)
	if standby == "" || standby == b.self || p.Header.Hops >= MaxHops {
		return b.refuse(p, fleet.NotRun, cause, out)
	}
	b.stats.Refused[cause]++
	return b.pass(p, standby, PassHeader{Mode: Refusal, Target: pl.key, Origin: b.self}, out)
}

// refusal records, at the standby, a refusal of the owner, and tells the
// caller.
func (b *Balancer) refusal(p *Packet, now time.Time, out []Action) []Action {
	if i := b.find(p); i != noEntry {
		switch b.flows.entries[i].state {
		case stateRefused:
			b.flows.entries[i].until = tick(now) + b.listeners.all[b.flows.entries[i].listener].retention
			return b.refuse(p, fleet.NotRun, CauseRefused, out)
		case stateMoved, stateReturned:
			b.removeFlow(i, admission.Cancelled, now)
		default:
			return b.known(i, p, now, out)
		}
	}
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil || b.refusals >= b.cfg.MaxFlows/2 {
		return b.drop(p, CauseRefused, out)
	}
	i := b.addFlow(p, l, b.places.index(p.Header.Target), now)
	if i == noEntry {
		return b.drop(p, CauseTableFull, out)
	}
	e := &b.flows.entries[i]
	b.step(e, eventRefuse)
	e.until = e.seen + b.listeners.all[e.listener].retention
	return b.refuse(p, fleet.NotRun, CauseRefused, out)
}
