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
	// scanBatch limits the entries that one Tick visits after a change of
	// view; a visit of this many entries takes about 2 ms.
	scanBatch = 20000
	// scanBacklog is the total size in bytes of the unsent messages in the
	// outbox above which the scan pauses.
	scanBacklog = 256 << 10
)

type (
	// scan visits the flow table after a change of view and sends flow records
	// and exceptions to the VMs that need them in the new view. It compares
	// the current placement with base, the placement before the first change
	// of view since the last complete scan.
	scan struct {
		active bool
		at     int
		base   *placement.Map
	}

	// outgoingHandover sends the records of a destination to its new owner.
	outgoingHandover struct {
		to      fleet.VMID
		message handoverMessage
		parts   uint16
		unacked int
		done    bool
	}

	// incomingHandover tracks the parts received from a previous owner.
	incomingHandover struct {
		from  fleet.VMID
		epoch fleet.Epoch
		parts map[uint16]bool
		total uint16
		// lost is set if the records of the previous owner are incomplete.
		// lostAge is the time in ms since the missing records were lost.
		lost    bool
		lostAge uint32
	}
)

// startScan starts a scan and restarts incomplete transfers. It discards a
// transfer if this VM owns the destination again or the target is no longer in
// the view. It does nothing if there is no earlier view or the strategy has no
// target owners.
func (b *Balancer) startScan(old *placement.Map, now time.Time) {
	if old == nil || b.lacksTargetOwners() {
		return
	}
	if !b.scan.active {
		b.scan.base = old
	}
	b.scan.active, b.scan.at = true, 0
	for i := range b.dests.all {
		d := &b.dests.all[i]
		if d.outgoing == nil {
			continue
		}
		if d.owned || d.target == nil {
			d.outgoing = nil
			continue
		}
		b.outbox.removeTransfer(d.outgoing)
		d.outgoing = &outgoingHandover{to: b.placement.Owner(d.key)}
		b.beginPart(d)
	}
	b.updateReplicatedExceptions()
}

// lacksTargetOwners reports whether the strategy has no target owners.
func (b *Balancer) lacksTargetOwners() bool {
	_, ok := b.cfg.Strategy.(TargetOwner)
	return !ok
}

func (b *Balancer) beginPart(d *destination) {
	d.outgoing.parts++
	d.outgoing.message = handoverMessage{Epoch: b.view.Epoch, Dest: d.key, Part: d.outgoing.parts}
}

// continueScan visits the next scanBatch entries, unless the outbox holds more
// than scanBacklog bytes of unsent messages.
func (b *Balancer) continueScan(now time.Time) {
	if !b.scan.active || b.outbox.bytes > scanBacklog {
		return
	}
	end := min(b.scan.at+scanBatch, len(b.flows.entries))
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
	for i := range b.dests.all {
		d := &b.dests.all[i]
		d.syncStandby = false
		if d.outgoing == nil || d.outgoing.done {
			continue
		}
		m := &d.outgoing.message
		m.Total = d.outgoing.parts
		m.Lost, m.LostAge = b.lostAge(d, now)
		d.outgoing.done = true
		b.sendPart(d, now)
	}
}

// lostAge reports whether records of the destination are missing, and the time
// in ms since they were lost. For an incomplete handover, it is the time since
// this VM became the owner.
func (b *Balancer) lostAge(d *destination, now time.Time) (bool, uint32) {
	switch t := tick(now); {
	case d.lostWithin(t, b.maxWindow):
		return true, t - d.lostAt
	case d.lacksRecordsWithin(t, b.maxWindow):
		return true, t - d.takenAt
	}
	return false, 0
}

func (b *Balancer) sendPart(d *destination, now time.Time) {
	d.outgoing.unacked++
	b.send(d.outgoing.to, &d.outgoing.message, d.outgoing, now)
}

// scanFlow sends the flow record or the exception of one flow to the VMs that
// need it after a change of view.
func (b *Balancer) scanFlow(e *flowEntry, now time.Time) {
	s := b.listeners.all[e.listener].Service
	r := b.cfg.Strategy.Route(b.placement, s, e.hash)
	first, _ := b.scan.base.Candidates(s, e.hash)
	switch e.state {
	case stateRunning, stateEnding, stateEnded, stateUnknown:
		b.scanLocal(e, r, first.Key, now)
	case stateAway:
		b.scanAway(e, r, first.Key, now)
	case stateRefused, stateReturned:
		b.scanRefused(e, now)
	}
}

