package load

import (
	"errors"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// States of a flow at a VM that has a record of the flow.
const (
	flowQueued   flowState = iota + 1 // waits in the queue of a target that this VM owns
	flowRunning                       // was forwarded to a target by this VM
	flowOffered                       // was offered to the second candidate's owner or another zone
	flowReturned                      // was offered to this VM, which returned it
	flowRefused
	flowEnded
)

const (
	// retention is the time for which the record of an ended or refused flow
	// is kept.
	retention = 2 * time.Second
	// packetBytes is the memory assumed for a queued packet.
	packetBytes = 1200
)

// Causes of refusals and drops in the models.
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

	// targetOwner is a small model of strategy 3, TargetOwner, with the same
	// admission controls as pkg/balancer. In pkg/balancer, owners replicate a
	// record, called an exception, of each flow that is not at its first
	// candidate. The model has no exceptions. After a change of owners or
	// candidates, an owner that does not know a flow asks the VMs that may have
	// a record of the flow, one after the other.
	targetOwner struct {
		makeLimiter limiterConstructor
		view        *fleet.View
		sealed      *fleet.View // most recent sealed view
		pastViews   []pastView  // earlier views whose flows may still be open
		owned       map[fleet.TargetKey]*ownedTarget
		owners      map[fleet.TargetKey]fleet.VMID
		flows       map[fleet.FlowKey]*flowRecord
		edges       map[fleet.ServiceID]*admission.Edge
		// expirations lists flows in the order in which their records expire.
		expirations []flowExpiration
		// pendingRefusals are flows evicted in SetView; the next Tick refuses them.
		pendingRefusals []fleet.FlowKey
		out             []balancer.Action
	}

	pastView struct {
		view       *fleet.View
		replacedAt time.Time
	}

	flowExpiration struct {
		flow fleet.FlowKey
		at   time.Time
	}

	ownedTarget struct {
		target  *fleet.Target
		limiter limiter
	}

	flowRecord struct {
		state     flowState
		target    fleet.TargetKey
		offeredTo fleet.VMID // VM to which the flow was offered
		offerMode balancer.Mode
		origin    fleet.VMID // VM that offered a returned flow
		kind      *fleet.Kind
		service   fleet.ServiceID
		payload   []byte
		cause     balancer.Cause
		outcome   fleet.Outcome
		expiresAt time.Time
		epoch     fleet.Epoch
	}
)

func newTargetOwner(makeLimiter limiterConstructor) *targetOwner {
	return &targetOwner{
		makeLimiter: makeLimiter,
		owned:       make(map[fleet.TargetKey]*ownedTarget),
		owners:      make(map[fleet.TargetKey]fleet.VMID),
		flows:       make(map[fleet.FlowKey]*flowRecord),
		edges:       make(map[fleet.ServiceID]*admission.Edge),
	}
}

// SetView applies a new view and updates the owners of its targets.
func (o *targetOwner) SetView(v *fleet.View, now time.Time) {
	firstView := o.view == nil
	if !firstView && v.Epoch != o.view.Epoch {
		o.pastViews = append(o.pastViews, pastView{view: o.view, replacedAt: now})
	}
	for len(o.pastViews) > 0 && now.After(o.pastViews[0].replacedAt.Add(o.longestIdleTimeout())) {
		o.pastViews = o.pastViews[1:]
	}
	o.view = v
	if v.Sealed {
		o.sealed = v
	}
	for key := range o.owned {
		if v.Target(key) == nil || o.ownerOf(key) != v.Self {
			// Requests queued here are dropped without a refusal. While this VM
			// keeps the record of a dropped request's flow, handleKnown drops
			// retransmissions of the request as duplicates.
			delete(o.owned, key)
		}
	}
	clear(o.owners)
	for i := range v.Targets {
		o.updateOwner(&v.Targets[i], firstView, now)
	}
	for i := range v.Listeners {
		o.edge(v.Listeners[i].Service).SetKinds(o.kinds(v.Listeners[i].Service))
	}
}

func (o *targetOwner) updateOwner(t *fleet.Target, firstView bool, now time.Time) {
	key := t.ID.Key()
	o.owners[key] = memberFor(o.view.Members, uint64(key))
	if o.owners[key] != o.view.Self {
		return
	}
	kinds := o.kinds(t.ID.Service)
	owned := o.owned[key]
	if owned == nil {
		owned = &ownedTarget{limiter: o.makeLimiter(*t, kinds, now)}
		if !firstView && t.State == fleet.TargetReady {
			owned.limiter.Takeover(0, now)
		}
		o.owned[key] = owned
	}
	owned.target = t
	for _, r := range owned.limiter.Configure(*t, kinds, now) {
		o.pendingRefusals = append(o.pendingRefusals, r.Flow)
	}
}

