package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// Causes of refusals and drops.
const (
	CauseNone          Cause = ""
	CauseNoView        Cause = "NoView"        // no view is known yet
	CauseNoListener    Cause = "NoListener"    // no listener has the address
	CauseNoTarget      Cause = "NoTarget"      // the service has no target
	CauseNoSlot        Cause = "NoSlot"        // both candidates and the queue are full
	CauseHops          Cause = "Hops"          // passed too often
	CauseTableFull     Cause = "TableFull"     // the flow table is full
	CauseHeldFull      Cause = "HeldFull"      // too many packets wait
	CauseUnsealed      Cause = "Unsealed"      // the epoch was not sealed in time
	CauseNoLease       Cause = "NoLease"       // this VM has no valid lease
	CauseHomeZone      Cause = "HomeZone"      // the home zone is unreachable
	CauseUnknownFlow   Cause = "UnknownFlow"   // no flow matches the packet
	CauseUnknownResult Cause = "UnknownResult" // a target may have run the request
	CauseRefused       Cause = "Refused"       // the flow was refused before
	CauseDeadline      Cause = "Deadline"      // the deadline passed
	CauseEnded         Cause = "Ended"         // the flow has ended
	CauseTransition    Cause = "Transition"    // the flow chart lacks the transition
	CauseEvicted       Cause = "Evicted"       // more urgent work took the place in the queue
	CauseForeignAnswer Cause = "ForeignAnswer" // the answer comes from another target
)

type (
	// listenerInfo is a listener that flows refer to by index; it outlives the
	// listener in the settings while flows refer to it.
	listenerInfo struct {
		fleet.Listener
		refs      int
		idle      uint32
		deadline  uint32
		retention uint32
	}

	// place is where a flow can be: a target of the own zone or another zone.
	place struct {
		key     fleet.TargetKey
		id      fleet.TargetID
		zone    fleet.ZoneID // set where the place is another zone
		target  *fleet.Target
		refs    int
		owned   bool
		limiter Limiter
	}

	// held is a packet that waits in a queue.
	held struct {
		payload []byte
		hops    uint8
	}

	// Balancer decides about packets. One goroutine uses it.
	Balancer struct {
		cfg        Config
		self       fleet.VMID
		view       *fleet.View
		placement  *placement.Map
		leaseUntil time.Time

		flows      flowTable
		listeners  []listenerInfo
		listenerAt map[fleet.ListenerKey]uint32
		places     []place
		placeAt    map[fleet.TargetKey]uint32
		held       map[uint32]held
		heldBytes  int
		owned      []uint32 // places that this VM owns
		sweepAt    int
		lastSweep  time.Time
		stats      Stats
	}

	// Stats counts what a Balancer did.
	Stats struct {
		Packets, Forwarded, Passed, Replies          uint64
		Refused, Dropped                             map[Cause]uint64
		Flows, Held                                  int
		Adopted, Moved, Offered, Returned, Overflows uint64
	}
)

// New returns a Balancer that drops every packet until SetView.
func New(cfg Config) *Balancer {
	cfg.setDefaults()
	return &Balancer{
		cfg:        cfg,
		self:       cfg.Self,
		flows:      newFlowTable(cfg.MaxFlows),
		listenerAt: make(map[fleet.ListenerKey]uint32),
		placeAt:    make(map[fleet.TargetKey]uint32),
		held:       make(map[uint32]held),
		stats:      Stats{Refused: make(map[Cause]uint64), Dropped: make(map[Cause]uint64)},
	}
}

// SetLease sets the end of this VM's lease; after it, the VM decides about no
// non-idempotent request.
func (b *Balancer) SetLease(until time.Time) { b.leaseUntil = until }

// SetView makes a frozen view current.
func (b *Balancer) SetView(v *fleet.View, now time.Time) {
	b.view = v
	b.placement = placement.New(v)
	b.owned = b.owned[:0]
	for i := range b.places {
		b.places[i].target, b.places[i].owned = nil, false
	}
	for i := range v.Targets {
		t := &v.Targets[i]
		at := b.placeOf(t.ID)
		pl := &b.places[at]
		pl.target = t
		pl.owned = b.placement.Owner(pl.key) == b.self
		if pl.owned {
			b.owned = append(b.owned, at)
			b.configure(pl, now)
		}
	}
}

