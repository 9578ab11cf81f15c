package steering

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/capacity"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

const (
	// Forward sends the packet to Decision.Target, with the target's cookie.
	Forward Op = iota + 1
	// Reset sends a reset to the caller.
	Reset
	// Drop discards the packet.
	Drop
	// Hold means that the Core keeps the packet until Release returns it.
	Hold
)

// Causes of a decision.
const (
	CauseOpened        Cause = "Opened"        // the first opening packet of a flow
	CauseCopy          Cause = "Copy"          // a retransmitted opening packet
	CauseFlow          Cause = "Flow"          // a packet of a flow in the flow table
	CauseCookie        Cause = "Cookie"        // a packet with a cookie, of a flow that is not in the flow table
	CauseBinding       Cause = "Binding"       // the same, but the flow is open at another target than that of the cookie
	CauseNoCatalog     Cause = "NoCatalog"     // no catalog has arrived yet
	CauseNoRoute       Cause = "NoRoute"       // no route has the destination address of the packet
	CauseNoTarget      Cause = "NoTarget"      // no target of the service accepts new flows
	CauseNoCookie      Cause = "NoCookie"      // the packet of an unknown flow has no cookie
	CauseUnknownCookie Cause = "UnknownCookie" // no target has the cookie
	CauseTargetGone    Cause = "TargetGone"    // the target of the flow is gone
	CauseEvacuated     Cause = "Evacuated"     // a copy of the opening packet of an open flow whose target takes no new flows by a zone order
	CauseNoRegion      Cause = "NoRegion"      // no target in the regions of the route accepts new flows
	CauseOverload      Cause = "Overload"      // the service is overloaded, and no recent request is less urgent
	CauseQueued        Cause = "Queued"        // the service is short of capacity, and the packet waits
	CauseNoRoom        Cause = "NoRoom"        // the service can't answer within the objective
	CauseCallerShare   Cause = "CallerShare"   // the same, and the caller sends more than twice its fair share
	CauseRetryBudget   Cause = "RetryBudget"   // the same, and the caller was refused shortly before
	CauseTargetLost    Cause = "TargetLost"    // the target of the flow is lost, and the request may be repeated
	CauseUnconfirmed   Cause = "Unconfirmed"   // no majority of the control VMs has confirmed the view in time
	CauseSuspended     Cause = "Suspended"     // the opening packet waited while this process was suspended
	CauseOutdated      Cause = "Outdated"      // the same as NoRoute, NoTarget or NoRegion, by a view from before a suspension of this process
)

// Causes lists all causes.
var Causes = []Cause{
	CauseOpened, CauseCopy, CauseFlow, CauseCookie, CauseBinding, CauseNoCatalog, CauseNoRoute, CauseNoTarget, CauseNoCookie,
	CauseUnknownCookie, CauseTargetGone, CauseEvacuated, CauseNoRegion, CauseOverload, CauseQueued, CauseNoRoom,
	CauseCallerShare, CauseRetryBudget, CauseTargetLost,
	CauseUnconfirmed, CauseSuspended, CauseOutdated,
}

const (
	// unopenedLifetime is the time from the last opening packet until a flow
	// expires if the caller acknowledges no answer. Callers give up 1.4 s after
	// the first opening packet.
	unopenedLifetime = 1500 * time.Millisecond
	// sweepInterval is the minimum time between two searches for expired flows.
	sweepInterval = 250 * time.Millisecond
	// deadlineMargin is the time from the deadline of a request until its flow
	// expires.
	deadlineMargin = time.Second
	// maxFlows is the maximum number of flows in the flow table. With 120 bytes
	// per flow, a full table takes 8 MB. Flows beyond this number are forwarded,
	// but not added to the table.
	maxFlows = 1 << 16
)