func (o *targetOwner) longestIdleTimeout() time.Duration {
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

// Tick starts or refuses queued requests and removes expired records.
func (o *targetOwner) Tick(now time.Time, out []balancer.Action) []balancer.Action {
	o.out = out
	for i := range o.view.Targets {
		if owned := o.owned[o.view.Targets[i].ID.Key()]; owned != nil {
			o.startQueued(owned, now)
		}
	}
	for _, flow := range o.pendingRefusals {
		if rec := o.flows[flow]; rec != nil && rec.state == flowQueued {
			o.refuse(flow, rec, causeNoTarget, fleet.NotRun, now)
		}
	}
	o.pendingRefusals = o.pendingRefusals[:0]
	o.removeExpired(now)
	return o.out
}

func (o *targetOwner) removeExpired(now time.Time) {
	n := 0
	for n < len(o.expirations) && !now.Before(o.expirations[n].at) {
		expiration := o.expirations[n]
		n++
		rec := o.flows[expiration.flow]
		if rec == nil {
			continue
		}
		if now.Before(rec.expiresAt) {
			o.expirations = append(o.expirations, flowExpiration{flow: expiration.flow, at: now.Add(retention)})
			continue
		}
		if owned := o.owned[rec.target]; owned != nil && rec.state == flowRunning {
			owned.limiter.Finish(expiration.flow, admission.Expired, now)
		}
		delete(o.flows, expiration.flow)
	}
	o.expirations = o.expirations[n:]
}

// Handle processes one packet and appends the resulting actions to out.
func (o *targetOwner) Handle(p balancer.Packet, now time.Time, out []balancer.Action) []balancer.Action {
	o.out = out
	if p.Source == balancer.FromTarget {
		o.handleTargetPacket(&p, now)
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
	if rec := o.flows[p.Flow]; rec != nil && o.handleKnown(&p, rec, now) {
		return o.out
	}
	switch p.Header.Mode {
	case balancer.ToSecond, balancer.Overflow:
		o.handleOffer(&p, l, now)
	case balancer.Established:
		o.adopt(&p, l, p.Header.Target, now)
	case balancer.Ask:
		o.pass(&p, balancer.NotHere, p.Header.Origin, p.Header.Target)
		o.out[len(o.out)-1].Header.Step = p.Header.Step
	case balancer.NotHere:
		o.handleNotHere(&p, l, now)
	case balancer.Returned:
		o.drop(&p, causeUnknownFlow)
	default:
		o.placeFlow(&p, l, now)
	}
	return o.out
}

// handleKnown handles a packet of a flow that has a record. It always returns
// true, because the packet needs no further handling.
func (o *targetOwner) handleKnown(p *balancer.Packet, rec *flowRecord, now time.Time) bool {
	if p.Header.Mode == balancer.Returned {
		if rec.state == flowOffered {
			o.handleReturn(p, rec, now)
		}
		return true
	}
	rec.expiresAt = later(rec.expiresAt, now.Add(retention))
	owned := o.owned[rec.target]
	switch rec.state {
	case flowQueued:
		if p.End == balancer.Reset && owned != nil {
			owned.limiter.Cancel(p.Flow, now)
			o.markEnded(rec, now)
		}
		o.drop(p, causeDuplicate)
	case flowRunning:
		o.forwardKnown(p, rec, owned, now)
	case flowOffered:
		mode := rec.offerMode
		if mode == balancer.ToSecond && (rec.epoch != o.view.Epoch || !p.Start) {
			mode = balancer.Established
		}
		o.pass(p, mode, rec.offeredTo, rec.target)
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
		o.refuse(p.Flow, rec, causeNoTarget, fleet.OutcomeUnknown, now)
		return
	}
	if p.End != balancer.Reset {
		o.forward(p.Flow, t.ID, p.Payload)
		return
	}
	o.out = append(o.out, balancer.Action{Op: balancer.Cancel, Flow: p.Flow, Target: t.ID, Payload: p.Payload})
	o.markEnded(rec, now)
	if owned == nil {
		return
	}
	owned.limiter.Cancel(p.Flow, now)
	o.startQueued(owned, now)
}

// placeFlow handles a packet whose flow is unknown here. The packet came from
// the fabric, or was passed with mode ToFirst.
func (o *targetOwner) placeFlow(p *balancer.Packet, l *fleet.Listener, now time.Time) {
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
			o.refuse(p.Flow, nil, causeEdge, fleet.OutcomeUnknown, now)
			return
		}
		o.pass(p, balancer.ToFirst, owner, key)
		return
	}
	if o.askHolder(p, l, 0, now) {
		return
	}
	o.decide(p, l, first, second, now)
}

