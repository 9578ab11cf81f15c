package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// maxIndex bounds the listeners, places and VMs that entries refer to by 16
// bits.
const maxIndex = 1<<16 - 1

type (
	// listenerInfo is a listener that flows refer to; it outlives the listener
	// in the settings while flows refer to it. Durations are in milliseconds.
	listenerInfo struct {
		fleet.Listener
		refs                      int
		idle, deadline, retention uint32
	}

	listenerTable struct {
		all  []listenerInfo
		at   map[fleet.ListenerKey]uint16
		free []uint16
	}

	// place is where a flow can be: a target of the own zone, or another zone.
	//
	// Invariants: pending and lost are never both set by one predecessor;
	// pending is set only while the predecessor is a member.
	place struct {
		key    fleet.TargetKey
		id     fleet.TargetID
		zone   fleet.ZoneID  // set where the place is another zone
		target *fleet.Target // nil where the target is not in the view
		refs   int
		owned  bool
		// last is the owner in the last view that had the target, set while the
		// target is gone, and goneAt the time at which it went. Its records are
		// handed to nobody.
		last   fleet.VMID
		goneAt uint32
		// until is the time at which this VM stopped to own the place.
		until    uint32
		wasOwned bool
		// taken is the time at which this VM took the place over.
		taken      uint32
		takenEpoch fleet.Epoch
		inherited  bool
		// pending is a predecessor that lives and has not handed all over.
		pending fleet.VMID
		// guessed is set while pending is inferred and not known.
		guessed bool
		// lost is set where the last predecessor left without handing all over,
		// at the time lostAt; standby where this VM was its standby.
		lost     bool
		lostAt   uint32
		lostFrom fleet.VMID
		standby  bool
		in       transferIn
		out      *transferOut
		movedTo  uint16 // index + 1 of the VM that has all records
		// sync is set where the standby changed and needs all exceptions.
		sync        bool
		limiter     Limiter
		connections int
		longest     uint32 // longest deadline of the service's kinds, in ms
	}

	placeTable struct {
		all   []place
		at    map[fleet.TargetKey]uint16
		free  []uint16
		owned []uint16
	}
)

func newListenerTable() listenerTable {
	return listenerTable{at: make(map[fleet.ListenerKey]uint16)}
}

