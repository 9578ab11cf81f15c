package load

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// table is a model of strategy 1, Table: every VM hashes a flow to a target.
	table struct{ view *fleet.View }

	// flowOwner is a model of strategy 2, FlowOwner: each flow has one owner
	// VM, which holds the state of the flow and controls its admission. An
	// owner does not know which flows other owners place. The owner's limiter
	// for a target therefore has only an equal part of the target's slots:
	// their number divided by the number of VMs in the zone, but at least one
	// slot.
	flowOwner struct {
		targetOwner
	}
)

func (t *table) SetView(v *fleet.View, _ time.Time) { t.view = v }

func (t *table) Tick(_ time.Time, out []balancer.Action) []balancer.Action { return out }

func (t *table) Handle(p balancer.Packet, _ time.Time, out []balancer.Action) []balancer.Action {
	if p.Source == balancer.FromTarget {
		if p.End == balancer.Shed {
			return append(out, balancer.Action{Op: balancer.Refuse, Flow: p.Flow, Cause: causeShed, Outcome: fleet.OutcomeUnknown})
		}
		if p.End == balancer.Done {
			return out
		}
		return append(out, balancer.Action{Op: balancer.Reply, Flow: p.Flow, Payload: p.Payload})
	}
	l := t.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil {
		return append(out, balancer.Action{Op: balancer.Drop, Flow: p.Flow, Cause: causeUnknownFlow})
	}
	h := p.Flow.Hash()
	home := homeZone(t.view, l.Service, h)
	if home != nil && home.ID != t.view.Zone && home.Reachable && len(home.Members) > 0 {
		header := balancer.PassHeader{Mode: balancer.ToFirst, Hops: p.Header.Hops + 1, Epoch: t.view.Epoch, Origin: t.view.Self}
		return append(out, balancer.Action{Op: balancer.Pass, Flow: p.Flow, Peer: memberFor(home.Members, uint64(h)), Header: header, Payload: p.Payload})
	}
	first, _ := candidates(t.view, l.Service, h)
	if first == nil {
		return append(out, balancer.Action{Op: balancer.Drop, Flow: p.Flow, Cause: causeNoTarget})
	}
	op := balancer.Forward
	if p.End == balancer.Reset {
		op = balancer.Cancel
	}
	return append(out, balancer.Action{Op: op, Flow: p.Flow, Target: first.ID, Payload: p.Payload})
}

func newFlowOwner(makeLimiter limiterConstructor) *flowOwner {
	return &flowOwner{targetOwner: *newTargetOwner(makeLimiter)}
}

// SetView applies a new view and configures a limiter for each target of the
// zone.
func (o *flowOwner) SetView(v *fleet.View, now time.Time) {
	o.view = v
	for i := range v.Targets {
		t := &v.Targets[i]
		limited := *t
		limited.Slots = max(1, t.Slots/max(1, len(v.Members)))
		kinds := o.kinds(t.ID.Service)
		key := t.ID.Key()
		if o.owned[key] == nil {
			o.owned[key] = &ownedTarget{limiter: o.makeLimiter(limited, kinds, now)}
		}
		o.owned[key].target = t
		o.owned[key].limiter.Configure(limited, kinds, now)
	}
	for key := range o.owned {
		if v.Target(key) == nil {
			delete(o.owned, key)
		}
	}
}

// Handle decides on the packets of flows that this VM owns or has a record of,
// and passes other packets to the owner of their flow. A packet that has
// exceeded the hop limit is not passed again, but decided on here.
func (o *flowOwner) Handle(p balancer.Packet, now time.Time, out []balancer.Action) []balancer.Action {
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
	if rec := o.flows[p.Flow]; rec != nil && o.handleKnown(&p, rec, now) {
		return o.out
	}
	h := p.Flow.Hash()
	members := o.view.Members
	home := homeZone(o.view, l.Service, h)
	if home != nil && home.ID != o.view.Zone && home.Reachable {
		members = home.Members
	}
	if owner := memberFor(members, uint64(h)); owner != o.view.Self && p.Header.Hops <= balancer.MaxHops {
		o.pass(&p, balancer.ToFirst, owner, 0)
		return o.out
	}
	o.start(&p, l, now)
	return o.out
}

func (o *flowOwner) start(p *balancer.Packet, l *fleet.Listener, now time.Time) {
	first, second := candidates(o.view, l.Service, p.Flow.Hash())
	if first == nil || p.End == balancer.Reset {
		o.drop(p, causeNoTarget)
		return
	}
	rec := o.addRecord(p, l, first.ID.Key(), now)
	if !p.Start {
		o.owned[rec.target].limiter.Adopt(o.request(p.Flow, rec, now), now)
		o.startFlow(p.Flow, rec, o.owned[rec.target])
		return
	}
	for _, t := range []*fleet.Target{first, second} {
		if t == nil {
			continue
		}
		owned := o.owned[t.ID.Key()]
		if owned.limiter.TryStart(o.request(p.Flow, rec, now), now) {
			rec.target = t.ID.Key()
			o.startFlow(p.Flow, rec, owned)
			return
		}
	}
	rec.state = flowQueued
	owned := o.owned[rec.target]
	evicted, err := owned.limiter.Enqueue(o.request(p.Flow, rec, now), now)
	for _, r := range evicted {
		o.refuse(r.Flow, o.flows[r.Flow], causeEvicted, fleet.NotRun, now)
	}
	if err != nil {
		o.refuse(p.Flow, rec, causeOf(err), fleet.NotRun, now)
		return
	}
	o.startQueued(owned, now)
}

var (
	_ Decider = (*targetOwner)(nil)
	_ Decider = (*flowOwner)(nil)
	_ Decider = (*table)(nil)
)