// askHolder passes the packet to the VM at index step of possibleHolders. It
// reports false if there is no such VM.
func (o *targetOwner) askHolder(p *balancer.Packet, l *fleet.Listener, step uint8, now time.Time) bool {
	holders := o.possibleHolders(p.Flow, l, now)
	if int(step) >= len(holders) {
		return false
	}
	o.pass(p, balancer.Ask, holders[step], 0)
	o.out[len(o.out)-1].Header.Step = step
	return true
}

// possibleHolders lists the other VMs that may have a record of the flow. The
// list is empty unless a candidate of the flow, or the owner of a candidate, has
// changed since a past view whose flows may still be open.
func (o *targetOwner) possibleHolders(flow fleet.FlowKey, l *fleet.Listener, now time.Time) []fleet.VMID {
	if len(o.pastViews) == 0 {
		return nil
	}
	var holders []fleet.VMID
	add := func(v *fleet.View, t *fleet.Target) {
		if t == nil {
			return
		}
		vm := memberFor(v.Members, uint64(t.ID.Key()))
		if vm != o.view.Self && o.view.Member(vm) != nil && !slices.Contains(holders, vm) {
			holders = append(holders, vm)
		}
	}
	h := flow.Hash()
	first, second := candidates(o.view, l.Service, h)
	changed := false
	for _, past := range o.pastViews {
		if !past.mayHaveOpenFlows(l, now) {
			continue
		}
		pastFirst, pastSecond := candidates(past.view, l.Service, h)
		if o.candidateChanged(past.view, first, pastFirst) || o.candidateChanged(past.view, second, pastSecond) {
			changed = true
			add(past.view, pastFirst)
			add(past.view, pastSecond)
		}
	}
	if !changed {
		return nil
	}
	add(o.view, second)
	return holders
}

// mayHaveOpenFlows reports whether flows of the listener that were placed under
// the view may still be open.
func (p *pastView) mayHaveOpenFlows(l *fleet.Listener, now time.Time) bool {
	return now.Before(p.replacedAt.Add(l.Kind.IdleTimeout))
}

// handleNotHere handles the reply of a VM that has no record of the flow. It asks
// the next possible holder, or decides on the flow if there is no other.
func (o *targetOwner) handleNotHere(p *balancer.Packet, l *fleet.Listener, now time.Time) {
	first, second := candidates(o.view, l.Service, p.Flow.Hash())
	if first == nil || o.owned[first.ID.Key()] == nil {
		o.drop(p, causeUnknownFlow)
		return
	}
	// Asking a VM takes two passes, which do not count as hops. If they did,
	// the packet would exceed the hop limit after two changes of candidates.
	// The list of holders bounds the number of these passes.
	p.Header.Hops -= 2
	if o.askHolder(p, l, p.Header.Step+1, now) {
		return
	}
	if !l.Kind.Idempotent {
		// An earlier owner may have forwarded the flow to the first candidate,
		// so the second candidate must not run the flow as well.
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
	case !p.Start && len(o.pastViews) > 0 && o.pastViews[len(o.pastViews)-1].mayHaveOpenFlows(l, now):
		o.adopt(p, l, first.ID.Key(), now)
		return
	case !p.Start:
		o.refuse(p.Flow, nil, causeUnknownFlow, fleet.OutcomeUnknown, now)
		return
	case !l.Kind.Idempotent && o.unsealed(p.Flow, l.Service):
		o.drop(p, causeUnsealed)
		return
	}
	rec := o.addRecord(p, l, first.ID.Key(), now)
	if owned.limiter.TryStart(o.request(p.Flow, rec, now), now) {
		o.startFlow(p.Flow, rec, owned)
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
			o.startFlow(p.Flow, rec, other)
			return
		}
		o.enqueue(p, rec, now)
		return
	}
	rec.state = flowOffered
	rec.offerMode = balancer.ToSecond
	rec.offeredTo = o.owners[key]
	rec.epoch = o.view.Epoch
	rec.target = key
	o.pass(p, balancer.ToSecond, rec.offeredTo, key)
}

