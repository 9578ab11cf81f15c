package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// maxIndex limits the number of listeners, destinations and VMs, since
// entries refer to them by 16-bit indexes.
const maxIndex = 1<<16 - 1

type (
	// listenerInfo is a listener that flows refer to. It is kept after its
	// removal from the settings as long as flows refer to it. Durations are
	// in milliseconds.
	listenerInfo struct {
		fleet.Listener
		refs                      int
		idle, deadline, retention uint32
	}

	listenerTable struct {
		all   []listenerInfo
		byKey map[fleet.ListenerKey]uint16
		free  []uint16
	}

	// destination is where a flow can go: a target of this zone, or another
	// zone.
	//
	// Invariants: predecessor and recordsLost are never both set; predecessor
	// is set only while that VM is a member.
	destination struct {
		key    fleet.TargetKey
		id     fleet.TargetID
		zone   fleet.ZoneID  // set if the destination is another zone
		target *fleet.Target // nil if the target is not in the view
		refs   int
		owned  bool
		// lastOwner is set while the target is not in the view. It is the
		// owner in the last view that contained the target. That VM keeps the
		// records of the target, because only targets in the view are handed
		// over. removedAt is the time at which the target was removed from the
		// view.
		lastOwner fleet.VMID
		removedAt uint32
		// ownedUntil is the time at which this VM stopped owning the
		// destination.
		ownedUntil uint32
		wasOwned   bool
		// takenAt and takenEpoch are the time and the epoch in which this VM
		// became the owner.
		takenAt    uint32
		takenEpoch fleet.Epoch
		// slowStart is set while admission is limited after a takeover (see
		// tryStart).
		slowStart bool
		// predecessor is the previous owner. It is set while that VM is a
		// member and the handover is incomplete.
		predecessor fleet.VMID
		// inferred is set while predecessor is only assumed, because this VM
		// has no earlier view (see previousOwner).
		inferred bool
		// recordsLost is set if records of the destination were lost at
		// lostAt: either the previous owner, lostFrom, left before its handover
		// was complete, or the records that it handed over were incomplete.
		// wasStandby is set if this VM was the standby of lostFrom.
		recordsLost bool
		lostAt      uint32
		lostFrom    fleet.VMID
		wasStandby  bool
		incoming    incomingHandover
		outgoing    *outgoingHandover
		movedTo     uint16 // index + 1 of the VM that has received all records; 0 for none
		// syncStandby is set when this VM becomes the owner or the standby
		// changes. It is cleared once a scan has sent the exceptions and
		// refusals of the destination to the standby.
		syncStandby bool
		limiter     Limiter
		connections int
		maxDeadline uint32 // longest deadline of the service's kinds, in ms
	}

	destTable struct {
		all   []destination
		byKey map[fleet.TargetKey]uint16
		free  []uint16
		owned []uint16
	}
)

func newListenerTable() listenerTable {
	return listenerTable{byKey: make(map[fleet.ListenerKey]uint16)}
}

// index returns the index of a listener and adds the listener if it is
// missing. It returns false if there are too many listeners.
func (t *listenerTable) index(l *fleet.Listener) (uint16, bool) {
	key := fleet.ListenerKey{Address: l.Address, Protocol: l.Protocol}
	at, ok := t.byKey[key]
	if ok {
		return at, true
	}
	if n := len(t.free); n > 0 {
		at, t.free = t.free[n-1], t.free[:n-1]
	} else if len(t.all) >= maxIndex {
		return 0, false
	} else {
		at = uint16(len(t.all))
		t.all = append(t.all, listenerInfo{})
	}
	t.byKey[key] = at
	t.all[at] = newListenerInfo(l, 0)
	return at, true
}

func newListenerInfo(l *fleet.Listener, refs int) listenerInfo {
	return listenerInfo{
		Listener:  *l,
		refs:      refs,
		idle:      ticks(l.Kind.IdleTimeout),
		deadline:  ticks(l.Kind.Deadline),
		retention: ticks(l.Kind.Deadline + retentionSlack),
	}
}

// setListeners updates the listeners from the view. It removes listeners that
// are not in the view and that no flow refers to.
func (b *Balancer) setListeners() {
	t := &b.listeners
	for key, at := range t.byKey {
		l := &t.all[at]
		if current := b.view.Listener(key.Address, key.Protocol); current != nil {
			*l = newListenerInfo(current, l.refs)
		} else if l.refs == 0 {
			delete(t.byKey, key)
			t.free = append(t.free, at)
		}
	}
}

func newDestTable() destTable {
	t := destTable{byKey: make(map[fleet.TargetKey]uint16)}
	// Index 0 is reserved for entries without a destination.
	t.index(0)
	return t
}

