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
	// sweepInterval is the time in which the sweep for expired flows visits
	// the whole flow table.
	sweepInterval = 250 * time.Millisecond
	// sweepSteps is the number of parts into which a full sweep is divided.
	sweepSteps = 10
	// The process counts as paused if more than pauseThreshold passes without
	// a tick. During a pause, packets may wait in the sockets until the
	// entries of their flows have expired on other VMs, and the addresses in
	// the view may have been given to other services. After a pause the
	// Balancer therefore drops all packets except those that targets send to
	// this VM. It does so for pauseDropTime, during which the packets waiting in
	// the sockets are read. While the VM has no valid lease, it continues to do
	// so for up to pauseMaxDropTime longer, because only a valid lease shows
	// that the view is current.
	pauseThreshold   = time.Second
	pauseDropTime    = 200 * time.Millisecond
	pauseMaxDropTime = 3 * time.Second
	// PredecessorTimeout is the minimum time for which a VM that has just started
	// waits for the records of a target that it owns. If the VM that it takes for
	// the previous owner has sent none by then and the epoch is sealed, it assumes
	// that the target had no owner before. As long as the VM waits, it assumes
	// that a previous owner may have decided about flows that are unknown to this
	// VM.
	PredecessorTimeout = 5 * time.Second
)

// Balancer decides what an entry VM does with packets. It must be used by a
// single goroutine.
//
// Invariants: an entry in state Queued has a held packet, and either is in the
// queue of the limiter of its destination or waits for the retry of a shed
// request. flagSlot is set exactly while the connections of the entry's
// destination, and its limiter if there is one, count the flow.
// dests.all[i].refs counts the entries at destination i, without those in state
// Moved.
type Balancer struct {
	cfg        Config
	self       fleet.VMID
	view       *fleet.View
	placement  *placement.Map
	leaseUntil time.Time

	flows      flowTable
	listeners  listenerTable
	dests      destTable
	vms        []fleet.VMID // VMs that entries refer to by index
	indexByVM  map[fleet.VMID]uint16
	freedDests []uint16 // destinations with slots that became free since queued requests were last started

	history              history
	held                 heldPackets
	replicatedExceptions map[exceptionKey]replicatedException
	scan                 scan
	batches              batches
	outbox               outbox

	unknownFlows [maxUnknownFlows]unknownFlow
	askDests     []askDest    // result of the last listAsks; the slice is reused
	joiners      []fleet.VMID // new members that have not acknowledged the history
	maxWindow    uint32       // longest idle timeout or retention time, in ms
	refusals     int          // number of entries in states Refused and Returned
	leaseLapsed  bool         // the lease expired since the last change of epoch
	sweepIndex   int
	lastSweep    time.Time
	lastTick     time.Time
	dropUntil    time.Time // end of pauseDropTime after the last pause
	stats        Stats
}

// New returns a Balancer that drops every packet until SetView is called.
func New(cfg Config) *Balancer {
	cfg.setDefaults()
	b := &Balancer{
		cfg:                  cfg,
		self:                 cfg.Self,
		flows:                newFlowTable(cfg.MaxFlows),
		listeners:            newListenerTable(),
		dests:                newDestTable(),
		indexByVM:            make(map[fleet.VMID]uint16),
		held:                 newHeldPackets(cfg.HeldPackets, cfg.HeldBytes),
		replicatedExceptions: make(map[exceptionKey]replicatedException),
		stats:                newStats(),
	}
	b.outbox.rate = cfg.HandoverRate
	return b
}

// SetLease sets the time at which this VM's lease expires. Without a valid
// lease, the VM makes no decisions about non-idempotent requests.
func (b *Balancer) SetLease(until time.Time) { b.leaseUntil = until }

// SetView makes the frozen view v the current view; it ignores a view of an
// earlier epoch or of earlier settings. The next Tick returns the actions that follow from the
// change, such as passing queued requests to another VM.
func (b *Balancer) SetView(v *fleet.View, now time.Time) {
	if b.view != nil && (v.Epoch < b.view.Epoch || v.Revision < b.view.Revision) {
		return
	}
	b.checkLease(now)
	old := b.placement
	if b.leaseLapsed && old != nil && v.Epoch > b.view.Epoch+1 {
		old = nil
		b.forgetDecisions(now)
	}
	if v.Epoch > b.viewEpoch() {
		b.leaseLapsed = false
	}
	b.view = v
	b.placement = placement.New(v)
	b.history.push(old, b.placement, now)
	b.setListeners()
	b.maxWindow = b.longestWindow()
	b.setDests(old, now)
	b.held.changed = true
	b.startScan(old, now)
	b.sendHistory(old, now)
}

// checkLease forgets the last sealed epoch once the lease has expired: later
// epochs that this VM never saw may have been sealed since.
func (b *Balancer) checkLease(now time.Time) {
	if !now.Before(b.leaseUntil) {
		b.history.sinceSealed = nil
		b.leaseLapsed = true
	}
}