// unsealed reports whether another VM may still decide on the flow in an earlier
// epoch.
func (o *targetOwner) unsealed(flow fleet.FlowKey, s fleet.ServiceID) bool {
	if o.view.Sealed || o.sealed == nil {
		return !o.view.Sealed
	}
	h := flow.Hash()
	first, second := candidates(o.view, s, h)
	pastFirst, pastSecond := candidates(o.sealed, s, h)
	return o.candidateChanged(o.sealed, first, pastFirst) || o.candidateChanged(o.sealed, second, pastSecond)
}

// candidateChanged compares candidate a of the current view with candidate b of
// a past view. It reports whether the targets or their owners differ.
func (o *targetOwner) candidateChanged(past *fleet.View, a, b *fleet.Target) bool {
	if a == nil || b == nil {
		return a != b
	}
	key := a.ID.Key()
	return a.ID != b.ID || o.owners[key] != memberFor(past.Members, uint64(key))
}

// handleOffer decides on a flow that another owner has offered.
func (o *targetOwner) handleOffer(p *balancer.Packet, l *fleet.Listener, now time.Time) {
	key := p.Header.Target
	if p.Header.Mode == balancer.Overflow {
		first, _ := candidates(o.view, l.Service, p.Flow.Hash())
		if first == nil {
			o.pass(p, balancer.Returned, p.Header.Origin, key)
			return
		}
		key = first.ID.Key()
		if owner := o.owners[key]; owner != o.view.Self {
			o.passWithOrigin(p, balancer.Overflow, owner, key, p.Header.Origin)
			return
		}
	}
	owned := o.owned[key]
	if owned == nil || !p.Start {
		o.pass(p, balancer.Returned, p.Header.Origin, key)
		return
	}
	rec := o.addRecord(p, l, key, now)
	mayStart := l.Kind.Idempotent || p.Header.Mode == balancer.Overflow || !o.unsealed(p.Flow, l.Service)
	if mayStart && owned.limiter.TryStart(o.request(p.Flow, rec, now), now) {
		o.startFlow(p.Flow, rec, owned)
		return
	}
	rec.state = flowReturned
	rec.origin = p.Header.Origin
	o.pass(p, balancer.Returned, p.Header.Origin, key)
}

// handleReturn decides on a flow that the second candidate's owner or another
// zone has returned.
func (o *targetOwner) handleReturn(p *balancer.Packet, rec *flowRecord, now time.Time) {
	first, _ := candidates(o.view, rec.service, p.Flow.Hash())
	if rec.epoch != o.view.Epoch || first == nil || o.owned[first.ID.Key()] == nil {
		o.refuse(p.Flow, rec, causeNoTarget, fleet.OutcomeUnknown, now)
		return
	}
	if rec.cause != "" {
		// The flow was offered to another zone after the queue here refused it.
		o.refuse(p.Flow, rec, rec.cause, fleet.NotRun, now)
		return
	}
	rec.target = first.ID.Key()
	o.enqueue(p, rec, now)
}