// index returns the index of the destination with the key and adds the
// destination if it is missing. It returns 0 if there are too many.
func (t *destTable) index(key fleet.TargetKey) uint16 {
	at, ok := t.byKey[key]
	if ok {
		return at
	}
	if n := len(t.free); n > 0 {
		at, t.free = t.free[n-1], t.free[:n-1]
	} else if len(t.all) >= maxIndex {
		return 0
	} else {
		at = uint16(len(t.all))
		t.all = append(t.all, destination{})
	}
	t.all[at] = destination{key: key}
	t.byKey[key] = at
	return at
}

// zoneKey returns the key of the destination that represents a zone.
func zoneKey(z fleet.ZoneID) fleet.TargetKey {
	return fleet.TargetKey(xxhash.Sum64String("zone/" + string(z)))
}

func (b *Balancer) destOfZone(z fleet.ZoneID) uint16 {
	at := b.dests.index(zoneKey(z))
	b.dests.all[at].zone = z
	return at
}

// removed reports whether the destination is a target that is not in the
// view.
func (d *destination) removed() bool { return d.target == nil && d.zone == "" }

// lostWithin reports whether records of the destination were lost less than
// window ms ago (see recordsLost).
func (d *destination) lostWithin(now, window uint32) bool {
	return d.recordsLost && !passed(now, d.lostAt+window)
}

// lacksRecordsWithin reports whether records of the previous owner are
// missing: they were lost less than window ms ago, or the handover is
// incomplete and this VM became the owner less than window ms ago.
func (d *destination) lacksRecordsWithin(now, window uint32) bool {
	return d.lostWithin(now, window) || d.predecessor != "" && !passed(now, d.takenAt+window)
}

// setDests updates the destinations to the targets and owners of the new
// view.
func (b *Balancer) setDests(old *placement.Map, now time.Time) {
	t := &b.dests
	for i := range t.all {
		d := &t.all[i]
		// Without an earlier view, the last owner is unknown.
		if old != nil && d.target != nil && b.view.Target(d.key) == nil {
			d.lastOwner, d.removedAt = old.Owner(d.key), tick(now)
		}
		d.target = nil
	}
	for i := range b.view.Targets {
		target := &b.view.Targets[i]
		at := t.index(target.ID.Key())
		d := &t.all[at]
		d.id, d.target, d.lastOwner = target.ID, target, ""
	}
	t.owned = t.owned[:0]
	for i := range t.all {
		d := &t.all[i]
		if i == 0 || d.zone != "" {
			continue
		}
		b.setOwner(d, old, now)
		if d.owned {
			t.owned = append(t.owned, uint16(i))
		}
	}
	b.freeDests(now)
}

func (b *Balancer) setOwner(d *destination, old *placement.Map, now time.Time) {
	owned := d.target != nil && b.placement.Owner(d.key) == b.self
	switch {
	case owned && !d.owned:
		b.gainDest(d, old, now)
	case !owned && d.owned:
		b.loseDest(d, now)
	case owned && b.placement.Standby(d.key) != old.Standby(d.key):
		d.syncStandby = true
	}
	if d.predecessor != "" && b.view.Member(d.predecessor) == nil {
		d.recordsLost, d.lostAt, d.lostFrom, d.predecessor = true, tick(now), d.predecessor, ""
		d.wasStandby = false
	}
	if owned {
		b.configureLimiter(d, now)
	}
}

func (b *Balancer) gainDest(d *destination, old *placement.Map, now time.Time) {
	d.owned, d.syncStandby, d.takenAt = true, true, tick(now)
	d.slowStart, d.predecessor, d.inferred, d.recordsLost, d.wasStandby = false, "", false, false, false
	d.incoming, d.outgoing, d.movedTo = incomingHandover{}, nil, 0
	d.takenEpoch = b.view.Epoch
	prev := b.previousOwner(d, old)
	if prev == "" || prev == b.self {
		return
	}
	d.slowStart = true
	if b.view.Member(prev) != nil {
		d.predecessor, d.inferred = prev, old == nil
	} else {
		d.recordsLost, d.lostAt, d.lostFrom = true, tick(now), prev
		d.wasStandby = old != nil && old.Standby(d.key) == b.self
	}
	b.record(timeline.KindOwner, "Taken", timeline.Event{Target: d.id.String(), VM: prev}, now)
}

// dropInferredPredecessors clears inferred predecessors that sent no records
// within PredecessorTimeout. A VM whose first view already had targets cannot
// know whether they had another owner before. The function does nothing until
// the epoch is sealed: only then does the inferred predecessor have the view, so
// that it would have started its handover if it had been the owner.
func (b *Balancer) dropInferredPredecessors(now time.Time) {
	if !b.view.Sealed {
		return
	}
	for _, at := range b.dests.owned {
		d := &b.dests.all[at]
		if d.inferred && passed(tick(now), d.takenAt+ticks(PredecessorTimeout)) {
			d.inferred = false
			if d.incoming.from != d.predecessor {
				d.predecessor, d.slowStart = "", false
			}
		}
	}
}