func (b *Balancer) configure(pl *place, now time.Time) {
	kinds := b.kinds(pl.id.Service)
	if pl.limiter == nil && b.cfg.NewLimiter != nil {
		pl.limiter = b.cfg.NewLimiter(*pl.target, kinds, now)
		return
	}
	if pl.limiter != nil {
		pl.limiter.Configure(*pl.target, kinds, now)
	}
}

func (b *Balancer) kinds(s fleet.ServiceID) []fleet.Kind {
	var kinds []fleet.Kind
	for i := range b.view.Listeners {
		if l := &b.view.Listeners[i]; l.Service == s {
			kinds = append(kinds, l.Kind)
		}
	}
	return kinds
}

// Stats returns a copy of the counters.
func (b *Balancer) Stats() Stats {
	s := b.stats
	s.Flows, s.Held = b.flows.len(), len(b.held)
	s.Refused, s.Dropped = copyCounts(s.Refused), copyCounts(s.Dropped)
	return s
}

func copyCounts(m map[Cause]uint64) map[Cause]uint64 {
	c := make(map[Cause]uint64, len(m))
	for k, n := range m {
		c[k] = n
	}
	return c
}

// Handle decides about one packet and appends the actions to out.
func (b *Balancer) Handle(p Packet, now time.Time, out []Action) []Action {
	b.stats.Packets++
	if b.view == nil {
		return b.drop(&p, CauseNoView, out)
	}
	switch p.Source {
	case FromTarget:
		return b.answer(&p, now, out)
	case FromPeer:
		return b.fromPeer(&p, now, out)
	}
	p.Header = PassHeader{}
	return b.route(&p, now, out)
}

func (b *Balancer) fromPeer(p *Packet, now time.Time, out []Action) []Action {
	if p.Header.Hops > MaxHops {
		return b.drop(p, CauseHops, out)
	}
	switch p.Header.Mode {
	case ToSecond:
		return b.offered(p, now, out)
	case Returned:
		return b.returned(p, now, out)
	case Established:
		return b.established(p, now, out)
	case Answer:
		return b.answer(p, now, out)
	}
	return b.route(p, now, out)
}

// route handles a packet of the fabric, and one passed as ToFirst.
func (b *Balancer) route(p *Packet, now time.Time, out []Action) []Action {
	h := p.Flow.Hash()
	if i := b.flows.find(h, &p.Flow, b.listeners); i != noEntry {
		return b.known(i, p, now, out)
	}
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil {
		return b.drop(p, CauseNoListener, out)
	}
	zone := b.placement.HomeZone(l.Service, h)
	if zone != nil && zone.ID != b.view.Zone {
		return b.toZone(p, l, zone, h, now, out)
	}
	return b.routeLocal(p, l, h, now, out)
}

func (b *Balancer) toZone(p *Packet, l *fleet.Listener, zone *fleet.Zone, h fleet.FlowHash, now time.Time, out []Action) []Action {
	peer := b.placement.Relay(zone.ID, h)
	if zone.Reachable && peer != "" {
		return b.pass(p, peer, PassHeader{Mode: ToFirst, Hash: h}, out)
	}
	if l.Kind.Idempotent {
		return b.routeLocal(p, l, h, now, out)
	}
	return b.drop(p, CauseHomeZone, out)
}

func (b *Balancer) routeLocal(p *Packet, l *fleet.Listener, h fleet.FlowHash, now time.Time, out []Action) []Action {
	r := b.cfg.Strategy.Route(b.placement, l.Service, h)
	if r.First == nil {
		return b.drop(p, CauseNoTarget, out)
	}
	if r.Stateless {
		return b.forward(p, r.First.ID, out)
	}
	if r.Decider != "" && r.Decider != b.self {
		return b.pass(p, r.Decider, PassHeader{Mode: ToFirst, Hash: h, Target: r.First.ID.Key()}, out)
	}
	if !p.Start {
		return b.refuse(p, fleet.Unknown, CauseUnknownFlow, out)
	}
	if !l.Kind.Idempotent && (!b.view.Sealed || !now.Before(b.leaseUntil)) {
		return b.drop(p, CauseUnsealed, out)
	}
	return b.admit(p, l, r, h, now, out)
}