func (b *Balancer) viewEpoch() fleet.Epoch {
	if b.view == nil {
		return 0
	}
	return b.view.Epoch
}

// forgetDecisions discards the decisions and the history of a VM that missed
// epochs while it had no lease. In those epochs, other VMs may have owned its
// destinations and made other decisions. Entries of flows that run at a
// target stay valid. A VM that has seen every epoch needs no such reset: it
// knows the owners in each epoch, even while it waits for its lease in the
// next one.
func (b *Balancer) forgetDecisions(now time.Time) {
	b.leaseLapsed = false
	b.history = history{}
	b.scan = scan{}
	for i := range b.flows.entries {
		switch b.flows.entries[i].state {
		case stateAway, stateRefused, stateReturned, stateMoved:
			b.removeFlow(uint32(i), admission.Cancelled, now)
		}
	}
	clear(b.replicatedExceptions)
	for i := range b.dests.all {
		d := &b.dests.all[i]
		if d.owned {
			d.owned, d.outgoing = false, nil
		}
		// Another VM may have owned the destination since, also if this VM had lost it
		// before, so that its replies to an Ask prove nothing.
		d.wasOwned = false
	}
}

// mayDecide reports whether this VM may decide about a non-idempotent request
// now. The VM needs a valid lease. Unless the current epoch is sealed, the flow
// must also have the same home zone, candidates and owners in the last epoch
// known to be sealed and in all later epochs, since any of the later epochs may
// have been sealed without the knowledge of this VM.
func (b *Balancer) mayDecide(s fleet.ServiceID, h fleet.FlowHash, r Route, now time.Time) bool {
	if !now.Before(b.leaseUntil) {
		return false
	}
	if b.view.Sealed {
		return true
	}
	for _, m := range b.history.sinceSealed {
		if !b.sameRoute(m, s, h, r) {
			return false
		}
	}
	return len(b.history.sinceSealed) > 0
}

// sameRoute reports whether an earlier placement gives the flow the same home
// zone, candidates and owners as the current one.
func (b *Balancer) sameRoute(m *placement.Map, s fleet.ServiceID, h fleet.FlowHash, r Route) bool {
	old, oldZone, zone := b.cfg.Strategy.Route(m, s, h), m.HomeZone(s, h), b.placement.HomeZone(s, h)
	return old.First.Key == r.First.Key && old.Second.Key == r.Second.Key &&
		old.First.Owner == r.First.Owner && old.Second.Owner == r.Second.Owner &&
		(oldZone == nil) == (zone == nil) && (zone == nil || oldZone.ID == zone.ID)
}

// Handle processes one packet and appends the resulting actions to out.
// The payloads of the actions share memory with the payload of the packet.
func (b *Balancer) Handle(p Packet, now time.Time, out []Action) []Action {
	out = b.handle(p, now, out)
	// Start queued requests now: a slot that stays idle until the next Tick
	// would waste much of the time of a short request.
	for i := 0; i < len(b.freedDests); i++ {
		out = b.admitQueued(b.freedDests[i], now, out)
	}
	b.freedDests = b.freedDests[:0]
	return out
}

func (b *Balancer) handle(p Packet, now time.Time, out []Action) []Action {
	b.stats.Packets++
	if b.view == nil {
		return b.drop(&p, CauseNoView, out)
	}
	p.hash = p.Flow.Hash()
	b.detectPause(now)
	if p.Source != FromTarget && b.isDropping(now) {
		return b.drop(&p, CausePaused, out)
	}
	switch p.Source {
	case FromTarget:
		return b.handleAnswer(&p, now, out)
	case FromPeer:
		return b.handleFromPeer(&p, now, out)
	}
	p.Header = PassHeader{}
	return b.route(&p, now, out)
}

// detectPause starts to drop packets if more than pauseThreshold has passed
// since the last tick.
func (b *Balancer) detectPause(now time.Time) {
	if !b.lastTick.IsZero() && now.Sub(b.lastTick) > pauseThreshold {
		b.dropUntil = now.Add(pauseDropTime)
		b.lastTick = now
	}
}

// isDropping reports whether packets are still dropped because of a pause.
func (b *Balancer) isDropping(now time.Time) bool {
	if !now.Before(b.dropUntil.Add(pauseMaxDropTime)) {
		return false
	}
	return now.Before(b.dropUntil) || !now.Before(b.leaseUntil)
}

func (b *Balancer) handleFromPeer(p *Packet, now time.Time, out []Action) []Action {
	if p.Header.Hops > MaxHops {
		return b.drop(p, CauseHops, out)
	}
	switch p.Header.Mode {
	case ToSecond:
		return b.handleOffer(p, now, out)
	case Returned:
		return b.handleReturned(p, now, out)
	case Established:
		return b.handleEstablished(p, now, out)
	case Ask:
		return b.handleAsk(p, now, out)
	case NotHere:
		return b.handleNotHere(p, now, out)
	case Overflow:
		return b.handleOverflow(p, now, out)
	case Answer:
		return b.handleAnswer(p, now, out)
	case Refusal:
		return b.handleRefusal(p, now, out)
	}
	return b.route(p, now, out)
}