type (
	// Op is the action to take on a packet.
	Op uint8

	// Cause is the reason for a decision, from a bounded set.
	Cause string

	// FlowKey identifies a flow by the addresses of its caller and its route.
	FlowKey struct {
		Caller netip.AddrPort
		Route  netip.AddrPort
	}

	// Packet is one decoded packet from a caller.
	Packet struct {
		Flow FlowKey
		// Opening is set for a packet that requests a new flow. Copy is the number
		// of the retransmission, or 0 for the first packet.
		Opening bool
		Copy    uint32
		// End is set for a packet that closes the caller's direction of the flow.
		End    bool
		Cookie Cookie
		// Acknowledged is the caller's acknowledgement number, and Data the number
		// of bytes that the packet carries.
		Acknowledged uint32
		Data         int
		// Waited is the longest time for which the packet may have waited while this
		// process was suspended, or 0 if it has not.
		Waited time.Duration
	}

	// Decision is the action to take on a packet, and the reason for it.
	Decision struct {
		Op    Op
		Cause Cause
		// Target is set for Forward and for CauseTargetLost. Service is the service that
		// was selected for an opening packet, if any.
		Target  *Target
		Service fleet.ServiceID
		// CatalogNumber is the number of the current catalog.
		CatalogNumber catalog.Number
		// Running is the number of other running requests that this VM forwards to
		// Target. Former is the target of the flow's previous opening packet. Former is
		// nil if there was no such packet, or if its target is not in the view. Running
		// and Former are set only if Target has been chosen for an opening packet.
		Running int
		Former  *Target
		// Admission is what the decision to hold, refuse or release the packet is based
		// on, or nil if the packet found room when it arrived.
		Admission *admission.GateState
		// Avoided is the target that would have had the flow if all targets were equally
		// fast. It is nil if that target is not slow or has got the flow. Slowness is the
		// estimate of its slowness, and EstimateAge the age of the figures, or 0 if
		// Slowness was learnt from requests of this VM only.
		Avoided     *Target
		Slowness    float64
		EstimateAge time.Duration
	}

	// Observer is notified of events of the flows whose opening packets this VM
	// has received. Its methods must not block and must not call the Core.
	Observer interface {
		// TargetSuspected is called when this VM starts to suspect that a target
		// does not answer.
		TargetSuspected(t *Target)
		// TargetOverdue is called with a flow whose response did not begin within
		// the objective of the flow's route. It is not called if another request that
		// this VM forwarded to the target became overdue in the last
		// overduePenaltyTime.
		TargetOverdue(k FlowKey, e FlowEvent)
		// FlowOpened is called when a caller acknowledges the answer of a target.
		FlowOpened(k FlowKey, e FlowEvent)
		// FlowEnded is called when the caller ends a flow or the flow expires.
		FlowEnded(k FlowKey, e FlowEvent)
	}

	// FlowEvent describes a flow at the time of an event.
	FlowEvent struct {
		// Target is the flow's target. Former is set in FlowOpened if the last
		// opening packet went to another target, whose answer the caller did not
		// acknowledge. Either is nil if the target is not in the view.
		Target, Former *Target
		// Kind and Objective are the request kind and the objective of the flow's
		// route.
		Kind      fleet.KindName
		Objective time.Duration
		// Opened is set if the caller has acknowledged the answer of a target, and
		// Closed if the caller has ended the flow.
		Opened, Closed bool
		// After is the time since the first opening packet.
		After time.Duration
	}

	// Stats contains the number of decisions by cause, the size of the flow table,
	// and the number of targets that this VM suspects.
	Stats struct {
		Decisions map[Cause]uint64
		Flows     int
		Suspected int
		// Overdue is the number of targets that are not gone and are overdue: either
		// a recent request that this VM forwarded to the target was overdue, or
		// SetSharedReports has set the target as overdue.
		Overdue int
		Cold    ColdStats
		// Gates is the state of the admission to each service that needed it.
		Gates []GateStats
	}

	// Core decides what to do with packets. It is safe for concurrent use.
	//
	// Invariant: the running count in targetLoads[k] is the number of flows in the
	// flow table that have the target with the cookie k and have not ended. The
	// inFlight count is the number of those flows whose last request is in flight.
	Core struct {
		// Zone is the availability zone of this VM. Targets in this zone are
		// preferred.
		Zone fleet.ZoneID
		// Random selects services by weight, and selects a target if several
		// targets have the lowest cost.
		Random *rand.Rand
		// Regions contains the known zones with their regions.
		Regions map[fleet.ZoneID]fleet.RegionID
		// Observer may be nil.
		Observer Observer
		// Admission is set if opening packets that find no room wait or are refused.
		// Capacity tells the room, and may be nil.
		Admission bool
		Capacity  Capacity
		// AdmissionDelay is the time after the first view in which nothing is held or
		// refused. After a loss of power, the callers of all VMs return at once, and
		// are served late rather than refused.
		AdmissionDelay time.Duration
		// LoadReports is set if entry VMs share their measurements. It enables early
		// doubts and lost targets.
		LoadReports bool
		// Estimate contains the figures of all VMs about the load. It is nil without
		// load reports, and guarded by the lock of the Core.
		Estimate *capacity.Estimate

		mu          sync.Mutex
		view        *View
		firstViewAt time.Time
		// refuseFrom is the time from which new flows are refused, or zero.
		refuseFrom  time.Time
		flows       map[FlowKey]*flow
		targetLoads map[Cookie]*targetLoad
		// serviceLoads contains the load of the services. entryVMs is the number of
		// entry VMs, or 0 if unknown.
		serviceLoads map[fleet.ServiceID]*serviceLoad
		entryVMs     int
		// sharedSuspects contains the targets that several VMs suspect, and
		// sharedOverdue the targets that several VMs have reported as overdue.
		sharedSuspects, sharedOverdue map[Cookie]bool
		// overdue contains the targets for which isOverdueLocally is true, and
		// possibly others that no longer are.
		overdue []Cookie
		lost    lostTargets
		// load is the zero value without load reports.
		load      fleetLoad
		lastSweep time.Time
		gates     zoneGates
		decisions map[Cause]uint64
		// cold holds the counters of ColdStats.
		cold ColdStats
		// serviceGates contains the gates of services. held contains the opening packets in
		// their queues, and waiting is its length.
		serviceGates map[fleet.ServiceID]*gate
		held         map[FlowKey]*heldOpening
		waiting      atomic.Int64
		suspended    suspended
		bindings     bindings
	}

	// flow is a flow whose opening packet this VM has received.
	flow struct {
		target  Cookie
		service fleet.ServiceID
		opened  bool
		ended   bool
		// contested is set if another target than that of the flow may have been offered
		// it, by this VM or another one.
		contested bool
		route     *catalog.Route
		deadline  time.Time
		// started is the time of the first opening packet, and lastOpening the
		// time of the last one.
		started, lastOpening time.Time
		// requestSent is set once the caller has sent data; requestAck and
		// requestTime are the acknowledgement number and the time of the caller's
		// first packet with data. responseStarted is set once the caller
		// acknowledges a part of the response. overdue is set if the caller did not
		// acknowledge a part of the response within the objective of the route.
		// reused is set if the caller sends another request after it has acknowledged
		// a part of the response.
		requestSent, responseStarted, overdue, reused bool
		requestAck                                    uint32
		requestTime                                   time.Time
		request                                       request
		// run is the request that counts at gate, if any. wasHeld is set if the flow's
		// opening packet was held.
		gate    *gate
		run     *admission.Run
		wasHeld bool
	}
)

