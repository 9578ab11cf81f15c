package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// exceptionAskStep is the Step of an Ask that was sent because of a replicated
// exception. An Ask to a VM of the list that listAsks makes has a Step of at
// least 1.
const exceptionAskStep = 0

const (
	// maxUnknownFlows is the maximum number of unknown flows that are
	// remembered. In a flood of invalid packets, the records of the flows
	// overwrite each other. Therefore, most connections of these flows are not
	// reset.
	maxUnknownFlows = 4096
	// minResetAge and maxResetAge are the minimum and the maximum time between
	// the first packet of an unknown flow and a packet that is answered with a
	// reset.
	minResetAge = time.Second
	maxResetAge = 10 * time.Second
)

// unknownFlow is the hash of an unknown flow and the time of its first
// packet.
type unknownFlow struct {
	hash  fleet.FlowHash
	first uint32
}

// route handles a packet from the fabric, or one passed as ToFirst.
func (b *Balancer) route(p *Packet, now time.Time, out []Action) []Action {
	if i := b.find(p); i != noEntry {
		return b.handleKnown(i, p, now, out)
	}
	return b.routeUnknown(p, now, out)
}

// routeUnknown routes a packet of a flow without an entry. It passes the
// packet to the home zone of the flow if that is another zone. If that zone is
// unreachable, it routes idempotent flows in this zone and drops the packets of
// non-idempotent flows.
func (b *Balancer) routeUnknown(p *Packet, now time.Time, out []Action) []Action {
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil {
		return b.drop(p, CauseNoListener, out)
	}
	zone := b.placement.HomeZone(l.Service, p.hash)
	if zone == nil || zone.ID == b.view.Zone {
		return b.routeLocal(p, l, true, now, out)
	}
	peer := b.placement.Relay(zone.ID, p.hash)
	if zone.Reachable && peer != "" {
		return b.pass(p, peer, PassHeader{Mode: ToFirst, Uncertain: p.mayHaveRun}, out)
	}
	if l.Kind.Idempotent {
		return b.routeLocal(p, l, false, now, out)
	}
	return b.drop(p, CauseHomeZone, out)
}

// routeLocal routes a packet of a flow without an entry within this zone.
// certain is false if an unreachable zone may have run the request.
func (b *Balancer) routeLocal(p *Packet, l *fleet.Listener, certain bool, now time.Time, out []Action) []Action {
	r := b.cfg.Strategy.Route(b.placement, l.Service, p.hash)
	if r.First.Target == nil {
		return b.drop(p, CauseNoTarget, out)
	}
	if r.Stateless {
		return b.forward(p, r.First.Target.ID, out)
	}
	if r.Decider != "" && r.Decider != b.self {
		return b.pass(p, r.Decider, PassHeader{Mode: ToFirst, Target: r.First.Key, Uncertain: p.mayHaveRun}, out)
	}
	certain = certain && !p.mayHaveRun && (p.Header.Mode != ToFirst || !p.Header.Uncertain)
	if r.NoTargetOwners {
		return b.decideWithoutOwners(p, l, r, now, out)
	}
	if p.Start && !l.Kind.Idempotent && !b.mayDecide(l.Service, p.hash, r, now) {
		return b.holdStart(p, l, now, out)
	}
	if rep, ok := b.replicatedExceptions[exceptionKey{b.dests.index(r.First.Key), fingerprint(p.hash)}]; ok {
		return b.askExceptionDest(p, l, r, rep.dest, certain, now, out)
	}
	return b.ask(p, l, r, 0, !certain, now, out)
}

// decideWithoutOwners decides about a flow under a strategy without target
// owners. For a start packet, it chooses the candidate with fewer connections.
// For other packets, it chooses the first candidate.
func (b *Balancer) decideWithoutOwners(p *Packet, l *fleet.Listener, r Route, now time.Time, out []Action) []Action {
	t, at := r.First.Target, b.dests.index(r.First.Key)
	if r.Second.Target != nil && p.Start {
		second := b.dests.index(r.Second.Key)
		if b.dests.all[second].connections < b.dests.all[at].connections {
			t, at = r.Second.Target, second
		}
	}
	i := b.addFlow(p, l, at, now)
	if i == noEntry {
		return b.drop(p, CauseTableFull, out)
	}
	return b.start(i, p, t, now, out)
}