// index returns the index of a listener; false where there are too many.
func (t *listenerTable) index(l *fleet.Listener) (uint16, bool) {
	key := fleet.ListenerKey{Address: l.Address, Protocol: l.Protocol}
	at, ok := t.at[key]
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
	t.at[key] = at
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

// setListeners takes changed settings and forgets listeners that neither the
// settings nor a flow needs.
func (b *Balancer) setListeners() {
	t := &b.listeners
	for key, at := range t.at {
		l := &t.all[at]
		if now := b.view.Listener(key.Address, key.Protocol); now != nil {
			*l = newListenerInfo(now, l.refs)
		} else if l.refs == 0 {
			delete(t.at, key)
			t.free = append(t.free, at)
		}
	}
}

func newPlaceTable() placeTable {
	t := placeTable{at: make(map[fleet.TargetKey]uint16)}
	// Index 0 is a place that is never a target, for entries without one.
	t.index(0)
	return t
}

// index returns the index of the place with the key, which it makes where it
// is missing; index 0 where there are too many.
func (t *placeTable) index(key fleet.TargetKey) uint16 {
	at, ok := t.at[key]
	if ok {
		return at
	}
	if n := len(t.free); n > 0 {
		at, t.free = t.free[n-1], t.free[:n-1]
	} else if len(t.all) >= maxIndex {
		return 0
	} else {
		at = uint16(len(t.all))
		t.all = append(t.all, place{})
	}
	t.all[at] = place{key: key}
	t.at[key] = at
	return at
}

// zoneKey returns the key of the place that stands for a zone.
func zoneKey(z fleet.ZoneID) fleet.TargetKey {
	return fleet.TargetKey(xxhash.Sum64String("zone/" + string(z)))
}

func (b *Balancer) placeOfZone(z fleet.ZoneID) uint16 {
	at := b.places.index(zoneKey(z))
	b.places.all[at].zone = z
	return at
}

// gone reports whether the place is a target that is not in the view.
func (pl *place) gone() bool { return pl.target == nil && pl.zone == "" }

// lostWithin reports whether a predecessor left the place without handing all
// over less than window ms ago.
func (pl *place) lostWithin(now, window uint32) bool {
	return pl.lost && !passed(now, pl.lostAt+window)
}

// inheritedWithin reports whether this VM took the place over less than window
// ms ago and does not have all records of its predecessor.
func (pl *place) inheritedWithin(now, window uint32) bool {
	return pl.lostWithin(now, window) || pl.pending != "" && !passed(now, pl.taken+window)
}

// setPlaces follows the targets and owners of the new view.
func (b *Balancer) setPlaces(old *placement.Map, now time.Time) {
	t := &b.places
	for i := range t.all {
		pl := &t.all[i]
		// Without an earlier view the last owner is not known.
		if old != nil && pl.target != nil && b.view.Target(pl.key) == nil {
			pl.last, pl.goneAt = old.Owner(pl.key), tick(now)
		}
		pl.target = nil
	}
	for i := range b.view.Targets {
		target := &b.view.Targets[i]
		at := t.index(target.ID.Key())
		pl := &t.all[at]
		pl.id, pl.target, pl.last = target.ID, target, ""
	}
	t.owned = t.owned[:0]
	for i := range t.all {
		pl := &t.all[i]
		if i == 0 || pl.zone != "" {
			continue
		}
		b.setOwner(pl, old, now)
		if pl.owned {
			t.owned = append(t.owned, uint16(i))
		}
	}
	b.freePlaces(now)
}

func (b *Balancer) setOwner(pl *place, old *placement.Map, now time.Time) {
	owned := pl.target != nil && b.placement.Owner(pl.key) == b.self
	switch {
	case owned && !pl.owned:
		b.gainPlace(pl, old, now)
	case !owned && pl.owned:
		b.losePlace(pl, now)
	case owned && b.placement.Standby(pl.key) != old.Standby(pl.key):
		pl.sync = true
	}
	if pl.pending != "" && b.view.Member(pl.pending) == nil {
		pl.lost, pl.lostAt, pl.lostFrom, pl.pending = true, tick(now), pl.pending, ""
		pl.standby = false
	}
	if owned {
		b.configure(pl, now)
	}
}

func (b *Balancer) gainPlace(pl *place, old *placement.Map, now time.Time) {
	pl.owned, pl.sync, pl.taken = true, true, tick(now)
	pl.inherited, pl.pending, pl.guessed, pl.lost, pl.standby = false, "", false, false, false
	pl.in, pl.out, pl.movedTo = transferIn{}, nil, 0
	pl.takenEpoch = b.view.Epoch
	prev := b.predecessor(pl, old)
	if prev == "" || prev == b.self {
		return
	}
	pl.inherited = true
	if b.view.Member(prev) != nil {
		pl.pending, pl.guessed = prev, old == nil
	} else {
		pl.lost, pl.lostAt, pl.lostFrom = true, tick(now), prev
		pl.standby = old != nil && old.Standby(pl.key) == b.self
	}
	b.record(timeline.KindOwner, "Taken", timeline.Event{Target: pl.id.String(), VM: prev}, now)
}

// settleGuesses gives up predecessors that were only inferred and sent no
// record: a VM whose first view already had targets can't know whether they
// had another owner before. In a sealed epoch the supposed predecessor has the
// view, and would have begun to hand over.
func (b *Balancer) settleGuesses(now time.Time) {
	if !b.view.Sealed {
		return
	}
	for _, at := range b.places.owned {
		pl := &b.places.all[at]
		if pl.guessed && passed(tick(now), pl.taken+ticks(PredecessorTimeout)) {
			pl.guessed = false
			if pl.in.from != pl.pending {
				pl.pending, pl.inherited = "", false
			}
		}
	}
}

// predecessor returns the VM that owned the place before, or "" for a new
// target. A VM without an earlier view can't know it; where it joined alone,
// the standby owned the place before.
func (b *Balancer) predecessor(pl *place, old *placement.Map) fleet.VMID {
	switch {
	case old != nil && old.View().Target(pl.key) == nil:
		return ""
	case old != nil:
		return old.Owner(pl.key)
	case b.view.Epoch == 1:
		return ""
	}
	return b.placement.Standby(pl.key)
}

func (b *Balancer) losePlace(pl *place, now time.Time) {
	pl.owned, pl.wasOwned, pl.until = false, true, tick(now)
	if pl.target == nil {
		return
	}
	to := b.placement.Owner(pl.key)
	pl.out = &transferOut{}
	b.record(timeline.KindOwner, "Given", timeline.Event{Target: pl.id.String(), VM: to}, now)
}

func (b *Balancer) configure(pl *place, now time.Time) {
	kinds, longest := b.kinds(pl.id.Service)
	pl.longest = longest
	switch {
	case pl.limiter != nil:
		pl.limiter.Configure(*pl.target, kinds, now)
	case b.cfg.NewLimiter != nil:
		pl.limiter = b.cfg.NewLimiter(*pl.target, kinds, now)
	}
}

// kinds returns the kinds of a service's listeners and the longest deadline.
func (b *Balancer) kinds(s fleet.ServiceID) (kinds []fleet.Kind, longest uint32) {
	for i := range b.view.Listeners {
		if l := &b.view.Listeners[i]; l.Service == s {
			kinds = append(kinds, l.Kind)
			longest = max(longest, ticks(l.Kind.Deadline))
		}
	}
	return kinds, longest
}

// freePlaces forgets places that neither the view, a flow nor a replica needs.
func (b *Balancer) freePlaces(now time.Time) {
	used := make(map[uint16]bool)
	for k, r := range b.replicas {
		used[k.first], used[r.place] = true, true
	}
	for key, at := range b.places.at {
		pl := &b.places.all[at]
		recent := pl.wasOwned && !passed(tick(now), pl.until+b.idle)
		recent = recent || pl.last != "" && !passed(tick(now), pl.goneAt+b.idle)
		if at == 0 || pl.target != nil || pl.refs > 0 || used[at] || recent {
			continue
		}
		delete(b.places.at, key)
		b.places.free = append(b.places.free, at)
		*pl = place{}
	}
}

// longestIdle returns the longest time for which an earlier decision matters.
func (b *Balancer) longestIdle() uint32 {
	var longest uint32
	for i := range b.view.Listeners {
		k := &b.view.Listeners[i].Kind
		longest = max(longest, ticks(k.IdleTimeout), ticks(k.Deadline+retentionSlack))
	}
	return longest
}

// tryStart takes a slot of the place's target. After a takeover it admits only
// a growing part of the slots, since the flows that the predecessor started
// and that have sent nothing since are not known here.
func (b *Balancer) tryStart(pl *place, r Request, now time.Time) bool {
	if pl.target == nil || pl.connections >= pl.target.ConnectionLimit || !b.ramped(pl, now) {
		return false
	}
	return pl.limiter == nil || pl.limiter.TryStart(r, now)
}

func (b *Balancer) ramped(pl *place, now time.Time) bool {
	age := tick(now) - pl.taken
	if pl.limiter == nil || !pl.inherited || age >= pl.longest {
		pl.inherited = false
		return true
	}
	allowed := 1 + int(age)*(pl.target.Slots-1)/int(pl.longest)
	return pl.limiter.InFlight() < allowed
}

// Spare returns the free slots of the targets that this VM owns and that take
// new flows, by service.
func (b *Balancer) Spare() map[fleet.ServiceID]int {
	out := make(map[fleet.ServiceID]int)
	for _, at := range b.places.owned {
		pl := &b.places.all[at]
		if pl.target == nil || pl.limiter == nil || !pl.target.TakesNewFlows() {
			continue
		}
		out[pl.id.Service] += max(0, pl.target.Slots-pl.limiter.InFlight())
	}
	return out
}

// ReportLoad takes a target's own count of requests in flight.
func (b *Balancer) ReportLoad(key fleet.TargetKey, inFlight int, now time.Time) {
	if at, ok := b.places.at[key]; ok && b.places.all[at].owned && b.places.all[at].limiter != nil {
		b.places.all[at].limiter.ReportLoad(inFlight, now)
	}
}