// Hash returns the hash of the flow, which is the same on all VMs.
func (k FlowKey) Hash() fleet.FlowHash {
	return fleet.FlowKey{Caller: k.Caller, VIP: k.Route, Protocol: fleet.TCP}.Hash()
}

// New returns a Core without a view.
func New(zone fleet.ZoneID, random *rand.Rand) *Core {
	return &Core{
		Zone:         zone,
		Random:       random,
		flows:        make(map[FlowKey]*flow),
		targetLoads:  make(map[Cookie]*targetLoad),
		serviceLoads: make(map[fleet.ServiceID]*serviceLoad),
		decisions:    make(map[Cause]uint64),
		suspended:    suspended{waited: make(map[FlowKey]copySet)},
	}
}

// SetView replaces the view.
func (c *Core) SetView(v *View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v != nil {
		if c.view == nil {
			c.firstViewAt = v.builtAt
		}
		v.inheritAll(c.view)
		v.restrict(c.Regions)
		for k, t := range v.targets {
			if before := c.target(k); before != nil && before.born != t.born {
				c.targetRestarted(k, v.builtAt)
			}
		}
	}
	c.view = v
	if v != nil {
		v.setGates(&c.gates)
	}
	c.load.own = nil
}

// Change replaces the targets of the current view that records contains, in a time
// that does not grow with the number of routes. It has no effect without a view.
func (c *Core) Change(records []registry.Record, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == nil {
		return
	}
	for i := range records {
		k := CookieOf(records[i].Target.ID.Incarnation)
		before := c.view.targets[k]
		c.view.setTarget(&records[i], now)
		t := c.view.targets[k]
		if before != nil && before.born != t.born {
			c.targetRestarted(k, now)
		}
		c.load.setTarget(before, t)
	}
}

