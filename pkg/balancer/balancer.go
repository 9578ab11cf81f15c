package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// sweepInterval is the time in which the whole flow table is looked through
	// for flows whose time is over.
	sweepInterval = 250 * time.Millisecond
	// sweepSteps spreads one pass over several ticks.
	sweepSteps = 10
	// pauseLimit is the time between two ticks after which this process counts
	// as paused. Packets may have waited in its sockets for so long that other
	// VMs no longer remember the decisions about their flows, and its view may
	// name addresses that belong to other services now. So it drops packets for
	// pauseQuiet, in which the sockets are emptied, and then until its lease
	// shows that its view is current, for at most pauseMost.
	pauseLimit = time.Second
	pauseQuiet = 200 * time.Millisecond
	pauseMost  = 3 * time.Second
	// PredecessorTimeout is the time after which a VM that has just started
	// takes it that a target had no owner before. Until then it can't know what
	// was decided about flows that it does not hold.
	PredecessorTimeout = 5 * time.Second
)

// Balancer decides about packets. One goroutine uses it.
//
// Invariants: an entry in Queued has a held packet and stands in the limiter of
// its place; flagSlot is set exactly while the limiter of the entry's place
// counts the flow; places[i].refs counts the entries at the place.
type Balancer struct {
	cfg        Config
	self       fleet.VMID
	view       *fleet.View
	placement  *placement.Map
	leaseUntil time.Time

	flows     flowTable
	listeners listenerTable
	places    placeTable
	vms       []fleet.VMID // VMs that entries refer to
	vmAt      map[fleet.VMID]uint16
	freed     []uint16 // places of which a slot was given back since the last start

	history  history
	held     heldPackets
	replicas map[replicaKey]replica
	scan     scan
	batches  batches
	outbox   outbox

	unknownFlows [unknownSlots]unknownFlow
	asks         []askPlace   // scratch space of askList
	joiners      []fleet.VMID // new members that lack the history
	idle         uint32       // longest idle timeout or retention time, in ms
	refusals     int          // entries in Refused and Returned
	lapsed       bool         // the lease ended since the last change of epoch
	sweepAt      int
	lastSweep    time.Time
	lastTick     time.Time
	quiet        time.Time // end of the time after a pause
	stats        Stats
}

// New returns a Balancer that drops every packet until SetView.
func New(cfg Config) *Balancer {
	cfg.setDefaults()
	b := &Balancer{
		cfg:       cfg,
		self:      cfg.Self,
		flows:     newFlowTable(cfg.MaxFlows),
		listeners: newListenerTable(),
		places:    newPlaceTable(),
		vmAt:      make(map[fleet.VMID]uint16),
		held:      newHeldPackets(cfg.HeldPackets, cfg.HeldBytes),
		replicas:  make(map[replicaKey]replica),
		stats:     newStats(),
	}
	b.outbox.rate = cfg.HandoverRate
	return b
}

// SetLease sets the end of this VM's lease; after it, the VM decides about no
// non-idempotent request.
func (b *Balancer) SetLease(until time.Time) { b.leaseUntil = until }

// SetView makes a frozen view current. The packets that follow from it, such
// as those of queued requests that move, come with the next Tick.
func (b *Balancer) SetView(v *fleet.View, now time.Time) {
	if b.view != nil && v.Epoch < b.view.Epoch {
		return
	}
	b.noteLease(now)
	old := b.placement
	if b.lapsed && old != nil && v.Epoch > b.view.Epoch+1 {
		old = nil
		b.forgetDecisions(now)
	}
	if v.Epoch > b.viewEpoch() {
		b.lapsed = false
	}
	b.view = v
	b.placement = placement.New(v)
	b.history.push(old, b.placement, now)
	b.setListeners()
	b.idle = b.longestIdle()
	b.setPlaces(old, now)
	b.held.changed = true
	b.startScan(old, now)
	b.sendHistory(old, now)
}

// noteLease forgets the last sealed epoch where the lease ended: epochs that
// this VM never saw may have been sealed since.
func (b *Balancer) noteLease(now time.Time) {
	if !now.Before(b.leaseUntil) {
		b.history.unsealed = nil
		b.lapsed = true
	}
}

func (b *Balancer) viewEpoch() fleet.Epoch {
	if b.view == nil {
		return 0
	}
	return b.view.Epoch
}

// forgetDecisions makes a VM that had no lease, and missed epochs, know no more
// than a new member: in those epochs others may have owned its places and
// decided otherwise. Where a flow runs stays true. A VM that sees each epoch
// knows their owners, also while it waits for its lease in the next epoch.
func (b *Balancer) forgetDecisions(now time.Time) {
	b.lapsed = false
	b.history = history{}
	b.scan = scan{}
	for i := range b.flows.entries {
		switch b.flows.entries[i].state {
		case stateAway, stateRefused, stateReturned, stateMoved:
			b.removeFlow(uint32(i), admission.Cancelled, now)
		}
	}
	clear(b.replicas)
	for i := range b.places.all {
		pl := &b.places.all[i]
		if pl.owned {
			pl.owned, pl.wasOwned, pl.until, pl.out = false, true, tick(now), nil
		}
	}
}

