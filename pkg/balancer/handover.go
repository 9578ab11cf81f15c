package balancer

import (
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
)

const (
	// scanStep bounds the entries that one Tick looks through after a change of
	// view, to about 2 ms.
	scanStep = 20000
	// scanBacklog stops the scan while that many bytes wait to be sent.
	scanBacklog = 256 << 10
)

type (
	// scan looks through the flow table after a change of view, and tells other
	// VMs what they need to know of the flows. It compares with base, the
	// placement that the last complete scan saw.
	scan struct {
		active bool
		at     int
		base   *placement.Map
	}

	// transferOut sends the records of a place to its new owner.
	transferOut struct {
		to      fleet.VMID
		message handoverMessage
		parts   uint16
		unacked int
		done    bool
	}

	// transferIn counts the parts that came from a predecessor.
	transferIn struct {
		from  fleet.VMID
		epoch fleet.Epoch
		parts map[uint16]bool
		total uint16
		// lost and lostAge say whether the predecessor lacked records itself.
		lost    bool
		lostAge uint32
	}
)

// startScan begins a scan, and begins those transfers again that are not
// complete.
func (b *Balancer) startScan(old *placement.Map, now time.Time) {
	if old == nil || b.isUnowned() {
		return
	}
	if !b.scan.active {
		b.scan.base = old
	}
	b.scan.active, b.scan.at = true, 0
	for i := range b.places.all {
		pl := &b.places.all[i]
		if pl.out == nil {
			continue
		}
		if pl.owned || pl.target == nil {
			pl.out = nil
			continue
		}
		b.outbox.forget(pl.out)
		pl.out = &transferOut{to: b.placement.Owner(pl.key)}
		b.beginMessage(pl)
	}
	b.followReplicas()
}

// isUnowned reports whether the strategy has no target owners.
func (b *Balancer) isUnowned() bool {
	_, ok := b.cfg.Strategy.(TargetOwner)
	return !ok
}

func (b *Balancer) beginMessage(pl *place) {
	pl.out.parts++
	pl.out.message = handoverMessage{Epoch: b.view.Epoch, Place: pl.key, Part: pl.out.parts}
}

// continueScan looks at the next entries.
func (b *Balancer) continueScan(now time.Time) {
	if !b.scan.active || b.outbox.bytes > scanBacklog {
		return
	}
	end := min(b.scan.at+scanStep, len(b.flows.entries))
	for ; b.scan.at < end; b.scan.at++ {
		if e := &b.flows.entries[b.scan.at]; e.live() {
			b.scanFlow(e, now)
		}
	}
	if b.scan.at >= len(b.flows.entries) {
		b.finishScan(now)
	}
}

func (b *Balancer) finishScan(now time.Time) {
	b.scan = scan{}
	for i := range b.places.all {
		pl := &b.places.all[i]
		pl.sync = false
		if pl.out == nil || pl.out.done {
			continue
		}
		m := &pl.out.message
		m.Total = pl.out.parts
		m.Lost, m.LostAge = b.lostAge(pl, now)
		pl.out.done = true
		b.sendPart(pl, now)
	}
}

// lostAge returns how long ago records of the place were lost, and whether any
// were that still matter.
func (b *Balancer) lostAge(pl *place, now time.Time) (bool, uint32) {
	switch t := tick(now); {
	case pl.lostWithin(t, b.idle):
		return true, t - pl.lostAt
	case pl.inheritedWithin(t, b.idle):
		return true, t - pl.taken
	}
	return false, 0
}

func (b *Balancer) sendPart(pl *place, now time.Time) {
	pl.out.unacked++
	b.send(pl.out.to, &pl.out.message, pl.out, now)
}

// scanFlow tells others about one flow after a change of view.
func (b *Balancer) scanFlow(e *flowEntry, now time.Time) {
	s := b.listeners.all[e.listener].Service
	r := b.cfg.Strategy.Route(b.placement, s, e.hash)
	first, _ := b.scan.base.Candidates(s, e.hash)
	switch e.state {
	case stateRunning, stateEnding, stateEnded, stateUnknown:
		b.scanHere(e, r, first.Key, now)
	case stateAway:
		b.scanAway(e, r, first.Key, now)
	case stateRefused, stateReturned:
		b.scanRefused(e, now)
	}
}