func (o *targetOwner) enqueue(p *balancer.Packet, rec *flowRecord, now time.Time) {
	owned := o.owned[rec.target]
	rec.state = flowQueued
	rec.payload = p.Payload
	evicted, err := owned.limiter.Enqueue(o.request(p.Flow, rec, now), now)
	for _, r := range evicted {
		o.refuse(r.Flow, o.flows[r.Flow], causeEvicted, fleet.NotRun, now)
	}
	if err == nil {
		o.startQueued(owned, now)
		return
	}
	rec.cause = causeOf(err)
	if z := o.zoneWithSpareSlots(rec.service); z != nil {
		rec.state = flowOffered
		rec.offerMode = balancer.Overflow
		rec.epoch = o.view.Epoch
		rec.offeredTo = memberFor(z.Members, uint64(p.Flow.Hash()))
		o.pass(p, balancer.Overflow, rec.offeredTo, rec.target)
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

func (o *targetOwner) zoneWithSpareSlots(s fleet.ServiceID) *fleet.Zone {
	for i := range o.view.Zones {
		z := &o.view.Zones[i]
		if z.ID != o.view.Zone && z.Reachable && z.State != fleet.ZoneOut && z.Spare[s] > 0 && len(z.Members) > 0 {
			return z
		}
	}
	return nil
}

// adopt adds a record of a flow that another VM may have placed at the target,
// and forwards the packet to the target. The limiter counts the flow, but can't
// refuse it.
func (o *targetOwner) adopt(p *balancer.Packet, l *fleet.Listener, key fleet.TargetKey, now time.Time) {
	owned := o.owned[key]
	if owned == nil || p.End == balancer.Reset {
		o.drop(p, causeUnknownFlow)
		return
	}
	rec := o.addRecord(p, l, key, now)
	owned.limiter.Adopt(o.request(p.Flow, rec, now), now)
	o.startFlow(p.Flow, rec, owned)
}

func (o *targetOwner) handleTargetPacket(p *balancer.Packet, now time.Time) {
	rec := o.flows[p.Flow]
	if rec == nil || rec.state != flowRunning && rec.state != flowEnded || rec.target != p.Target.Key() {
		o.drop(p, causeUnknownFlow)
		return
	}
	result := admission.Completed
	switch p.End {
	case balancer.Shed:
		result = admission.Shed
		o.refuse(p.Flow, rec, causeShed, fleet.OutcomeUnknown, now)
	case balancer.Done:
		o.markEnded(rec, now)
	default:
		o.out = append(o.out, balancer.Action{Op: balancer.Reply, Flow: p.Flow, Payload: p.Payload})
		return
	}
	if owned := o.owned[rec.target]; owned != nil {
		owned.limiter.Finish(p.Flow, result, now)
		o.startQueued(owned, now)
	}
}

// startQueued forwards the queued requests that may start, and refuses those
// whose deadline has passed.
func (o *targetOwner) startQueued(owned *ownedTarget, now time.Time) {
	started, expired := owned.limiter.Next(now)
	for _, r := range expired {
		o.refuse(r.Flow, o.flows[r.Flow], causeExpired, fleet.NotRun, now)
	}
	for _, r := range started {
		o.startFlow(r.Flow, o.flows[r.Flow], owned)
	}
}

func (o *targetOwner) startFlow(flow fleet.FlowKey, rec *flowRecord, owned *ownedTarget) {
	rec.state = flowRunning
	o.forward(flow, owned.target.ID, rec.payload)
}

func (o *targetOwner) forward(flow fleet.FlowKey, id fleet.TargetID, payload []byte) {
	o.out = append(o.out, balancer.Action{Op: balancer.Forward, Flow: flow, Target: id, Payload: payload})
}

func (o *targetOwner) addRecord(p *balancer.Packet, l *fleet.Listener, key fleet.TargetKey, now time.Time) *flowRecord {
	rec := &flowRecord{
		target:    key,
		kind:      &l.Kind,
		service:   l.Service,
		payload:   p.Payload,
		expiresAt: now.Add(l.Kind.Deadline + retention),
	}
	o.flows[p.Flow] = rec
	o.expirations = append(o.expirations, flowExpiration{flow: p.Flow, at: now.Add(retention)})
	return rec
}

// request returns the admission request of a flow. The deadline counts from the
// arrival of the flow's first packet here, which is at most a few milliseconds
// after the caller sent it.
func (o *targetOwner) request(flow fleet.FlowKey, rec *flowRecord, now time.Time) admission.Request {
	arrived := rec.expiresAt.Add(-rec.kind.Deadline - retention)
	return admission.Request{
		Flow:     flow,
		Kind:     rec.kind.Name,
		Arrived:  arrived,
		Deadline: arrived.Add(rec.kind.Deadline),
		Bytes:    packetBytes,
	}
}

func (o *targetOwner) markEnded(rec *flowRecord, now time.Time) {
	rec.state = flowEnded
	rec.payload = nil
	rec.expiresAt = now.Add(retention)
}

func (o *targetOwner) refuse(flow fleet.FlowKey, rec *flowRecord, cause balancer.Cause, outcome fleet.Outcome, now time.Time) {
	if rec != nil {
		o.markEnded(rec, now)
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
	o.passWithOrigin(p, mode, to, key, o.view.Self)
}

func (o *targetOwner) passWithOrigin(p *balancer.Packet, mode balancer.Mode, to fleet.VMID, key fleet.TargetKey, origin fleet.VMID) {
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

// pressure returns the pressure of the flow's kind at the target if this VM
// owns the target. Otherwise it returns 0, so that a VM does not pass on
// pressure values received from other VMs.
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