// ask passes the packet to the VM at index step of the list that listAsks
// makes, since that VM may hold the flow. If step is past the end of the list,
// it decides about the flow.
func (b *Balancer) ask(p *Packet, l *fleet.Listener, r Route, step int, uncertain bool, now time.Time, out []Action) []Action {
	window := windowOf(p, l)
	uncertain = b.listAsks(l.Service, p.hash, r, window, now) || uncertain
	if step < len(b.askDests) {
		a := b.askDests[step]
		return b.pass(p, a.vm, PassHeader{Mode: Ask, Step: uint8(step + 1), Target: a.key, Origin: b.self, Uncertain: uncertain && p.Start}, out)
	}
	return b.decide(p, l, r, uncertain, now, out)
}

// windowOf returns the time in ms for which an earlier decision matters to
// the packet. Late duplicates of a start packet arrive within the retention
// time; a flow that sent nothing for the idle timeout has ended.
func windowOf(p *Packet, l *fleet.Listener) uint32 {
	if p.Start {
		return ticks(l.Kind.Deadline + retentionSlack)
	}
	return ticks(l.Kind.IdleTimeout)
}

// decide decides about a flow after every VM of listAsks has replied that it
// does not hold the flow.
func (b *Balancer) decide(p *Packet, l *fleet.Listener, r Route, uncertain bool, now time.Time, out []Action) []Action {
	first := &b.dests.all[b.dests.index(r.First.Key)]
	window := windowOf(p, l)
	lost := first.lostWithin(tick(now), window)
	if !p.Start && p.Flow.Protocol == fleet.UDP && !uncertain && !first.lacksRecordsWithin(tick(now), window) {
		// A UDP packet does not show whether it is the first of its flow.
		p.Start = true
		if !l.Kind.Idempotent && !b.mayDecide(l.Service, p.hash, r, now) {
			return b.holdStart(p, l, now, out)
		}
	}
	switch {
	case !p.Start && (uncertain || first.lacksRecordsWithin(tick(now), window)):
		return b.adopt(p, l, b.dests.index(r.First.Key), now, out)
	case !p.Start:
		return b.resetUnknown(p, CauseUnknownFlow, now, out)
	case !l.Kind.Idempotent && uncertain:
		return b.drop(p, CauseUnknownResult, out)
	case !l.Kind.Idempotent && lost && !first.wasStandby:
		// The previous owner may have refused the flow. Only that VM and its
		// standby recorded such a refusal, and this VM was not the standby.
		return b.drop(p, CauseUnknownResult, out)
	case lost:
		return b.admitFirstOnly(p, l, r, now, out)
	}
	return b.admit(p, l, r, !uncertain, now, out)
}

// resetUnknown refuses a packet of a flow that no VM holds, with a TCP reset or
// an ICMP error. The flow may be newer than the view of this VM, and a newer
// view arrives within a second. Therefore it drops the packets of the flow in
// the second after the first one, and all packets while this VM has no valid
// lease.
func (b *Balancer) resetUnknown(p *Packet, cause Cause, now time.Time, out []Action) []Action {
	s := &b.unknownFlows[uint32(p.hash)%maxUnknownFlows]
	age := tick(now) - s.first
	if s.hash != p.hash || age > ticks(maxResetAge) {
		*s = unknownFlow{hash: p.hash, first: tick(now)}
		return b.drop(p, cause, out)
	}
	if age < ticks(minResetAge) || !now.Before(b.leaseUntil) {
		return b.drop(p, cause, out)
	}
	return b.refuse(p, fleet.OutcomeUnknown, cause, out)
}

// admit decides about a new flow as the owner of its first candidate. certain
// is false if a target may have run the request already.
func (b *Balancer) admit(p *Packet, l *fleet.Listener, r Route, certain bool, now time.Time, out []Action) []Action {
	at := b.dests.index(r.First.Key)
	i := b.addFlow(p, l, at, now)
	if i == noEntry {
		return b.drop(p, CauseTableFull, out)
	}
	e := &b.flows.entries[i]
	if certain && b.mayDecide(l.Service, p.hash, r, now) && (!l.Kind.Idempotent || !b.anyZoneUnreachable()) {
		e.flags |= flagProvenNotRun
	}
	if b.tryStart(&b.dests.all[at], b.request(p, l, now), now) {
		return b.start(i, p, r.First.Target, now, out)
	}
	if r.Second.Target == nil {
		return b.enqueue(i, p, now, out)
	}
	b.transition(e, eventOffer)
	e.flags |= flagTentative
	e.epoch = uint32(b.view.Epoch)
	b.setDest(e, b.dests.index(r.Second.Key))
	b.stats.Offered++
	b.replicate(i, now)
	return b.passAway(i, p, now, out)
}