// Decide returns the decision for a packet that arrived at the given time. If the
// Core holds the packet, Release returns it without its bytes.
func (c *Core) Decide(p *Packet, now time.Time) Decision { return c.DecideData(p, nil, now) }

// DecideData is like Decide. data is the packet as it arrived, which the Core copies
// if it holds the packet.
func (c *Core) DecideData(p *Packet, data []byte, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	var d Decision
	switch {
	case c.view == nil || c.view.Catalog == nil:
		d = Decision{Op: Drop, Cause: CauseNoCatalog}
	case p.Opening:
		d = c.decideOpening(p, data, now)
	default:
		d = c.decideFlow(p, now)
	}
	if d.Op == Reset && c.outdated() && (d.Cause == CauseNoRoute || d.Cause == CauseNoTarget || d.Cause == CauseNoRegion) {
		d.Op, d.Cause = Drop, CauseOutdated
	}
	if c.view != nil && c.view.Catalog != nil {
		d.CatalogNumber = c.view.Catalog.Number
	}
	c.decisions[d.Cause]++
	return d
}

// decideOpening returns the decision for an opening packet.
func (c *Core) decideOpening(p *Packet, data []byte, now time.Time) Decision {
	if p.Waited > 0 {
		if d, decided := c.decideWaited(p); decided {
			return d
		}
	}
	if c.refuses(now) {
		if d, refused := c.refuseUnconfirmed(p); refused {
			return d
		}
	}
	r := c.view.routes[p.Flow.Route]
	if r == nil {
		return Decision{Op: Reset, Cause: CauseNoRoute}
	}
	f := c.flows[p.Flow]
	var open *Target
	switch {
	case f == nil:
		open = c.opensBound(p, now)
	case f.opened && !f.ended:
		open = c.view.targets[f.target]
	}
	if open != nil {
		// The flow is open, so that neither a reset nor another target is allowed. If the
		// caller has opened a new flow from the same port, the target would open it.
		if !c.gates.admits(open) {
			return Decision{Op: Drop, Cause: CauseEvacuated}
		}
		// Packets of open flows are never held back, but count.
		c.countOpening(c.view.services[open.ID.Service], open, now)
		return Decision{Op: Forward, Cause: CauseFlow, Target: open}
	}
	isNew := f == nil || f.ended
	if !isNew && c.repeatsEarly(f, now) {
		t := c.view.targets[f.target]
		c.countOpening(c.view.services[f.service], t, now)
		return Decision{Op: Forward, Cause: CauseCopy, Service: f.service, Target: t}
	}
	s := r.pick(c.Random.Uint64())
	if f == nil && p.Copy == 0 {
		c.countOffer(s.ID, r.Urgency)
	}
	switch {
	case c.Admission && isNew && now.Sub(c.firstViewAt) >= c.AdmissionDelay:
		if d, admitted := c.admit(p, data, r, s, now); !admitted {
			return d
		}
	case !c.Admission && f == nil && len(s.targets) > 0 && c.serviceLoadOf(s.ID).refuses(r.Urgency, c.view.services[s.ID].slots, c.entryVMs, now):
		return Decision{Op: Reset, Cause: CauseOverload, Service: s.ID}
	}
	return c.openFlow(p, r, s, false, now)
}