// previousOwner returns the VM that owned the destination before, or "" for a
// new target or in the first epoch. Without an earlier view, it assumes that
// the current standby was the owner, which is right if only this VM joined.
func (b *Balancer) previousOwner(d *destination, old *placement.Map) fleet.VMID {
	switch {
	case old != nil && old.View().Target(d.key) == nil:
		return ""
	case old != nil:
		return old.Owner(d.key)
	case b.view.Epoch == 1:
		return ""
	}
	return b.placement.Standby(d.key)
}

func (b *Balancer) loseDest(d *destination, now time.Time) {
	d.owned, d.wasOwned, d.ownedUntil = false, true, tick(now)
	if d.target == nil {
		return
	}
	to := b.placement.Owner(d.key)
	d.outgoing = &outgoingHandover{}
	b.record(timeline.KindOwner, "Given", timeline.Event{Target: d.id.String(), VM: to}, now)
}

func (b *Balancer) configureLimiter(d *destination, now time.Time) {
	kinds, longest := b.kinds(d.id.Service)
	d.maxDeadline = longest
	switch {
	case d.limiter != nil:
		d.limiter.Configure(*d.target, kinds, now)
	case b.cfg.NewLimiter != nil:
		d.limiter = b.cfg.NewLimiter(*d.target, kinds, now)
	}
}

// kinds returns the kinds of a service's listeners and their longest deadline
// in ms.
func (b *Balancer) kinds(s fleet.ServiceID) (kinds []fleet.Kind, longest uint32) {
	for i := range b.view.Listeners {
		if l := &b.view.Listeners[i]; l.Service == s {
			kinds = append(kinds, l.Kind)
			longest = max(longest, ticks(l.Kind.Deadline))
		}
	}
	return kinds, longest
}

// freeDests removes destinations that are not in the view and that no flow or
// replicated exception refers to. It keeps such a destination until maxWindow has
// passed since this VM stopped owning it and since the target was removed from
// the view.
func (b *Balancer) freeDests(now time.Time) {
	used := make(map[uint16]bool)
	for k, r := range b.replicatedExceptions {
		used[k.first], used[r.dest] = true, true
	}
	for key, at := range b.dests.byKey {
		d := &b.dests.all[at]
		recent := d.wasOwned && !passed(tick(now), d.ownedUntil+b.maxWindow)
		recent = recent || d.lastOwner != "" && !passed(tick(now), d.removedAt+b.maxWindow)
		if at == 0 || d.target != nil || d.refs > 0 || used[at] || recent {
			continue
		}
		delete(b.dests.byKey, key)
		b.dests.free = append(b.dests.free, at)
		*d = destination{}
	}
}

// longestWindow returns the longest time in ms for which an earlier decision
// about a flow of any listener matters (see windowOf).
func (b *Balancer) longestWindow() uint32 {
	var longest uint32
	for i := range b.view.Listeners {
		k := &b.view.Listeners[i].Kind
		longest = max(longest, ticks(k.IdleTimeout), ticks(k.Deadline+retentionSlack))
	}
	return longest
}

// tryStart takes a slot of the target. After a takeover only a growing share
// of the slots is used: flows that the previous owner started and that have
// sent nothing since are unknown to this VM, but may still occupy slots.
func (b *Balancer) tryStart(d *destination, r Request, now time.Time) bool {
	if d.target == nil || d.connections >= d.target.ConnectionLimit || !b.slowStartAllows(d, now) {
		return false
	}
	return d.limiter == nil || d.limiter.TryStart(r, now)
}

// slowStartAllows reports whether another request may start during the slow
// start after a takeover.
func (b *Balancer) slowStartAllows(d *destination, now time.Time) bool {
	age := tick(now) - d.takenAt
	if d.limiter == nil || !d.slowStart || age >= d.maxDeadline {
		d.slowStart = false
		return true
	}
	allowed := 1 + int(age)*(d.target.Slots-1)/int(d.maxDeadline)
	return d.limiter.InFlight() < allowed
}

// Spare returns, by service, the number of free slots of the targets that
// this VM owns and that accept new flows.
func (b *Balancer) Spare() map[fleet.ServiceID]int {
	out := make(map[fleet.ServiceID]int)
	for _, at := range b.dests.owned {
		d := &b.dests.all[at]
		if d.target == nil || d.limiter == nil || !d.target.TakesNewFlows() {
			continue
		}
		out[d.id.Service] += max(0, d.target.Slots-d.limiter.InFlight())
	}
	return out
}

// ReportLoad sets the number of requests in flight that a target itself
// reports. It does nothing if this VM does not own the target.
func (b *Balancer) ReportLoad(key fleet.TargetKey, inFlight int, now time.Time) {
	if at, ok := b.dests.byKey[key]; ok && b.dests.all[at].owned && b.dests.all[at].limiter != nil {
		b.dests.all[at].limiter.ReportLoad(inFlight, now)
	}
}