// anyZoneUnreachable reports whether another zone that is in service cannot
// be reached. Such a zone may serve idempotent requests whose home zone is
// this one, so none of them can be reported as NotRun.
func (b *Balancer) anyZoneUnreachable() bool {
	for i := range b.view.Zones {
		if z := &b.view.Zones[i]; z.ID != b.view.Zone && !z.Reachable && z.State != fleet.ZoneOut {
			return true
		}
	}
	return false
}

// admitFirstOnly admits a flow that the previous owner, whose records are lost,
// may have forwarded to the first candidate. The flow is never offered to the
// second candidate, where it could run a second time.
func (b *Balancer) admitFirstOnly(p *Packet, l *fleet.Listener, r Route, now time.Time, out []Action) []Action {
	at := b.dests.index(r.First.Key)
	i := b.addFlow(p, l, at, now)
	if i == noEntry {
		return b.drop(p, CauseTableFull, out)
	}
	if b.tryStart(&b.dests.all[at], b.request(p, l, now), now) {
		return b.start(i, p, r.First.Target, now, out)
	}
	return b.enqueue(i, p, now, out)
}

// adopt takes over a flow that is known or assumed to run at a target of this
// VM.
func (b *Balancer) adopt(p *Packet, l *fleet.Listener, at uint16, now time.Time, out []Action) []Action {
	i := b.addFlow(p, l, at, now)
	if i == noEntry {
		return b.drop(p, CauseTableFull, out)
	}
	b.adoptEntry(i, eventAdopt, now)
	if !p.Start && !l.Kind.Idempotent {
		b.flows.entries[i].flags |= flagInferred
	}
	out = b.forward(p, b.dests.all[at].id, out)
	b.record(timeline.KindFlow, "Adopted", timeline.Event{Flow: p.Flow.String(), Target: b.dests.all[at].id.String()}, now)
	b.handleCallerEnd(i, p, now)
	return out
}

// start forwards the first packet of a flow that has taken a slot.
func (b *Balancer) start(i uint32, p *Packet, t *fleet.Target, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	b.transition(e, eventForward)
	e.flags = e.flags&^flagTentative | flagSlot
	b.dests.all[e.dest].connections++
	return b.forward(p, t.ID, out)
}

// enqueue queues a flow at the limiter of its destination. If that is not
// possible, the flow is offered to another zone or refused.
func (b *Balancer) enqueue(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	l := &b.listeners.all[e.listener]
	d := &b.dests.all[e.dest]
	if d.limiter == nil {
		return b.refuseFlow(i, p, CauseNoSlot, now, out)
	}
	if !b.held.fits(len(p.Payload)) {
		return b.refuseFlow(i, p, CauseHeldFull, now, out)
	}
	evicted, err := d.limiter.Enqueue(b.request(p, &l.Listener, now), now)
	if err != nil {
		return b.overflow(i, p, now, out)
	}
	b.transition(e, eventQueue)
	b.held.put(i, p)
	for _, r := range evicted {
		out = b.refuseQueued(r, CauseEvicted, now, out)
	}
	return out
}

// refuseQueued refuses a request that its limiter removed from the queue.
func (b *Balancer) refuseQueued(r Request, cause Cause, now time.Time, out []Action) []Action {
	i := b.findKey(r.Flow)
	if i == noEntry || b.flows.entries[i].state != stateQueued {
		return out
	}
	p := b.held.take(i)
	p.Flow, p.hash = r.Flow, b.flows.entries[i].hash
	return b.refuseFlow(i, &p, cause, now, out)
}