// admit decides about a new flow at the owner of its first candidate.
func (b *Balancer) admit(p *Packet, l *fleet.Listener, r Route, h fleet.FlowHash, now time.Time, out []Action) []Action {
	i := b.addFlow(p, l, h, now)
	if i == noEntry {
		return b.refuse(p, fleet.NotRun, CauseTableFull, out)
	}
	pl := &b.places[b.placeOf(r.First.ID)]
	if r.Unlimited || pl.limiter == nil || pl.limiter.TryStart(b.request(p, l, now), now) {
		return b.start(i, p, r.First, now, out)
	}
	if r.Second == nil {
		return b.enqueue(i, p, l, r.First, now, out)
	}
	e := &b.flows.entries[i]
	b.step(e, eventOffer)
	e.flags |= flagTentative
	e.epoch = uint32(b.view.Epoch)
	b.setPlace(e, b.placeOf(r.Second.ID))
	b.stats.Offered++
	return b.offer(i, p, now, out)
}

// offer passes a packet of a flow that is away to the owner of its place.
func (b *Balancer) offer(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	pl := &b.places[e.place]
	mode := Established
	if e.flags&flagTentative != 0 && e.epoch == uint32(b.view.Epoch) {
		mode = ToSecond
	}
	owner := b.placement.Owner(pl.key)
	if owner != b.self {
		return b.pass(p, owner, PassHeader{Mode: mode, Hash: e.hash, Target: pl.key, Origin: b.self}, out)
	}
	if mode == Established || pl.limiter == nil || pl.limiter.TryStart(b.requestOf(e, p, now), now) {
		return b.start(i, p, pl.target, now, out)
	}
	return b.takeBack(i, p, now, out)
}

// takeBack queues or refuses a flow that the second candidate did not take.
func (b *Balancer) takeBack(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	l := &b.listeners[e.listener].Listener
	b.step(e, eventReturn)
	e.flags &^= flagTentative
	r := b.cfg.Strategy.Route(b.placement, l.Service, e.hash)
	return b.enqueue(i, p, l, r.First, now, out)
}

func (b *Balancer) enqueue(i uint32, p *Packet, l *fleet.Listener, t *fleet.Target, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	at := b.placeOf(t.ID)
	b.setPlace(e, at)
	if len(b.held) >= b.cfg.HeldPackets || b.heldBytes+len(p.Payload) > b.cfg.HeldBytes {
		return b.refuseFlow(i, p, CauseHeldFull, now, out)
	}
	evicted, err := b.places[at].limiter.Enqueue(b.request(p, l, now), now)
	for _, r := range evicted {
		out = b.evict(r, now, out)
	}
	if err != nil {
		return b.refuseFlow(i, p, CauseNoSlot, now, out)
	}
	b.step(e, eventQueue)
	b.held[i] = held{payload: append([]byte(nil), p.Payload...), hops: p.Header.Hops}
	b.heldBytes += len(p.Payload)
	return out
}

func (b *Balancer) evict(r Request, now time.Time, out []Action) []Action {
	i := b.flows.find(r.Flow.Hash(), &r.Flow, b.listeners)
	if i == noEntry {
		return out
	}
	p := Packet{Flow: r.Flow, Start: true, Payload: b.unhold(i)}
	return b.refuseFlow(i, &p, CauseEvicted, now, out)
}

func (b *Balancer) unhold(i uint32) []byte {
	h := b.held[i]
	delete(b.held, i)
	b.heldBytes -= len(h.payload)
	return h.payload
}

// refuseFlow refuses a flow and keeps it for its retention time.
func (b *Balancer) refuseFlow(i uint32, p *Packet, cause Cause, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	b.step(e, eventRefuse)
	e.until = tick(now) + b.listeners[e.listener].retention
	b.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindRefuse, Name: "Refused", Flow: p.Flow.String(), Cause: string(cause), Epoch: b.view.Epoch}, now)
	return b.refuse(p, fleet.NotRun, cause, out)
}

// start forwards the first packet of a flow to a target of this VM.
func (b *Balancer) start(i uint32, p *Packet, t *fleet.Target, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	b.step(e, eventForward)
	e.flags = e.flags&^flagTentative | flagSlot
	b.setPlace(e, b.placeOf(t.ID))
	return b.forward(p, t.ID, out)
}