// Tick starts queued requests, ends expired flows, continues handovers, and
// appends the resulting actions to out. It should be called about every 10
// ms.
func (b *Balancer) Tick(now time.Time, out []Action) []Action {
	// A pause before the first view counts too, because packets may have waited
	// in the sockets.
	b.detectPause(now)
	b.lastTick = now
	if b.view == nil {
		return out
	}
	b.checkLease(now)
	b.freedDests = b.freedDests[:0]
	out = b.moveQueued(now, out)
	out = b.releaseHeld(now, out)
	for _, at := range b.dests.owned {
		out = b.admitQueued(at, now, out)
	}
	b.continueScan(now)
	b.flushBatches(now)
	if now.Sub(b.lastSweep) >= sweepInterval/sweepSteps {
		b.lastSweep = now
		out = b.sweep(now, out)
		b.dropInferredPredecessors(now)
	}
	return b.sendOutbox(now, out)
}

// find returns the index of the entry of the packet's flow, or noEntry.
func (b *Balancer) find(p *Packet) uint32 { return b.flows.find(p.hash, &p.Flow, b.listeners.all) }

// findKey returns the index of the entry of the flow with key k, or noEntry.
func (b *Balancer) findKey(k fleet.FlowKey) uint32 {
	return b.flows.find(k.Hash(), &k, b.listeners.all)
}

// transition applies an event of the flow state chart. An event that the
// chart does not allow leaves the state unchanged and is counted.
func (b *Balancer) transition(e *flowEntry, ev chart.Event) bool {
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

// addFlow adds an entry for a flow at the destination with index at and
// replaces an existing entry of the flow. It returns noEntry if a table is
// full.
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
	e.listener, e.dest, e.instance = li, at, p.Instance
	e.lastSeen = tick(now)
	e.expires = e.lastSeen + b.listeners.all[li].deadline
	b.listeners.all[li].refs++
	b.dests.all[at].refs++
	return i
}

// removeFlow removes an entry and releases its slot and its held packet.
func (b *Balancer) removeFlow(i uint32, result admission.Result, now time.Time) {
	e := &b.flows.entries[i]
	b.freeSlot(e, result, now)
	if e.state == stateQueued {
		if lim := b.dests.all[e.dest].limiter; lim != nil {
			lim.Cancel(b.keyOf(e), now)
		}
		b.held.take(i)
	}
	if e.state == stateAway && e.flags&flagReplicated != 0 {
		b.unreplicate(e)
	}
	moved := e.state == stateMoved
	b.transition(e, eventClose)
	b.listeners.all[e.listener].refs--
	if !moved {
		b.dests.all[e.dest].refs--
	}
	b.flows.remove(i)
}

func (b *Balancer) setDest(e *flowEntry, at uint16) {
	b.dests.all[e.dest].refs--
	e.dest = at
	b.dests.all[at].refs++
}

// freeSlot releases the slot of a flow, if it has one.
func (b *Balancer) freeSlot(e *flowEntry, result admission.Result, now time.Time) {
	if e.flags&flagSlot == 0 {
		return
	}
	e.flags &^= flagSlot
	d := &b.dests.all[e.dest]
	d.connections--
	if d.limiter != nil {
		d.limiter.Finish(b.keyOf(e), result, now)
		b.freedDests = append(b.freedDests, e.dest)
	}
}

func (b *Balancer) keyOf(e *flowEntry) fleet.FlowKey {
	l := &b.listeners.all[e.listener]
	return fleet.FlowKey{Caller: callerAddr(e), VIP: l.Address, Protocol: l.Protocol}
}

func (b *Balancer) request(p *Packet, l *fleet.Listener, now time.Time) Request {
	return Request{Flow: p.Flow, Kind: l.Kind.Name, Arrived: now, Deadline: now.Add(l.Kind.Deadline), Bytes: len(p.Payload)}
}

// vmIndex returns the index of a VM and adds the VM if it is new. It returns
// false if there are too many VMs. VMs are never removed, since a zone has few
// of them over time.
func (b *Balancer) vmIndex(id fleet.VMID) (uint16, bool) {
	at, ok := b.indexByVM[id]
	if ok {
		return at, true
	}
	if len(b.vms) >= maxIndex {
		return 0, false
	}
	at = uint16(len(b.vms))
	b.vms = append(b.vms, id)
	b.indexByVM[id] = at
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

// pass passes the packet to a peer and increments the hop count. It drops the
// packet if the packet was already passed MaxHops times, or if peer is empty or
// this VM.
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