// mayDecide reports whether a non-idempotent request may be decided now: with
// a valid lease, and in a sealed epoch or where the last epoch known as sealed
// and all later ones give the flow the same candidates and owners. Any of the
// later ones may have been sealed without this VM hearing of it.
func (b *Balancer) mayDecide(s fleet.ServiceID, h fleet.FlowHash, r Route, now time.Time) bool {
	if !now.Before(b.leaseUntil) {
		return false
	}
	if b.view.Sealed {
		return true
	}
	for _, m := range b.history.unsealed {
		if !b.sameRoute(m, s, h, r) {
			return false
		}
	}
	return len(b.history.unsealed) > 0
}

// sameRoute reports whether an earlier placement gives the flow the same home
// zone, candidates and owners as the present one.
func (b *Balancer) sameRoute(m *placement.Map, s fleet.ServiceID, h fleet.FlowHash, r Route) bool {
	old, oldZone, zone := b.cfg.Strategy.Route(m, s, h), m.HomeZone(s, h), b.placement.HomeZone(s, h)
	return old.First.Key == r.First.Key && old.Second.Key == r.Second.Key &&
		old.First.Owner == r.First.Owner && old.Second.Owner == r.Second.Owner &&
		(oldZone == nil) == (zone == nil) && (zone == nil || oldZone.ID == zone.ID)
}

// Handle decides about one packet and appends the actions to out. Payloads of
// actions refer to the packet's payload.
func (b *Balancer) Handle(p Packet, now time.Time, out []Action) []Action {
	out = b.handle(p, now, out)
	// A slot that waited for the next Tick would be idle for a good part of a
	// short request.
	for i := 0; i < len(b.freed); i++ {
		out = b.nextQueued(b.freed[i], now, out)
	}
	b.freed = b.freed[:0]
	return out
}