// known handles a packet of a flow that has an entry.
func (b *Balancer) known(i uint32, p *Packet, now time.Time, out []Action) []Action {
	e := &b.flows.entries[i]
	e.seen = tick(now)
	switch e.state {
	case stateRunning, stateEnding:
		out = b.forward(p, b.places[e.place].id, out)
		b.callerEnd(i, p, now)
		return out
	case stateAway:
		return b.offer(i, p, now, out)
	case stateRefused:
		if p.Start {
			return b.refuse(p, fleet.NotRun, CauseRefused, out)
		}
		return b.drop(p, CauseRefused, out)
	case stateQueued:
		return out
	}
	return b.drop(p, CauseUnknownResult, out)
}

func (b *Balancer) callerEnd(i uint32, p *Packet, now time.Time) {
	e := &b.flows.entries[i]
	switch p.End {
	case Fin:
		e.flags |= flagFinCaller
		b.step(e, eventEnd)
		if e.flags&flagFinTarget != 0 {
			b.end(i, Completed, now)
		}
	case Reset:
		b.end(i, Cancelled, now)
	}
}

// end frees the slot of a flow that is over.
func (b *Balancer) end(i uint32, result Result, now time.Time) {
	e := &b.flows.entries[i]
	if e.flags&flagSlot != 0 {
		if l := b.places[e.place].limiter; l != nil {
			l.Finish(b.keyOf(e), result, now)
		}
		e.flags &^= flagSlot
	}
	b.removeFlow(i)
}

func (b *Balancer) removeFlow(i uint32) {
	e := &b.flows.entries[i]
	b.step(e, eventClose)
	b.places[e.place].refs--
	b.listeners[e.listener].refs--
	b.flows.remove(i)
}

// offered handles ToSecond at the owner of the second candidate.
func (b *Balancer) offered(p *Packet, now time.Time, out []Action) []Action {
	h := p.Flow.Hash()
	if i := b.flows.find(h, &p.Flow, b.listeners); i != noEntry {
		if b.flows.entries[i].state == stateRefused {
			return b.giveBack(p, out)
		}
		return b.known(i, p, now, out)
	}
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	t := b.view.Target(p.Header.Target)
	if l == nil || t == nil || b.placement.Owner(p.Header.Target) != b.self {
		return b.giveBack(p, out)
	}
	pl := &b.places[b.placeOf(t.ID)]
	i := b.addFlow(p, l, h, now)
	if i == noEntry {
		return b.giveBack(p, out)
	}
	if t.TakesNewFlows() && (pl.limiter == nil || pl.limiter.TryStart(b.request(p, l, now), now)) {
		return b.start(i, p, t, now, out)
	}
	e := &b.flows.entries[i]
	b.step(e, eventRefuse)
	e.until = tick(now) + b.listeners[e.listener].retention
	return b.giveBack(p, out)
}

func (b *Balancer) giveBack(p *Packet, out []Action) []Action {
	b.stats.Returned++
	return b.pass(p, p.Header.Origin, PassHeader{Mode: Returned, Hash: p.Header.Hash, Target: p.Header.Target, Epoch: p.Header.Epoch, Origin: p.Header.Origin}, out)
}

// returned handles an offer that comes back to the owner of the first
// candidate; any other state of the flow means a duplicate.
func (b *Balancer) returned(p *Packet, now time.Time, out []Action) []Action {
	i := b.flows.find(p.Flow.Hash(), &p.Flow, b.listeners)
	if i == noEntry {
		return b.route(p, now, out)
	}
	e := &b.flows.entries[i]
	if e.state != stateAway || e.flags&flagTentative == 0 || b.places[e.place].key != p.Header.Target {
		return b.known(i, p, now, out)
	}
	return b.takeBack(i, p, now, out)
}

// established handles a packet of a flow that is at a target of this VM.
func (b *Balancer) established(p *Packet, now time.Time, out []Action) []Action {
	h := p.Flow.Hash()
	if i := b.flows.find(h, &p.Flow, b.listeners); i != noEntry {
		return b.known(i, p, now, out)
	}
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	t := b.view.Target(p.Header.Target)
	if l == nil || t == nil {
		return b.drop(p, CauseUnknownFlow, out)
	}
	if owner := b.placement.Owner(p.Header.Target); owner != b.self {
		return b.pass(p, owner, p.Header, out)
	}
	return b.adopt(p, l, t, h, now, out)
}