func (b *Balancer) scanHere(e *flowEntry, r Route, oldFirst fleet.TargetKey, now time.Time) {
	pl := &b.places.all[e.place]
	if pl.target == nil {
		return
	}
	b.handOver(pl, e, now)
	if r.First.Target == nil || r.First.Key == pl.key {
		return
	}
	// The new owner of the first candidate knows of flows at another target of
	// this VM only from here.
	b.handOverAs(&b.places.all[b.places.index(r.First.Key)], e, stateAway, now)
	if r.First.Key != oldFirst && r.Decider != b.self {
		b.addException(r.Decider, r.First.Key, e.hash, pl.key, false)
	}
	if r.Decider == b.self && (r.First.Key != oldFirst || b.places.all[b.places.index(r.First.Key)].sync) {
		b.addException(r.First.Standby, r.First.Key, e.hash, pl.key, false)
	}
}

func (b *Balancer) scanAway(e *flowEntry, r Route, oldFirst fleet.TargetKey, now time.Time) {
	key := b.places.all[e.place].key
	switch {
	case r.First.Target == nil:
	case r.First.Key != oldFirst:
		if r.Decider != b.self {
			b.addException(r.Decider, r.First.Key, e.hash, key, false)
			return
		}
		b.replicateEntry(e)
	case r.Decider != b.self:
		b.handOver(&b.places.all[b.places.index(r.First.Key)], e, now)
	case b.places.all[b.places.index(r.First.Key)].sync:
		b.replicateEntry(e)
	}
}

// scanRefused hands a refusal over with its place, or copies it to a new
// standby.
func (b *Balancer) scanRefused(e *flowEntry, now time.Time) {
	pl := &b.places.all[e.place]
	b.handOver(pl, e, now)
	if !pl.owned || !pl.sync || e.state != stateRefused {
		return
	}
	if standby := b.placement.Standby(pl.key); standby != "" {
		m := handoverMessage{Epoch: b.view.Epoch, Place: pl.key, Copy: true}
		m.add(b.recordOf(e, now))
		b.send(standby, &m, nil, now)
	}
}

// handOver adds an entry to the transfer of a place, if there is one.
func (b *Balancer) handOver(pl *place, e *flowEntry, now time.Time) {
	b.handOverAs(pl, e, e.state, now)
}

func (b *Balancer) handOverAs(pl *place, e *flowEntry, state chart.State, now time.Time) {
	if pl.out == nil || pl.out.done {
		return
	}
	rec := b.recordOf(e, now)
	rec.State = state
	if pl.out.message.add(rec) {
		return
	}
	b.sendPart(pl, now)
	b.beginMessage(pl)
	pl.out.message.add(rec)
}

func (b *Balancer) recordOf(e *flowEntry, now time.Time) flowRecord {
	l := &b.listeners.all[e.listener]
	return flowRecord{
		Flow:     b.keyOf(e),
		State:    e.state,
		Place:    b.places.all[e.place].key,
		Remains:  remains(e.until, tick(now)),
		Instance: e.instance,
		Listener: wireListener{Address: l.Address, Protocol: l.Protocol},
	}
}

func remains(until, now uint32) uint32 {
	if passed(now, until) {
		return 0
	}
	return until - now
}

// transferAcked counts an acknowledged part; after the last one the new owner
// has all records.
func (b *Balancer) transferAcked(t *transferOut) {
	t.unacked--
	if !t.done || t.unacked > 0 {
		return
	}
	for i := range b.places.all {
		pl := &b.places.all[i]
		if pl.out != t {
			continue
		}
		pl.out = nil
		if vm, ok := b.vmIndex(t.to); ok {
			pl.movedTo = vm + 1
		}
	}
}