func (b *Balancer) scanLocal(e *flowEntry, r Route, oldFirst fleet.TargetKey, now time.Time) {
	d := &b.dests.all[e.dest]
	if d.target == nil {
		return
	}
	b.addToHandover(d, e, now)
	if r.First.Target == nil || r.First.Key == d.key {
		return
	}
	// Only this VM can tell the new owner of the first candidate about a flow
	// that is at another target of this VM.
	b.addToHandoverAs(&b.dests.all[b.dests.index(r.First.Key)], e, stateAway, now)
	if r.First.Key != oldFirst && r.Decider != b.self {
		b.addException(r.Decider, r.First.Key, e.hash, d.key, false)
	}
	if r.Decider == b.self && (r.First.Key != oldFirst || b.dests.all[b.dests.index(r.First.Key)].syncStandby) {
		b.addException(r.First.Standby, r.First.Key, e.hash, d.key, false)
	}
}

func (b *Balancer) scanAway(e *flowEntry, r Route, oldFirst fleet.TargetKey, now time.Time) {
	key := b.dests.all[e.dest].key
	switch {
	case r.First.Target == nil:
	case r.First.Key != oldFirst:
		if r.Decider != b.self {
			b.addException(r.Decider, r.First.Key, e.hash, key, false)
			return
		}
		b.replicateEntry(e)
	case r.Decider != b.self:
		b.addToHandover(&b.dests.all[b.dests.index(r.First.Key)], e, now)
	case b.dests.all[b.dests.index(r.First.Key)].syncStandby:
		b.replicateEntry(e)
	}
}

// scanRefused hands over a refused or returned flow with its destination, or
// copies a refusal to a new standby.
func (b *Balancer) scanRefused(e *flowEntry, now time.Time) {
	d := &b.dests.all[e.dest]
	b.addToHandover(d, e, now)
	if !d.owned || !d.syncStandby || e.state != stateRefused {
		return
	}
	if standby := b.placement.Standby(d.key); standby != "" {
		m := handoverMessage{Epoch: b.view.Epoch, Dest: d.key, Copy: true}
		m.add(b.recordOf(e, now))
		b.send(standby, &m, nil, now)
	}
}

// addToHandover adds an entry to the transfer of a destination, if a transfer is in
// progress and the scan has not yet ended.
func (b *Balancer) addToHandover(d *destination, e *flowEntry, now time.Time) {
	b.addToHandoverAs(d, e, e.state, now)
}

// addToHandoverAs is like addToHandover, but sets the state of the record.
func (b *Balancer) addToHandoverAs(d *destination, e *flowEntry, state chart.State, now time.Time) {
	if d.outgoing == nil || d.outgoing.done {
		return
	}
	rec := b.recordOf(e, now)
	rec.State = state
	if d.outgoing.message.add(rec) {
		return
	}
	b.sendPart(d, now)
	b.beginPart(d)
	d.outgoing.message.add(rec)
}

func (b *Balancer) recordOf(e *flowEntry, now time.Time) flowRecord {
	l := &b.listeners.all[e.listener]
	return flowRecord{
		Flow:      b.keyOf(e),
		State:     e.state,
		Dest:      b.dests.all[e.dest].key,
		Remaining: remainingTime(e.expires, tick(now)),
		Instance:  e.instance,
		Listener:  wireListener{Address: l.Address, Protocol: l.Protocol},
	}
}

func remainingTime(until, now uint32) uint32 {
	if passed(now, until) {
		return 0
	}
	return until - now
}

// handoverAcked counts an acknowledged part of a transfer. After the last
// part, the new owner has all records.
func (b *Balancer) handoverAcked(t *outgoingHandover) {
	t.unacked--
	if !t.done || t.unacked > 0 {
		return
	}
	for i := range b.dests.all {
		d := &b.dests.all[i]
		if d.outgoing != t {
			continue
		}
		d.outgoing = nil
		if vm, ok := b.vmIndex(t.to); ok {
			d.movedTo = vm + 1
		}
	}
}

// transfersPending reports whether a transfer of another destination is incomplete.
func (b *Balancer) transfersPending() bool {
	for i := range b.dests.all {
		if b.dests.all[i].outgoing != nil {
			return true
		}
	}
	return false
}