func (b *Balancer) adopt(p *Packet, l *fleet.Listener, t *fleet.Target, h fleet.FlowHash, now time.Time, out []Action) []Action {
	i := b.addFlow(p, l, h, now)
	if i == noEntry {
		return b.drop(p, CauseTableFull, out)
	}
	e := &b.flows.entries[i]
	b.step(e, eventAdopt)
	b.setPlace(e, b.placeOf(t.ID))
	if lim := b.places[e.place].limiter; lim != nil {
		lim.Adopt(b.request(p, l, now), now)
		e.flags |= flagSlot
	}
	b.stats.Adopted++
	return b.forward(p, t.ID, out)
}

// answer matches a target's answer to its flow.
func (b *Balancer) answer(p *Packet, now time.Time, out []Action) []Action {
	i := b.flows.find(p.Flow.Hash(), &p.Flow, b.listeners)
	if i == noEntry {
		return b.strayAnswer(p, out)
	}
	e := &b.flows.entries[i]
	if e.state != stateRunning && e.state != stateEnding {
		return b.strayAnswer(p, out)
	}
	if b.places[e.place].id != p.Target {
		return b.drop(p, CauseForeignAnswer, out)
	}
	e.seen = tick(now)
	if p.End != Done && p.End != Shed {
		b.stats.Replies++
		out = append(out, Action{Op: Reply, Flow: p.Flow, Target: p.Target, Payload: p.Payload})
	}
	b.targetEnd(i, p, now)
	return out
}

func (b *Balancer) targetEnd(i uint32, p *Packet, now time.Time) {
	e := &b.flows.entries[i]
	switch p.End {
	case Fin:
		e.flags |= flagFinTarget
		b.step(e, eventEnd)
		if e.flags&flagFinCaller != 0 {
			b.end(i, Completed, now)
		}
	case Reset, Done:
		b.end(i, Completed, now)
	case Shed:
		b.end(i, ShedByTarget, now)
	}
}

// strayAnswer passes an answer without a flow to the owner of its target.
func (b *Balancer) strayAnswer(p *Packet, out []Action) []Action {
	key := p.Target.Key()
	owner := b.placement.Owner(key)
	if owner == b.self || owner == "" || p.Source == FromPeer {
		return b.drop(p, CauseUnknownFlow, out)
	}
	return b.pass(p, owner, PassHeader{Mode: Answer, Hash: p.Flow.Hash(), Target: key, Origin: b.self}, out)
}

// Tick starts queued requests, ends flows whose time is over, and appends the
// actions that follow.
func (b *Balancer) Tick(now time.Time, out []Action) []Action {
	if b.view == nil {
		return out
	}
	for _, at := range b.owned {
		out = b.nextQueued(at, now, out)
	}
	if now.Sub(b.lastSweep) >= 250*time.Millisecond {
		b.lastSweep = now
		out = b.sweep(now, out)
	}
	return out
}

func (b *Balancer) nextQueued(at uint32, now time.Time, out []Action) []Action {
	pl := &b.places[at]
	if pl.limiter == nil {
		return out
	}
	started, expired := pl.limiter.Next(now)
	for _, r := range started {
		i := b.flows.find(r.Flow.Hash(), &r.Flow, b.listeners)
		if i == noEntry {
			pl.limiter.Finish(r.Flow, Cancelled, now)
			continue
		}
		p := Packet{Flow: r.Flow, Start: true, Payload: b.unhold(i)}
		out = b.start(i, &p, pl.target, now, out)
	}
	for _, r := range expired {
		if i := b.flows.find(r.Flow.Hash(), &r.Flow, b.listeners); i != noEntry {
			p := Packet{Flow: r.Flow, Start: true, Payload: b.unhold(i)}
			out = b.refuseFlow(i, &p, CauseDeadline, now, out)
		}
	}
	return out
}

func (b *Balancer) sweep(now time.Time, out []Action) []Action {
	t := tick(now)
	for i := range b.flows.entries {
		e := &b.flows.entries[i]
		if !e.live() || e.state == stateQueued {
			continue
		}
		l := &b.listeners[e.listener]
		switch {
		case e.state == stateRefused && passed(t, e.until):
			b.removeFlow(uint32(i))
		case e.state != stateRefused && passed(t, e.seen+l.idle):
			b.end(uint32(i), Expired, now)
		}
	}
	return out
}