// overflow offers an idempotent flow to the zone with the most free slots. It
// refuses the flow instead if no other zone has free slots or if a target may
// have run the request. A non-idempotent flow is always refused: after a crash
// of this VM, it would be unknown which zone received the flow.
func (b *Balancer) overflow(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	l := &b.listeners.all[e.listener]
	zone := b.spareZone(l.Service)
	if zone == nil || !l.Kind.Idempotent || e.flags&flagProvenNotRun == 0 {
		return b.refuseFlow(i, p, CauseNoSlot, now, out)
	}
	b.transition(e, eventOffer)
	e.flags |= flagTentative
	e.epoch = uint32(b.view.Epoch)
	b.setDest(e, b.destOfZone(zone.ID))
	b.stats.Overflowed++
	return b.passAway(i, p, now, out)
}

func (b *Balancer) spareZone(s fleet.ServiceID) *fleet.Zone {
	var best *fleet.Zone
	for i := range b.view.Zones {
		z := &b.view.Zones[i]
		if z.ID == b.view.Zone || z.State == fleet.ZoneOut || !z.Reachable || z.Spare[s] <= 0 || len(z.Members) == 0 {
			continue
		}
		if best == nil || z.Spare[s] > best.Spare[s] {
			best = z
		}
	}
	return best
}

// refuseFlow refuses a flow and remembers the refusal for the retention time.
// It drops the packet without a refusal if a target may have run the request,
// if this VM no longer decides about the flow, or if too many refusals are
// remembered.
func (b *Balancer) refuseFlow(i uint32, p *Packet, cause Cause, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	l := &b.listeners.all[e.listener]
	b.freeSlot(e, admission.Shed, now)
	if p.mayHaveRun {
		// Later copies must not look like those of a request that is new here.
		b.transition(e, eventLose)
		e.expires = tick(now) + l.retention
		return b.drop(p, cause, out)
	}
	if e.flags&flagProvenNotRun == 0 || !b.stillDecides(e, now) || b.refusals >= b.cfg.MaxFlows/2 {
		b.removeFlow(i, admission.Cancelled, now)
		return b.drop(p, cause, out)
	}
	b.transition(e, eventRefuse)
	e.expires = tick(now) + l.retention
	b.record(timeline.KindRefuse, "Refused", timeline.Event{Flow: p.Flow.String(), Service: l.Service, Cause: string(cause)}, now)
	return b.sendRefusal(e, p, cause, out)
}

// stillDecides reports whether this VM may still refuse a flow: the lease of
// this VM is valid, and this VM owns the destination of the flow.
func (b *Balancer) stillDecides(e *flowEntry, now time.Time) bool {
	return now.Before(b.leaseUntil) && b.dests.all[e.dest].owned
}

// sendRefusal passes the packet to the standby, which records the refusal and
// answers the caller. Without a standby, this VM answers the caller.
func (b *Balancer) sendRefusal(e *flowEntry, p *Packet, cause Cause, out []Action) []Action {
	d := &b.dests.all[e.dest]
	standby := b.placement.Standby(d.key)
	if standby == "" || standby == b.self || p.Header.Hops >= MaxHops {
		return b.refuse(p, fleet.NotRun, cause, out)
	}
	b.stats.Refused[cause]++
	return b.pass(p, standby, PassHeader{Mode: Refusal, Target: d.key, Origin: b.self}, out)
}

// handleRefusal handles Refusal at the standby: it records the owner's refusal
// of the flow and answers the caller.
func (b *Balancer) handleRefusal(p *Packet, now time.Time, out []Action) []Action {
	if i := b.find(p); i != noEntry {
		switch b.flows.entries[i].state {
		case stateRefused:
			b.flows.entries[i].expires = tick(now) + b.listeners.all[b.flows.entries[i].listener].retention
			return b.refuse(p, fleet.NotRun, CauseRefused, out)
		case stateMoved, stateReturned:
			b.removeFlow(i, admission.Cancelled, now)
		default:
			return b.handleKnown(i, p, now, out)
		}
	}
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil || b.refusals >= b.cfg.MaxFlows/2 {
		return b.drop(p, CauseRefused, out)
	}
	i := b.addFlow(p, l, b.dests.index(p.Header.Target), now)
	if i == noEntry {
		return b.drop(p, CauseTableFull, out)
	}
	e := &b.flows.entries[i]
	b.transition(e, eventRefuse)
	e.expires = e.lastSeen + b.listeners.all[e.listener].retention
	return b.refuse(p, fleet.NotRun, CauseRefused, out)
}