// markMovedAfterHandover marks an entry as moved if the new owner has received all
// records of the entry's destination. It reports whether the entry was marked. It
// is not called while transfers are pending: if one of them restarts, it needs the
// destinations of all flows whose first candidate it transfers.
func (b *Balancer) markMovedAfterHandover(e *flowEntry, now time.Time) bool {
	switch e.state {
	case stateRunning, stateEnding, stateEnded, stateUnknown:
	default:
		return false
	}
	d := &b.dests.all[e.dest]
	if d.owned || d.movedTo == 0 || d.target == nil {
		return false
	}
	if e.flags&flagSlot != 0 {
		b.freeSlot(e, admission.Completed, now)
	}
	l := &b.listeners.all[e.listener]
	b.markMoved(e, d.movedTo-1, b.view.Epoch)
	e.expires = tick(now) + max(l.idle, l.retention)
	return true
}

// applyHandover stores the records that the previous owner of a destination
// sent. It returns false, so that the message is not acknowledged, if this VM
// does not yet have the view in which it owns the destination.
func (b *Balancer) applyHandover(from fleet.VMID, m *handoverMessage, now time.Time) bool {
	if m.Epoch > b.view.Epoch {
		return false
	}
	at, ok := b.dests.byKey[m.Dest]
	if m.Copy {
		if ok {
			b.applyRecords(m, now)
		}
		return true
	}
	if !ok || !b.dests.all[at].owned {
		return m.Epoch < b.view.Epoch
	}
	b.applyRecords(m, now)
	d := &b.dests.all[at]
	in := &d.incoming
	if in.from != from || in.epoch < m.Epoch {
		*in = incomingHandover{from: from, epoch: m.Epoch, parts: make(map[uint16]bool)}
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
		b.completeHandover(d, now)
	}
	return true
}

// completeHandover marks the handover from the previous owner as complete. It
// ignores a transfer of a VM that is neither the predecessor nor lostFrom.
func (b *Balancer) completeHandover(d *destination, now time.Time) {
	in := &d.incoming
	if d.predecessor != in.from && (!d.recordsLost || d.lostFrom != in.from) {
		return
	}
	d.predecessor = ""
	d.recordsLost, d.lostAt, d.lostFrom, d.wasStandby = in.lost, tick(now)-in.lostAge, "", false
}

func (b *Balancer) applyRecords(m *handoverMessage, now time.Time) {
	for _, rec := range m.Records {
		b.applyRecord(&rec, m.Epoch, now)
	}
}

// applyRecord adds an entry for a record. It ignores the record if this VM has
// an entry of the same request that is neither stale nor in state Returned or
// Moved, since the entry is newer. It also ignores the record if the flow moved
// to another VM in the epoch of the record or later.
func (b *Balancer) applyRecord(rec *flowRecord, epoch fleet.Epoch, now time.Time) {
	p := Packet{Flow: rec.Flow, hash: rec.Flow.Hash(), Instance: rec.Instance}
	if i := b.find(&p); i != noEntry {
		e := &b.flows.entries[i]
		if e.state == stateMoved && e.epoch >= uint32(epoch) {
			return
		}
		if !e.isReturnedOrMoved() && !b.isStale(e) && (rec.Instance == 0 || e.instance == rec.Instance) {
			return
		}
	}
	l := b.view.Listener(rec.Listener.Address, rec.Listener.Protocol)
	if l == nil {
		return
	}
	i := b.addFlow(&p, l, b.destOfKey(rec.Dest), now)
	if i == noEntry {
		return
	}
	e := &b.flows.entries[i]
	e.expires = tick(now) + rec.Remaining
	e.epoch = uint32(b.view.Epoch)
	switch rec.State {
	case stateRunning, stateEnding:
		b.adoptEntry(i, eventAdopt, now)
	case stateEnded:
		b.transition(e, eventEnd)
	case stateRefused:
		b.transition(e, eventRefuse)
	case stateReturned:
		b.transition(e, eventReturn)
	case stateAway:
		b.transition(e, eventOffer)
		b.replicate(i, now)
	default:
		b.transition(e, eventLose)
	}
}

var (
	// wireStates lists the states that a record can have, in the order of
	// their codes on the wire.
	wireStates = []chart.State{stateRunning, stateEnding, stateEnded, stateRefused, stateReturned, stateAway, stateUnknown}
)

func wireState(s chart.State) uint8 { return uint8(slices.Index(wireStates, s)) }