func (b *Balancer) addFlow(p *Packet, l *fleet.Listener, h fleet.FlowHash, now time.Time) uint32 {
	i := b.flows.add(h)
	if i == noEntry {
		return noEntry
	}
	e := &b.flows.entries[i]
	e.state = flowChart.Initial()
	e.caller, e.port = p.Flow.Caller.Addr().As16(), p.Flow.Caller.Port()
	e.listener = b.listenerOf(l)
	e.flags = flagKeyed
	if l.Kind.Idempotent {
		e.flags |= flagIdempotent
	}
	e.seen = tick(now)
	e.until = e.seen + b.listeners[e.listener].deadline
	b.listeners[e.listener].refs++
	b.places[e.place].refs++
	return i
}

func (b *Balancer) setPlace(e *flowEntry, at uint32) {
	b.places[e.place].refs--
	e.place = at
	b.places[at].refs++
}

func (b *Balancer) listenerOf(l *fleet.Listener) uint32 {
	key := fleet.ListenerKey{Address: l.Address, Protocol: l.Protocol}
	at, ok := b.listenerAt[key]
	if !ok {
		at = uint32(len(b.listeners))
		b.listeners = append(b.listeners, listenerInfo{})
		b.listenerAt[key] = at
	}
	li := &b.listeners[at]
	li.Listener = *l
	li.idle, li.deadline, li.retention = ticks(l.Kind.IdleTimeout), ticks(l.Kind.Deadline), ticks(l.Kind.Deadline+retentionSlack)
	return at
}

func (b *Balancer) placeOf(id fleet.TargetID) uint32 {
	key := id.Key()
	at, ok := b.placeAt[key]
	if !ok {
		at = uint32(len(b.places))
		b.places = append(b.places, place{key: key, id: id})
		b.placeAt[key] = at
	}
	return at
}

func (b *Balancer) keyOf(e *flowEntry) fleet.FlowKey {
	l := &b.listeners[e.listener]
	return fleet.FlowKey{Caller: callerAddr(e), VIP: l.Address, Protocol: l.Protocol}
}

func (b *Balancer) request(p *Packet, l *fleet.Listener, now time.Time) Request {
	return Request{Flow: p.Flow, Kind: l.Kind.Name, Arrived: now, Deadline: now.Add(l.Kind.Deadline), Bytes: len(p.Payload)}
}

func (b *Balancer) requestOf(e *flowEntry, p *Packet, now time.Time) Request {
	return b.request(p, &b.listeners[e.listener].Listener, now)
}

// step applies an event of the flow chart; an event that the chart lacks
// leaves the state and is counted.
func (b *Balancer) step(e *flowEntry, ev chart.Event) bool {
	next, err := flowChart.Next(e.state, ev)
	if err != nil {
		b.stats.Dropped[CauseTransition]++
		return false
	}
	e.state = next
	return true
}

func (b *Balancer) forward(p *Packet, id fleet.TargetID, out []Action) []Action {
	b.stats.Forwarded++
	return append(out, Action{Op: Forward, Flow: p.Flow, Target: id, Payload: p.Payload})
}

// pass sends the packet to a peer with one hop more than it came with.
func (b *Balancer) pass(p *Packet, peer fleet.VMID, h PassHeader, out []Action) []Action {
	h.Hops = p.Header.Hops + 1
	if h.Hops > MaxHops || peer == "" || peer == b.self {
		return b.drop(p, CauseHops, out)
	}
	if h.Epoch == 0 {
		h.Epoch = b.view.Epoch
	}
	b.stats.Passed++
	return append(out, Action{Op: Pass, Flow: p.Flow, Target: p.Target, Peer: peer, Header: h, Payload: p.Payload})
}

func (b *Balancer) refuse(p *Packet, outcome fleet.Outcome, cause Cause, out []Action) []Action {
	b.stats.Refused[cause]++
	return append(out, Action{Op: Refuse, Flow: p.Flow, Payload: p.Payload, Outcome: outcome, Cause: cause})
}

func (b *Balancer) drop(p *Packet, cause Cause, out []Action) []Action {
	b.stats.Dropped[cause]++
	return append(out, Action{Op: Drop, Flow: p.Flow, Payload: p.Payload, Cause: cause})
}