// moveTransferred marks an entry whose new owner has its record; true where it
// did.
func (b *Balancer) moveTransferred(e *flowEntry, now time.Time) bool {
	switch e.state {
	case stateRunning, stateEnding, stateEnded, stateUnknown:
	default:
		return false
	}
	pl := &b.places.all[e.place]
	if pl.owned || pl.movedTo == 0 || pl.target == nil {
		return false
	}
	if e.flags&flagSlot != 0 {
		b.freeSlot(e, admission.Completed, now)
	}
	l := &b.listeners.all[e.listener]
	b.move(e, pl.movedTo-1, b.view.Epoch)
	e.until = tick(now) + max(l.idle, l.retention)
	return true
}

// applyHandover takes the records of a place's former owner; false where this
// VM does not know yet that it owns the place.
func (b *Balancer) applyHandover(from fleet.VMID, m *handoverMessage, now time.Time) bool {
	if m.Epoch > b.view.Epoch {
		return false
	}
	at, ok := b.places.at[m.Place]
	if m.Copy {
		if ok {
			b.applyRecords(m, now)
		}
		return true
	}
	if !ok || !b.places.all[at].owned {
		return m.Epoch < b.view.Epoch
	}
	b.applyRecords(m, now)
	pl := &b.places.all[at]
	in := &pl.in
	if in.from != from || in.epoch < m.Epoch {
		*in = transferIn{from: from, epoch: m.Epoch, parts: make(map[uint16]bool)}
	}
	if in.epoch > m.Epoch {
		return true
	}
	in.parts[m.Part] = true
	in.total = max(in.total, m.Total)
	if m.Total != 0 {
		in.lost, in.lostAge = m.Lost, m.LostAge
	}
	if in.total != 0 && len(in.parts) == int(in.total) {
		b.completeHandover(pl, now)
	}
	return true
}

// completeHandover notes that this VM knows all that its predecessor knew.
func (b *Balancer) completeHandover(pl *place, now time.Time) {
	in := &pl.in
	if pl.pending != in.from && (!pl.lost || pl.lostFrom != in.from) {
		return
	}
	pl.pending = ""
	pl.lost, pl.lostAt, pl.lostFrom, pl.standby = in.lost, tick(now)-in.lostAge, "", false
}

func (b *Balancer) applyRecords(m *handoverMessage, now time.Time) {
	for _, rec := range m.Records {
		b.applyRecord(&rec, m.Epoch, now)
	}
}

// applyRecord makes an entry from a record; an entry of the same request that
// this VM has already is newer, and so is a move to a VM of a later epoch.
func (b *Balancer) applyRecord(rec *flowRecord, epoch fleet.Epoch, now time.Time) {
	p := Packet{Flow: rec.Flow, hash: rec.Flow.Hash(), Instance: rec.Instance}
	if i := b.find(&p); i != noEntry {
		e := &b.flows.entries[i]
		if e.state == stateMoved && e.epoch >= uint32(epoch) {
			return
		}
		if !e.isElsewhere() && !b.isStale(e) && (rec.Instance == 0 || e.instance == rec.Instance) {
			return
		}
	}
	l := b.view.Listener(rec.Listener.Address, rec.Listener.Protocol)
	if l == nil {
		return
	}
	i := b.addFlow(&p, l, b.placeOfKey(rec.Place), now)
	if i == noEntry {
		return
	}
	e := &b.flows.entries[i]
	e.until = tick(now) + rec.Remains
	e.epoch = uint32(b.view.Epoch)
	switch rec.State {
	case stateRunning, stateEnding:
		b.adoptEntry(i, eventAdopt, now)
	case stateEnded:
		b.step(e, eventEnd)
	case stateRefused:
		b.step(e, eventRefuse)
	case stateReturned:
		b.step(e, eventReturn)
	case stateAway:
		b.step(e, eventOffer)
		b.replicate(i, now)
	default:
		b.step(e, eventLose)
	}
}

var (
	// wireStates are the states that a record may have, in the order of their
	// codes.
	wireStates = []chart.State{stateRunning, stateEnding, stateEnded, stateRefused, stateReturned, stateAway, stateUnknown}
)

func wireState(s chart.State) uint8 { return uint8(slices.Index(wireStates, s)) }