// openFlow returns the decision for an opening packet that is sent to a target of s.
// wasHeld is set if the packet was held.
func (c *Core) openFlow(p *Packet, r *route, s *service, wasHeld bool, now time.Time) Decision {
	f := c.flows[p.Flow]
	svcLoad := c.serviceLoadOf(s.ID)
	ungated := p.Copy > 0 && !wasHeld
	d := Decision{Op: Forward, Cause: CauseOpened, Service: s.ID}
	exclude := Cookie(0)
	started := now
	// Another VM may have received the earlier copies.
	contested := p.Copy > 0 && !wasHeld
	isNew := f == nil || f.ended
	if !isNew {
		d.Cause, d.Former = CauseCopy, c.view.targets[f.target]
		exclude, started = f.target, f.started
		c.suspectTarget(f)
		c.endRequest(f)
		c.endGated(f, false, now)
		c.targetLoadOf(f.target).running--
		c.serviceLoadOf(f.service).running--
	}
	d.Target, d.Avoided = c.chooseFor(p.Flow, s, exclude, now)
	if d.Avoided != nil {
		d.Slowness = c.Estimate.Slowness(d.Avoided.ID.Incarnation, now)
		d.EstimateAge, _ = c.Estimate.Age(now)
	}
	if d.Target == nil {
		delete(c.flows, p.Flow)
		cause := CauseNoTarget
		switch {
		case len(s.targets) > 0:
			c.cold.Refused++ // all are cold
		case len(r.Regions) > 0:
			cause = CauseNoRegion
		}
		return Decision{Op: Reset, Cause: cause, Service: s.ID}
	}
	c.countOpening(s, d.Target, now)
	if !isNew {
		contested = contested || f.contested || f.target != d.Target.Cookie
	}
	l := c.targetLoadOf(d.Target.Cookie)
	d.Running = l.running
	if len(c.flows) < maxFlows || f != nil {
		f = &flow{
			target: d.Target.Cookie, service: s.ID, route: r.Route, started: started, lastOpening: now,
			deadline: now.Add(r.Deadline + deadlineMargin), contested: contested,
		}
		if contested {
			c.bindings.report(p.Flow)
		}
		c.flows[p.Flow] = f
		l.running++
		svcLoad.running++
		c.beginRequest(f)
		if c.Admission {
			f.wasHeld = wasHeld
			c.beginGated(f, c.gateOf(s, now), ungated, now)
		}
		c.awaitAnswer(p.Flow, svcLoad, now)
	}
	return d
}

// decideFlow returns the decision for a packet other than an opening packet.
func (c *Core) decideFlow(p *Packet, now time.Time) Decision {
	f := c.flows[p.Flow]
	if f == nil {
		if p.End {
			c.cancelHeld(p.Flow)
		}
		return c.decideByCookie(p, now)
	}
	if !f.opened && p.Cookie != 0 {
		k := p.Cookie
		if b, ok := c.bindings.flows[p.Flow]; ok {
			k = b.target // Another VM has seen the flow open.
		}
		c.bindFlow(p.Flow, f, k, now)
	}
	if c.resetsLost(p, f, f.target, now) {
		c.endFlow(p.Flow, f, false, now)
		return Decision{Op: Reset, Cause: CauseTargetLost, Service: f.service, Target: c.view.targets[f.target]}
	}
	c.trackRequest(p.Flow, f, p, now)
	c.trackInFlight(f, p, now)
	if p.End {
		c.endFlow(p.Flow, f, true, now)
	}
	t := c.view.targets[f.target]
	switch {
	case t == nil:
		// A hub that was suspended or has restarted may not know the target. Silence breaks
		// no flow; a reset would.
		return Decision{Op: Drop, Cause: CauseUnknownCookie}
	case t.State == fleet.TargetGone && !c.outdated():
		return Decision{Op: Reset, Cause: CauseTargetGone}
	}
	return Decision{Op: Forward, Cause: CauseFlow, Target: t}
}

// bindFlow binds a flow to the target with the cookie k, whose answer the caller
// has acknowledged.
func (c *Core) bindFlow(key FlowKey, f *flow, k Cookie, now time.Time) {
	e := c.newEvent(f, now)
	f.opened = true
	c.bindings.remove(key)
	f.contested = f.contested || k != f.target
	if f.contested {
		c.bindings.report(key)
	}
	if k != f.target {
		e.Former = e.Target
		inFlight := f.request.inFlight
		c.endRequest(f)
		if !f.ended {
			c.targetLoadOf(f.target).running--
			c.targetLoadOf(k).running++
		}
		f.target = k
		if inFlight {
			c.beginRequest(f)
		}
	}
	c.targetLoadOf(k).recordAnswer(f.lastOpening)
	c.targetLoadOf(k).answeredAt = now
	if k == f.target && f.lastOpening.Equal(f.started) && !c.spansSuspension(f.lastOpening) {
		c.serviceLoadOf(f.service).addOpenTime(now.Sub(f.lastOpening))
	}
	if c.Observer != nil {
		e.Target, e.Opened = c.view.targets[k], true
		c.Observer.FlowOpened(key, e)
	}
}

