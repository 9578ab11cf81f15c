package load

import (
	"errors"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// States of a flow at an owner.
const (
	flowHeld     flowState = iota + 1 // waits here
	flowRunning                       // was forwarded from here
	flowOffered                       // was offered to c2 or another zone
	flowReturned                      // was offered to this VM and returned
	flowRefused
	flowEnded
)

const (
	// retention is the time for which the end or refusal of a flow is kept.
	retention = 2 * time.Second
	// packetBytes is the memory assumed for a held packet.
	packetBytes = 1200
)

// Causes of refusals and drops of the models.
const (
	causeUnsealed    balancer.Cause = "Unsealed"
	causeUnreachable balancer.Cause = "HomeUnreachable"
	causeUnknownFlow balancer.Cause = "UnknownFlow"
	causeNoTarget    balancer.Cause = "NoTarget"
	causeHops        balancer.Cause = "Hops"
	causeExpired     balancer.Cause = "Expired"
	causeEvicted     balancer.Cause = "Evicted"
	causeShed        balancer.Cause = "Shed"
	causeEdge        balancer.Cause = "Edge"
	causeEnded       balancer.Cause = "Ended"
	causeCancelled   balancer.Cause = "Cancelled"
	causeDuplicate   balancer.Cause = "Duplicate"
)

type (
	flowState uint8

	// targetOwner is a small model of strategy 3 around the real admission
	// control. It leaves out the copy of exceptions: after a change of owners or
	// candidates it asks all that may hold the flow.
	targetOwner struct {
		limit  newLimiter
		view   *fleet.View
		sealed *fleet.View // the last sealed view
		past   []pastView  // views whose flows may still be open
		owned  map[fleet.TargetKey]*ownedTarget
		owners map[fleet.TargetKey]fleet.VMID
		flows  map[fleet.FlowKey]*flowRecord
		edges  map[fleet.ServiceID]*admission.Edge
		// ends lists the flows in the order in which they may be forgotten.
		ends []flowEnd
		// late are flows that SetView refuses with the next Tick.
		late []fleet.FlowKey
		out  []balancer.Action
	}

	pastView struct {
		view *fleet.View
		at   time.Time // when it was replaced
	}

	flowEnd struct {
		flow  fleet.FlowKey
		until time.Time
	}

	ownedTarget struct {
		target  *fleet.Target
		limiter limiter
	}

	flowRecord struct {
		state   flowState
		target  fleet.TargetKey
		place   fleet.VMID // where an offered flow went
		offer   balancer.Mode
		origin  fleet.VMID // who offered a returned flow
		kind    *fleet.Kind
		service fleet.ServiceID
		payload []byte
		cause   balancer.Cause
		outcome fleet.Outcome
		until   time.Time
		epoch   fleet.Epoch
	}
)

func newTargetOwner(limit newLimiter) *targetOwner {
	return &targetOwner{
		limit:  limit,
		owned:  make(map[fleet.TargetKey]*ownedTarget),
		owners: make(map[fleet.TargetKey]fleet.VMID),
		flows:  make(map[fleet.FlowKey]*flowRecord),
		edges:  make(map[fleet.ServiceID]*admission.Edge),
	}
}

// SetView takes a new view and the ownership that follows from it.
func (o *targetOwner) SetView(v *fleet.View, now time.Time) {
	first := o.view == nil
	if !first && v.Epoch != o.view.Epoch {
		o.past = append(o.past, pastView{view: o.view, at: now})
	}
	for len(o.past) > 0 && now.After(o.past[0].at.Add(o.longestIdle())) {
		o.past = o.past[1:]
	}
	o.view = v
	if v.Sealed {
		o.sealed = v
	}
	for key := range o.owned {
		if v.Target(key) == nil || o.ownerOf(key) != v.Self {
			// Requests that wait here are left to the caller's retransmission.
			delete(o.owned, key)
		}
	}
	clear(o.owners)
	for i := range v.Targets {
		o.own(&v.Targets[i], first, now)
	}
	for i := range v.Listeners {
		o.edge(v.Listeners[i].Service).SetKinds(o.kinds(v.Listeners[i].Service))
	}
}

func (o *targetOwner) own(t *fleet.Target, first bool, now time.Time) {
	key := t.ID.Key()
	o.owners[key] = memberFor(o.view.Members, uint64(key))
	if o.owners[key] != o.view.Self {
		return
	}
	kinds := o.kinds(t.ID.Service)
	owned := o.owned[key]
	if owned == nil {
		owned = &ownedTarget{limiter: o.limit(*t, kinds, now)}
		if !first && t.State == fleet.TargetReady {
			owned.limiter.Takeover(0, now)
		}
		o.owned[key] = owned
	}
	owned.target = t
	for _, r := range owned.limiter.Configure(*t, kinds, now) {
		o.late = append(o.late, r.Flow)
	}
}

func (o *targetOwner) longestIdle() time.Duration {
	d := time.Duration(0)
	for i := range o.view.Listeners {
		d = max(d, o.view.Listeners[i].Kind.IdleTimeout)
	}
	return d
}

func (o *targetOwner) kinds(s fleet.ServiceID) []fleet.Kind {
	var kinds []fleet.Kind
	for i := range o.view.Listeners {
		if o.view.Listeners[i].Service == s {
			kinds = append(kinds, o.view.Listeners[i].Kind)
		}
	}
	return kinds
}

func (o *targetOwner) ownerOf(key fleet.TargetKey) fleet.VMID {
	return memberFor(o.view.Members, uint64(key))
}

func (o *targetOwner) edge(s fleet.ServiceID) *admission.Edge {
	e := o.edges[s]
	if e == nil {
		e = &admission.Edge{}
		o.edges[s] = e
	}
	return e
}

// Tick starts and expires waiting requests and forgets old records.
func (o *targetOwner) Tick(now time.Time, out []balancer.Action) []balancer.Action {
	o.out = out
	for i := range o.view.Targets {
		if owned := o.owned[o.view.Targets[i].ID.Key()]; owned != nil {
			o.pump(owned, now)
		}
	}
	for _, flow := range o.late {
		if rec := o.flows[flow]; rec != nil && rec.state == flowHeld {
			o.refuse(flow, rec, causeNoTarget, fleet.NotRun, now)
		}
	}
	o.late = o.late[:0]
	o.forget(now)
	return o.out
}

func (o *targetOwner) forget(now time.Time) {
	n := 0
	for n < len(o.ends) && !now.Before(o.ends[n].until) {
		end := o.ends[n]
		n++
		rec := o.flows[end.flow]
		if rec == nil {
			continue
		}
		if now.Before(rec.until) {
			o.ends = append(o.ends, flowEnd{flow: end.flow, until: now.Add(retention)})
			continue
		}
		if owned := o.owned[rec.target]; owned != nil && rec.state == flowRunning {
			owned.limiter.Finish(end.flow, admission.Expired, now)
		}
		delete(o.flows, end.flow)
	}
	o.ends = o.ends[n:]
}

// Handle decides on one packet.
func (o *targetOwner) Handle(p balancer.Packet, now time.Time, out []balancer.Action) []balancer.Action {
	o.out = out
	if p.Source == balancer.FromTarget {
		o.fromTarget(&p, now)
		return o.out
	}
	l := o.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil {
		o.drop(&p, causeUnknownFlow)
		return o.out
	}
	if p.Source == balancer.FromPeer {
		o.edge(l.Service).ObservePressure(l.Kind.Name, p.Header.Pressure, now)
	}
	if p.Header.Hops > balancer.MaxHops {
		o.drop(&p, causeHops)
		return o.out
	}
	if rec := o.flows[p.Flow]; rec != nil && o.known(&p, rec, now) {
		return o.out
	}
	switch p.Header.Mode {
	case balancer.ToSecond, balancer.Overflow:
		o.offered(&p, l, now)
	case balancer.Established:
		o.adopt(&p, l, p.Header.Target, now)
	case balancer.Ask:
		o.pass(&p, balancer.NotHere, p.Header.Origin, p.Header.Target)
		o.out[len(o.out)-1].Header.Step = p.Header.Step
	case balancer.NotHere:
		o.unheld(&p, l, now)
	case balancer.Returned:
		o.drop(&p, causeUnknownFlow)
	default:
		o.place(&p, l, now)
	}
	return o.out
}

// known handles a packet of a flow with a record and reports whether that is
// all.
func (o *targetOwner) known(p *balancer.Packet, rec *flowRecord, now time.Time) bool {
	if p.Header.Mode == balancer.Returned {
		if rec.state == flowOffered {
			o.returned(p, rec, now)
		}
		return true
	}
	rec.until = later(rec.until, now.Add(retention))
	owned := o.owned[rec.target]
	switch rec.state {
	case flowHeld:
		if p.End == balancer.Reset && owned != nil {
			owned.limiter.Cancel(p.Flow, now)
			o.end(rec, now)
		}
		o.drop(p, causeDuplicate)
	case flowRunning:
		o.forwardKnown(p, rec, owned, now)
	case flowOffered:
		mode := rec.offer
		if mode == balancer.ToSecond && (rec.epoch != o.view.Epoch || !p.Start) {
			mode = balancer.Established
		}
		o.pass(p, mode, rec.place, rec.target)
	case flowReturned:
		o.pass(p, balancer.Returned, rec.origin, rec.target)
	case flowRefused:
		o.refuse(p.Flow, rec, rec.cause, rec.outcome, now)
	default:
		o.drop(p, causeEnded)
	}
	return true
}

func (o *targetOwner) forwardKnown(p *balancer.Packet, rec *flowRecord, owned *ownedTarget, now time.Time) {
	t := o.view.Target(rec.target)
	if t == nil {
		o.refuse(p.Flow, rec, causeNoTarget, fleet.Unknown, now)
		return
	}
	if p.End != balancer.Reset {
		o.forward(p.Flow, t.ID, p.Payload)
		return
	}
	o.out = append(o.out, balancer.Action{Op: balancer.Cancel, Flow: p.Flow, Target: t.ID, Payload: p.Payload})
	o.end(rec, now)
	if owned == nil {
		return
	}
	owned.limiter.Cancel(p.Flow, now)
	o.pump(owned, now)
}

// place takes a packet of an unknown flow from the fabric or as ToFirst.
func (o *targetOwner) place(p *balancer.Packet, l *fleet.Listener, now time.Time) {
	h := p.Flow.Hash()
	home := homeZone(o.view, l.Service, h)
	if home == nil {
		o.drop(p, causeNoTarget)
		return
	}
	if home.ID != o.view.Zone {
		if home.Reachable && len(home.Members) > 0 {
			o.pass(p, balancer.ToFirst, memberFor(home.Members, uint64(h)), 0)
			return
		}
		if !l.Kind.Idempotent || !p.Start {
			o.drop(p, causeUnreachable)
			return
		}
	}
	first, second := candidates(o.view, l.Service, h)
	if first == nil {
		o.drop(p, causeNoTarget)
		return
	}
	key := first.ID.Key()
	if owner := o.owners[key]; owner != o.view.Self {
		if p.Source == balancer.FromFabric && p.Start && o.edge(l.Service).Refuse(l.Kind.Name, now) {
			o.refuse(p.Flow, nil, causeEdge, fleet.Unknown, now)
			return
		}
		o.pass(p, balancer.ToFirst, owner, key)
		return
	}
	if o.ask(p, l, 0, now) {
		return
	}
	o.decide(p, l, first, second, now)
}

// ask passes the packet to the next VM that may hold the flow, from the given
// position on, and reports false where none is left.
func (o *targetOwner) ask(p *balancer.Packet, l *fleet.Listener, step uint8, now time.Time) bool {
	places := o.holders(p.Flow, l, now)
	if int(step) >= len(places) {
		return false
	}
	o.pass(p, balancer.Ask, places[step], 0)
	o.out[len(o.out)-1].Header.Step = step
	return true
}

// holders lists the other VMs that may hold a flow that is unknown here, since
// its candidates or their owners have changed lately.
func (o *targetOwner) holders(flow fleet.FlowKey, l *fleet.Listener, now time.Time) []fleet.VMID {
	if len(o.past) == 0 {
		return nil
	}
	var places []fleet.VMID
	add := func(v *fleet.View, t *fleet.Target) {
		if t == nil {
			return
		}
		vm := memberFor(v.Members, uint64(t.ID.Key()))
		if vm != o.view.Self && o.view.Member(vm) != nil && !slices.Contains(places, vm) {
			places = append(places, vm)
		}
	}
	h := flow.Hash()
	first, second := candidates(o.view, l.Service, h)
	changed := false
	for _, past := range o.past {
		if !past.inherits(l, now) {
			continue
		}
		before, beforeSecond := candidates(past.view, l.Service, h)
		if o.moved(past.view, first, before) || o.moved(past.view, second, beforeSecond) {
			changed = true
			add(past.view, before)
			add(past.view, beforeSecond)
		}
	}
	if !changed {
		return nil
	}
	add(o.view, second)
	return places
}

// inherits reports whether flows of the listener that were placed by the view
// may still be open.
func (p *pastView) inherits(l *fleet.Listener, now time.Time) bool {
	return now.Before(p.at.Add(l.Kind.IdleTimeout))
}

// unheld continues after a VM said that it does not hold the flow.
func (o *targetOwner) unheld(p *balancer.Packet, l *fleet.Listener, now time.Time) {
	first, second := candidates(o.view, l.Service, p.Flow.Hash())
	if first == nil || o.owned[first.ID.Key()] == nil {
		o.drop(p, causeUnknownFlow)
		return
	}
	// A visit takes two passes. The list of places bounds visits, and would
	// use up the hop limit after two changes of candidates.
	p.Header.Hops -= 2
	if o.ask(p, l, p.Header.Step+1, now) {
		return
	}
	if !l.Kind.Idempotent {
		// A predecessor may have forwarded it to c1, so it stays there.
		second = nil
	}
	o.decide(p, l, first, second, now)
}

func (o *targetOwner) decide(p *balancer.Packet, l *fleet.Listener, first, second *fleet.Target, now time.Time) {
	owned := o.owned[first.ID.Key()]
	switch {
	case p.End == balancer.Reset:
		o.drop(p, causeCancelled)
		return
	case !p.Start && len(o.past) > 0 && o.past[len(o.past)-1].inherits(l, now):
		o.adopt(p, l, first.ID.Key(), now)
		return
	case !p.Start:
		o.refuse(p.Flow, nil, causeUnknownFlow, fleet.Unknown, now)
		return
	case !l.Kind.Idempotent && o.unsealed(p.Flow, l.Service):
		o.drop(p, causeUnsealed)
		return
	}
	rec := o.record(p, l, first.ID.Key(), now)
	if owned.limiter.TryStart(o.request(p.Flow, rec, now), now) {
		o.run(p.Flow, rec, owned)
		return
	}
	if second == nil {
		o.enqueue(p, rec, now)
		return
	}
	key := second.ID.Key()
	if other := o.owned[key]; other != nil {
		if other.limiter.TryStart(o.request(p.Flow, rec, now), now) {
			rec.target = key
			o.run(p.Flow, rec, other)
			return
		}
		o.enqueue(p, rec, now)
		return
	}
	rec.state = flowOffered
	rec.offer = balancer.ToSecond
	rec.place = o.owners[key]
	rec.epoch = o.view.Epoch
	rec.target = key
	o.pass(p, balancer.ToSecond, rec.place, key)
}

// unsealed reports whether a VM may still decide on the flow in an earlier
// epoch, at another place.
func (o *targetOwner) unsealed(flow fleet.FlowKey, s fleet.ServiceID) bool {
	if o.view.Sealed || o.sealed == nil {
		return !o.view.Sealed
	}
	h := flow.Hash()
	first, second := candidates(o.view, s, h)
	before, beforeSecond := candidates(o.sealed, s, h)
	return o.moved(o.sealed, first, before) || o.moved(o.sealed, second, beforeSecond)
}

// moved reports whether a candidate or its owner differs from that of a past
// view.
func (o *targetOwner) moved(past *fleet.View, a, b *fleet.Target) bool {
	if a == nil || b == nil {
		return a != b
	}
	key := a.ID.Key()
	return a.ID != b.ID || o.owners[key] != memberFor(past.Members, uint64(key))
}

// offered decides on a flow that another owner offers.
func (o *targetOwner) offered(p *balancer.Packet, l *fleet.Listener, now time.Time) {
	key := p.Header.Target
	if p.Header.Mode == balancer.Overflow {
		first, _ := candidates(o.view, l.Service, p.Flow.Hash())
		if first == nil {
			o.pass(p, balancer.Returned, p.Header.Origin, key)
			return
		}
		key = first.ID.Key()
		if owner := o.owners[key]; owner != o.view.Self {
			o.passFor(p, balancer.Overflow, owner, key, p.Header.Origin)
			return
		}
	}
	owned := o.owned[key]
	if owned == nil || !p.Start {
		o.pass(p, balancer.Returned, p.Header.Origin, key)
		return
	}
	rec := o.record(p, l, key, now)
	sealed := l.Kind.Idempotent || p.Header.Mode == balancer.Overflow || !o.unsealed(p.Flow, l.Service)
	if sealed && owned.limiter.TryStart(o.request(p.Flow, rec, now), now) {
		o.run(p.Flow, rec, owned)
		return
	}
	rec.state = flowReturned
	rec.origin = p.Header.Origin
	o.pass(p, balancer.Returned, p.Header.Origin, key)
}

// returned decides on a flow that c2 or another zone gave back.
func (o *targetOwner) returned(p *balancer.Packet, rec *flowRecord, now time.Time) {
	first, _ := candidates(o.view, rec.service, p.Flow.Hash())
	if rec.epoch != o.view.Epoch || first == nil || o.owned[first.ID.Key()] == nil {
		o.refuse(p.Flow, rec, causeNoTarget, fleet.Unknown, now)
		return
	}
	if rec.cause != "" {
		// It was offered to another zone after the queue here refused it.
		o.refuse(p.Flow, rec, rec.cause, fleet.NotRun, now)
		return
	}
	rec.target = first.ID.Key()
	o.enqueue(p, rec, now)
}

func (o *targetOwner) enqueue(p *balancer.Packet, rec *flowRecord, now time.Time) {
	owned := o.owned[rec.target]
	rec.state = flowHeld
	rec.payload = p.Payload
	evicted, err := owned.limiter.Enqueue(o.request(p.Flow, rec, now), now)
	for _, r := range evicted {
		o.refuse(r.Flow, o.flows[r.Flow], causeEvicted, fleet.NotRun, now)
	}
	if err == nil {
		o.pump(owned, now)
		return
	}
	rec.cause = causeOf(err)
	if z := o.spareZone(rec.service); z != nil {
		rec.state = flowOffered
		rec.offer = balancer.Overflow
		rec.epoch = o.view.Epoch
		rec.place = memberFor(z.Members, uint64(p.Flow.Hash()))
		o.pass(p, balancer.Overflow, rec.place, rec.target)
		return
	}
	o.refuse(p.Flow, rec, rec.cause, fleet.NotRun, now)
}

func causeOf(err error) balancer.Cause {
	var refusal *admission.RefusalError
	if errors.As(err, &refusal) {
		return balancer.Cause(refusal.Cause)
	}
	return "Other"
}

func (o *targetOwner) spareZone(s fleet.ServiceID) *fleet.Zone {
	for i := range o.view.Zones {
		z := &o.view.Zones[i]
		if z.ID != o.view.Zone && z.Reachable && z.State != fleet.Out && z.Spare[s] > 0 && len(z.Members) > 0 {
			return z
		}
	}
	return nil
}

// adopt takes over a flow that another owner placed.
func (o *targetOwner) adopt(p *balancer.Packet, l *fleet.Listener, key fleet.TargetKey, now time.Time) {
	owned := o.owned[key]
	if owned == nil || p.End == balancer.Reset {
		o.drop(p, causeUnknownFlow)
		return
	}
	rec := o.record(p, l, key, now)
	owned.limiter.Adopt(o.request(p.Flow, rec, now), now)
	o.run(p.Flow, rec, owned)
}

func (o *targetOwner) fromTarget(p *balancer.Packet, now time.Time) {
	rec := o.flows[p.Flow]
	if rec == nil || rec.state != flowRunning && rec.state != flowEnded || rec.target != p.Target.Key() {
		o.drop(p, causeUnknownFlow)
		return
	}
	result := admission.Completed
	switch p.End {
	case balancer.Shed:
		result = admission.Shed
		o.refuse(p.Flow, rec, causeShed, fleet.Unknown, now)
	case balancer.Done:
		o.end(rec, now)
	default:
		o.out = append(o.out, balancer.Action{Op: balancer.Reply, Flow: p.Flow, Payload: p.Payload})
		return
	}
	if owned := o.owned[rec.target]; owned != nil {
		owned.limiter.Finish(p.Flow, result, now)
		o.pump(owned, now)
	}
}

// pump forwards the waiting requests that may start.
func (o *targetOwner) pump(owned *ownedTarget, now time.Time) {
	started, expired := owned.limiter.Next(now)
	for _, r := range expired {
		o.refuse(r.Flow, o.flows[r.Flow], causeExpired, fleet.NotRun, now)
	}
	for _, r := range started {
		o.run(r.Flow, o.flows[r.Flow], owned)
	}
}

func (o *targetOwner) run(flow fleet.FlowKey, rec *flowRecord, owned *ownedTarget) {
	rec.state = flowRunning
	o.forward(flow, owned.target.ID, rec.payload)
}

func (o *targetOwner) forward(flow fleet.FlowKey, id fleet.TargetID, payload []byte) {
	o.out = append(o.out, balancer.Action{Op: balancer.Forward, Flow: flow, Target: id, Payload: payload})
}

func (o *targetOwner) record(p *balancer.Packet, l *fleet.Listener, key fleet.TargetKey, now time.Time) *flowRecord {
	rec := &flowRecord{
		target:  key,
		kind:    &l.Kind,
		service: l.Service,
		payload: p.Payload,
		until:   now.Add(l.Kind.Deadline + retention),
	}
	o.flows[p.Flow] = rec
	o.ends = append(o.ends, flowEnd{flow: p.Flow, until: now.Add(retention)})
	return rec
}

// request has the deadline that the kind gives from the flow's first packet
// here, which is at most a few milliseconds after the caller sent it.
func (o *targetOwner) request(flow fleet.FlowKey, rec *flowRecord, now time.Time) admission.Request {
	arrived := rec.until.Add(-rec.kind.Deadline - retention)
	return admission.Request{
		Flow:     flow,
		Kind:     rec.kind.Name,
		Arrived:  arrived,
		Deadline: arrived.Add(rec.kind.Deadline),
		Bytes:    packetBytes,
	}
}

func (o *targetOwner) end(rec *flowRecord, now time.Time) {
	rec.state = flowEnded
	rec.payload = nil
	rec.until = now.Add(retention)
}

func (o *targetOwner) refuse(flow fleet.FlowKey, rec *flowRecord, cause balancer.Cause, outcome fleet.Outcome, now time.Time) {
	if rec != nil {
		o.end(rec, now)
		rec.state = flowRefused
		rec.cause = cause
		rec.outcome = outcome
	}
	o.out = append(o.out, balancer.Action{Op: balancer.Refuse, Flow: flow, Cause: cause, Outcome: outcome})
}

func (o *targetOwner) drop(p *balancer.Packet, cause balancer.Cause) {
	o.out = append(o.out, balancer.Action{Op: balancer.Drop, Flow: p.Flow, Cause: cause})
}

func (o *targetOwner) pass(p *balancer.Packet, mode balancer.Mode, to fleet.VMID, key fleet.TargetKey) {
	o.passFor(p, mode, to, key, o.view.Self)
}

func (o *targetOwner) passFor(p *balancer.Packet, mode balancer.Mode, to fleet.VMID, key fleet.TargetKey, origin fleet.VMID) {
	header := balancer.PassHeader{
		Mode:     mode,
		Hops:     p.Header.Hops + 1,
		Epoch:    o.view.Epoch,
		Target:   key,
		Origin:   origin,
		Pressure: o.pressure(key, p.Flow),
	}
	o.out = append(o.out, balancer.Action{Op: balancer.Pass, Flow: p.Flow, Peer: to, Header: header, Payload: p.Payload})
}

// pressure is that of the packet's kind where the target is owned here, and
// otherwise 0, so that a VM does not repeat what it heard.
func (o *targetOwner) pressure(key fleet.TargetKey, flow fleet.FlowKey) uint8 {
	owned, l := o.owned[key], o.view.Listener(flow.VIP, flow.Protocol)
	if owned == nil || l == nil {
		return 0
	}
	return owned.limiter.PressureOf(l.Kind.Name)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