func (b *Balancer) handle(p Packet, now time.Time, out []Action) []Action {
	b.stats.Packets++
	if b.view == nil {
		return b.drop(&p, CauseNoView, out)
	}
	p.hash = p.Flow.Hash()
	b.notePause(now)
	if p.Source != FromTarget && b.isQuiet(now) {
		return b.drop(&p, CausePaused, out)
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

// notePause notices that the process did not run for a while.
func (b *Balancer) notePause(now time.Time) {
	if !b.lastTick.IsZero() && now.Sub(b.lastTick) > pauseLimit {
		b.quiet = now.Add(pauseQuiet)
		b.lastTick = now
	}
}

// isQuiet reports whether packets are dropped after a pause.
func (b *Balancer) isQuiet(now time.Time) bool {
	if !now.Before(b.quiet.Add(pauseMost)) {
		return false
	}
	return now.Before(b.quiet) || !now.Before(b.leaseUntil)
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
	case Ask:
		return b.asked(p, now, out)
	case NotHere:
		return b.notHere(p, now, out)
	case Overflow:
		return b.overflowed(p, now, out)
	case Answer:
		return b.answer(p, now, out)
	case Refusal:
		return b.refusal(p, now, out)
	}
	return b.route(p, now, out)
}

// Tick starts queued requests, ends flows whose time is over, works on
// handovers, and appends the actions that follow. Call it every 10 ms or so.
func (b *Balancer) Tick(now time.Time, out []Action) []Action {
	// A pause counts also before the first view: packets wait in the sockets.
	b.notePause(now)
	b.lastTick = now
	if b.view == nil {
		return out
	}
	b.noteLease(now)
	b.freed = b.freed[:0]
	out = b.moveQueued(now, out)
	out = b.releaseHeld(now, out)
	for _, at := range b.places.owned {
		out = b.nextQueued(at, now, out)
	}
	b.continueScan(now)
	b.flushBatches(now)
	if now.Sub(b.lastSweep) >= sweepInterval/sweepSteps {
		b.lastSweep = now
		out = b.sweep(now, out)
		b.settleGuesses(now)
	}
	return b.sendOutbox(now, out)
}

// find returns the index of the packet's flow, or noEntry.
func (b *Balancer) find(p *Packet) uint32 { return b.flows.find(p.hash, &p.Flow, b.listeners.all) }

// findKey returns the index of a flow, or noEntry.
func (b *Balancer) findKey(k fleet.FlowKey) uint32 {
	return b.flows.find(k.Hash(), &k, b.listeners.all)
}

// step applies an event of the flow chart; an event that the chart lacks
// leaves the state and is counted.
func (b *Balancer) step(e *flowEntry, ev chart.Event) bool {
	next, err := flowChart.Next(e.state, ev)
	if err != nil {
		b.stats.Transitions++
		return false
	}
	b.refusals += refusalCount(next) - refusalCount(e.state)
	e.state = next
	return true
}

func refusalCount(s chart.State) int {
	if s == stateRefused || s == stateReturned {
		return 1
	}
	return 0
}

// addFlow makes an entry for a flow, at the given place; it replaces an entry
// that says that the flow was returned or moved. It returns noEntry where the
// table is full.
func (b *Balancer) addFlow(p *Packet, l *fleet.Listener, at uint16, now time.Time) uint32 {
	li, ok := b.listeners.index(l)
	if !ok {
		return noEntry
	}
	if i := b.find(p); i != noEntry {
		b.removeFlow(i, admission.Cancelled, now)
	}
	i := b.flows.add(p.hash)
	if i == noEntry {
		b.stats.TableFull++
		return noEntry
	}
	e := &b.flows.entries[i]
	e.state = flowChart.Initial()
	e.caller, e.port = p.Flow.Caller.Addr().As16(), p.Flow.Caller.Port()
	e.listener, e.place, e.instance = li, at, p.Instance
	e.seen = tick(now)
	e.until = e.seen + b.listeners.all[li].deadline
	b.listeners.all[li].refs++
	b.places.all[at].refs++
	return i
}

// removeFlow frees an entry, its slot and its held packet.
func (b *Balancer) removeFlow(i uint32, result admission.Result, now time.Time) {
	e := &b.flows.entries[i]
	b.freeSlot(e, result, now)
	if e.state == stateQueued {
		if lim := b.places.all[e.place].limiter; lim != nil {
			lim.Cancel(b.keyOf(e), now)
		}
		b.held.take(i)
	}
	if e.state == stateAway && e.flags&flagReplicated != 0 {
		b.unreplicate(e)
	}
	moved := e.state == stateMoved
	b.step(e, eventClose)
	b.listeners.all[e.listener].refs--
	if !moved {
		b.places.all[e.place].refs--
	}
	b.flows.remove(i)
}

func (b *Balancer) setPlace(e *flowEntry, at uint16) {
	b.places.all[e.place].refs--
	e.place = at
	b.places.all[at].refs++
}

// freeSlot gives the slot of a flow back.
func (b *Balancer) freeSlot(e *flowEntry, result admission.Result, now time.Time) {
	if e.flags&flagSlot == 0 {
		return
	}
	e.flags &^= flagSlot
	pl := &b.places.all[e.place]
	pl.connections--
	if pl.limiter != nil {
		pl.limiter.Finish(b.keyOf(e), result, now)
		b.freed = append(b.freed, e.place)
	}
}

func (b *Balancer) keyOf(e *flowEntry) fleet.FlowKey {
	l := &b.listeners.all[e.listener]
	return fleet.FlowKey{Caller: callerAddr(e), VIP: l.Address, Protocol: l.Protocol}
}

func (b *Balancer) request(p *Packet, l *fleet.Listener, now time.Time) Request {
	return Request{Flow: p.Flow, Kind: l.Kind.Name, Arrived: now, Deadline: now.Add(l.Kind.Deadline), Bytes: len(p.Payload)}
}

// vmIndex returns the index of a VM; VMs are never forgotten, since a zone
// sees few of them.
func (b *Balancer) vmIndex(id fleet.VMID) (uint16, bool) {
	at, ok := b.vmAt[id]
	if ok {
		return at, true
	}
	if len(b.vms) >= maxIndex {
		return 0, false
	}
	at = uint16(len(b.vms))
	b.vms = append(b.vms, id)
	b.vmAt[id] = at
	return at, true
}

func (b *Balancer) record(k timeline.Kind, name string, e timeline.Event, now time.Time) {
	e.Kind, e.Name, e.Epoch, e.Zone = k, name, b.view.Epoch, b.view.Zone
	b.cfg.Recorder.Record(e, now)
}

func (b *Balancer) forward(p *Packet, id fleet.TargetID, out []Action) []Action {
	b.stats.Forwarded++
	return append(out, Action{Op: Forward, Flow: p.Flow, Target: id, Payload: p.Payload})
}

// pass sends the packet to a peer with one hop more than it came with.
func (b *Balancer) pass(p *Packet, peer fleet.VMID, h PassHeader, out []Action) []Action {
	h.Hops = p.Header.Hops + 1
	h.Hash = p.hash
	if h.Hops > MaxHops || peer == "" || peer == b.self {
		return b.drop(p, CauseHops, out)
	}
	if h.Epoch == 0 {
		h.Epoch = b.view.Epoch
	}
	b.stats.Passed[h.Mode]++
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