func (c *Core) endFlow(key FlowKey, f *flow, closed bool, now time.Time) {
	if f.ended {
		return
	}
	c.endRequest(f)
	c.endGated(f, false, now)
	f.ended = true
	c.targetLoadOf(f.target).running--
	svcLoad := c.serviceLoadOf(f.service)
	svcLoad.running--
	if f.opened && closed && !f.reused && !c.spansSuspension(f.lastOpening) {
		svcLoad.addSample(float64(now.Sub(f.lastOpening))/float64(f.route.Objective), now)
	}
	if c.Observer != nil {
		e := c.newEvent(f, now)
		e.Closed = closed
		c.Observer.FlowEnded(key, e)
	}
}

func (c *Core) newEvent(f *flow, now time.Time) FlowEvent {
	return FlowEvent{
		Target: c.target(f.target), Kind: f.route.Kind, Objective: f.route.Objective,
		Opened: f.opened, After: now.Sub(f.started),
	}
}

// target returns the target with the cookie k, or nil.
func (c *Core) target(k Cookie) *Target {
	if c.view == nil {
		return nil
	}
	return c.view.targets[k]
}

// decideByCookie returns the decision for a packet of a flow that is not in the flow table.
// The packet goes to the target of the flow's binding, or to the one that its cookie names.
func (c *Core) decideByCookie(p *Packet, now time.Time) Decision {
	k, cause := p.Cookie, CauseCookie
	target, bound := c.useBinding(p, now)
	if bound && target != k {
		k, cause = target, CauseBinding
	}
	if k == 0 {
		return Decision{Op: Drop, Cause: CauseNoCookie}
	}
	t := c.view.targets[k]
	switch {
	case t == nil:
		return Decision{Op: Drop, Cause: CauseUnknownCookie}
	case t.State == fleet.TargetGone && !c.outdated():
		return Decision{Op: Reset, Cause: CauseTargetGone}
	case c.resetsLost(p, nil, k, now):
		return Decision{Op: Reset, Cause: CauseTargetLost, Service: t.ID.Service, Target: t}
	}
	if !bound {
		c.adoptBinding(p, now)
	}
	return Decision{Op: Forward, Cause: cause, Target: t}
}

// Tick checks for overdue requests and removes expired flows. Decide does the
// same, but only when packets arrive.
func (c *Core) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
}

// sweep checks for overdue requests, and removes expired flows and the loads of
// targets that neither a running flow nor the view refers to. It has no effect
// within sweepInterval of the last sweep.
func (c *Core) sweep(now time.Time) {
	if c.LoadReports {
		c.doubtUnanswered(now)
	}
	if now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
	c.openRestoredZones(now)
	for k, f := range c.flows {
		expired := now.After(f.deadline)
		if !f.opened && now.Sub(f.lastOpening) > unopenedLifetime {
			expired = true
		}
		if f.requestSent && !f.responseStarted && !f.ended {
			c.checkOverdue(k, f, now)
		}
		if expired {
			if f.opened && !f.ended {
				c.keepBinding(k, f, now)
			}
			c.endFlow(k, f, false, now)
			delete(c.flows, k)
		}
	}
	c.bindings.expire(now)
	for k, l := range c.targetLoads {
		if l.running == 0 && (c.view == nil || c.view.targets[k] == nil) {
			delete(c.targetLoads, k)
		}
	}
	c.overdue = slices.DeleteFunc(c.overdue, func(k Cookie) bool { return !c.isOverdueLocally(k, now) })
	c.tickFleetLoad(now)
}

// Stats returns the current statistics.
func (c *Core) Stats(now time.Time) Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Stats{Decisions: make(map[Cause]uint64, len(c.decisions)), Flows: len(c.flows), Cold: c.cold}
	for k, n := range c.decisions {
		s.Decisions[k] = n
	}
	for _, l := range c.targetLoads {
		if l.suspected {
			s.Suspected++
		}
	}
	s.Gates = c.gateStats(now)
	if c.view == nil {
		return s
	}
	for k, t := range c.view.targets {
		if t.State != fleet.TargetGone && c.isOverdue(k, now) {
			s.Overdue++
		}
		if t.holds(now) {
			s.Cold.Held++
		}
	}
	return s
}
