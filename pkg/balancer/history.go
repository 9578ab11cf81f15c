package balancer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
)

const (
	// maxPast bounds the earlier views that are kept.
	maxPast = 16
	// maxAsks bounds the places that a packet visits; with the pass that
	// brought it, it stays within MaxHops.
	maxAsks = 6
)

type (
	// history holds the earlier views whose choices (home zones, candidates)
	// differ from their successor's. Owners of earlier views are not needed: a
	// place knows its own predecessor.
	history struct {
		past []pastView // newest first
		// unsealed starts with the placement of the last epoch known as sealed
		// and holds those of all later ones; it is empty where none is known.
		unsealed []*placement.Map
		// from is the time since which past is complete.
		from  time.Time
		known bool
		// first is the placement of the first view, until an older member told
		// what came before.
		first *placement.Map
	}

	pastView struct {
		m     *placement.Map
		ended time.Time
	}

	// askPlace is a VM that may hold a flow, and the place it is asked about.
	askPlace struct {
		vm  fleet.VMID
		key fleet.TargetKey
	}
)

// push takes a new view; old is nil for the first one.
func (h *history) push(old, m *placement.Map, now time.Time) {
	if old == nil {
		h.from = now
		// Epoch 1 is the first of a new zone, so that nothing came before.
		h.known = m.View().Epoch == 1
		h.first = m
	} else if !old.SameChoices(m) {
		h.past = append([]pastView{{m: old, ended: now}}, h.past...)
		if len(h.past) > maxPast {
			h.from, h.known = h.past[maxPast].ended, false
			h.past = h.past[:maxPast]
		}
	}
	switch {
	case m.View().Sealed:
		h.unsealed = append(h.unsealed[:0], m)
	case len(h.unsealed) >= maxPast:
		h.unsealed = nil
	case len(h.unsealed) > 0:
		h.unsealed = append(h.unsealed, m)
	}
}

// covers reports whether the views of the last window ms are known.
func (h *history) covers(now time.Time, window uint32) bool {
	return h.known || now.Sub(h.from) >= time.Duration(window)*time.Millisecond
}

// within reports whether the view was current less than window ms ago.
func (v *pastView) within(now time.Time, window uint32) bool {
	return now.Sub(v.ended) < time.Duration(window)*time.Millisecond
}

// askList fills b.asks with the VMs that may hold an unknown flow whose first
// candidate this VM owns. It returns true where they are not enough to be
// certain.
func (b *Balancer) askList(s fleet.ServiceID, h fleet.FlowHash, r Route, window uint32, now time.Time) bool {
	b.asks = b.asks[:0]
	uncertain := !b.history.covers(now, window)
	t := tick(now)
	first := &b.places.all[b.places.index(r.First.Key)]
	ask := first.inheritedWithin(t, window) || uncertain
	if first.pending != "" && ask {
		b.addAsk(first.pending, first.key)
	}
	for i := range b.history.past {
		v := &b.history.past[i]
		if !v.within(now, window) {
			break
		}
		c1, c2, zone := b.pastChoice(v, s, h)
		if c1.Key == r.First.Key && zone == "" {
			continue
		}
		ask = true
		if zone != "" {
			b.addAsk(b.placement.Relay(zone, h), zoneKey(zone))
			continue
		}
		uncertain = b.askAbout(c1, r, window, t) || uncertain
		uncertain = b.askAbout(c2, r, window, t) || uncertain
	}
	if !ask {
		return uncertain
	}
	uncertain = b.askAbout(r.Second, r, window, t) || uncertain
	if len(b.asks) > maxAsks {
		b.asks = b.asks[:maxAsks]
		return true
	}
	return uncertain
}

// pastChoice returns the candidates of an earlier view, or the home zone where
// it was another one.
func (b *Balancer) pastChoice(v *pastView, s fleet.ServiceID, h fleet.FlowHash) (c1, c2 placement.Candidate, zone fleet.ZoneID) {
	if z := v.m.HomeZone(s, h); z != nil && z.ID != b.view.Zone {
		return c1, c2, z.ID
	}
	c1, c2 = v.m.Candidates(s, h)
	return c1, c2, ""
}

// askAbout adds the owner of a candidate, or the last one of a target that is
// gone; it returns true where that VM has left, and where this VM is the owner
// and lost the records of its predecessor.
func (b *Balancer) askAbout(c placement.Candidate, r Route, window, t uint32) bool {
	if c.Target == nil || c.Key == r.First.Key {
		return false
	}
	owner := b.placement.Owner(c.Key)
	at, ok := b.places.at[c.Key]
	if b.view.Target(c.Key) == nil {
		if !ok || b.view.Member(b.places.all[at].last) == nil {
			return true
		}
		owner = b.places.all[at].last
	}
	if owner != b.self {
		b.addAsk(owner, c.Key)
		return false
	}
	if !ok {
		return true
	}
	pl := &b.places.all[at]
	if pl.pending != "" && pl.inheritedWithin(t, window) {
		b.addAsk(pl.pending, c.Key)
	}
	return pl.lostWithin(t, window)
}

func (b *Balancer) addAsk(vm fleet.VMID, key fleet.TargetKey) {
	for _, a := range b.asks {
		if a.vm == vm && a.key == key {
			return
		}
	}
	if vm != b.self && vm != "" {
		b.asks = append(b.asks, askPlace{vm: vm, key: key})
	}
}

// sendHistory tells new members the candidates of earlier views, so that they
// know where a flow may be. Two of the old members do it.
func (b *Balancer) sendHistory(old *placement.Map, now time.Time) {
	if old == nil {
		return
	}
	for i := range b.view.Members {
		id := b.view.Members[i].ID
		key := fleet.TargetKey(xxhash.Sum64String(string(id)))
		if old.View().Member(id) == nil && (old.Owner(key) == b.self || old.Standby(key) == b.self) {
			b.joiners = append(b.joiners, id)
		}
	}
	if len(b.joiners) == 0 {
		return
	}
	b.outbox.filter(func(m *outMessage) bool { return !m.history })
	m := b.historyMessage(now)
	for _, id := range b.joiners {
		b.send(id, m, nil, now)
	}
}

func (b *Balancer) historyAcked(id fleet.VMID) {
	b.joiners = slices.DeleteFunc(b.joiners, func(j fleet.VMID) bool { return j == id || b.view.Member(j) == nil })
}

// historyMessage describes the earlier views as far as they fit.
func (b *Balancer) historyMessage(now time.Time) *historyMessage {
	h := &b.history
	m := &historyMessage{Epoch: b.view.Epoch, Covers: 1 << 30}
	if !h.known {
		m.Covers = ticks(now.Sub(h.from))
	}
	for i := range h.past {
		v := &h.past[i]
		age := ticks(now.Sub(v.ended))
		step := stepOf(v.m.View(), b.view, age)
		m.Steps = append(m.Steps, step)
		if !v.m.SameZones(b.placement) || len(encodeUnbounded(m)) > MaxControlSize {
			// What does not fit, and changes of zones, are not told.
			m.Steps = m.Steps[:len(m.Steps)-1]
			m.Covers = age
			break
		}
	}
	return m
}

// encodeUnbounded encodes a message that may be too long.
func encodeUnbounded(m controlMessage) []byte { return m.appendBody(make([]byte, controlHeaderSize)) }

// stepOf returns the difference of an earlier view's candidates to the new
// ones.
func stepOf(old, v *fleet.View, age uint32) historyStep {
	step := historyStep{Age: age}
	for i := range old.Targets {
		t := &old.Targets[i]
		if now := v.Target(t.ID.Key()); t.TakesNewFlows() && (now == nil || !now.TakesNewFlows()) {
			step.Plus = append(step.Plus, t.ID)
		}
	}
	for i := range v.Targets {
		t := &v.Targets[i]
		if before := old.Target(t.ID.Key()); t.TakesNewFlows() && (before == nil || !before.TakesNewFlows()) {
			step.Minus = append(step.Minus, t.ID.Key())
		}
	}
	return step
}

// applyHistory takes the earlier views of an older member; false where this
// VM does not have the view that the message refers to yet.
func (b *Balancer) applyHistory(m *historyMessage, now time.Time) bool {
	h := &b.history
	if m.Epoch > b.view.Epoch {
		return false
	}
	if h.known || h.first == nil || m.Epoch != h.first.View().Epoch {
		return true
	}
	for i := range m.Steps {
		v := pastOf(h.first.View(), &m.Steps[i])
		if v == nil || len(h.past) >= maxPast {
			return true
		}
		h.past = append(h.past, pastView{m: placement.New(v), ended: now.Add(-time.Duration(m.Steps[i].Age) * time.Millisecond)})
	}
	h.from = now.Add(-time.Duration(m.Covers) * time.Millisecond)
	h.first = nil
	return true
}

// pastOf returns a view with the candidates of an earlier one, or nil where
// the step makes no valid view.
func pastOf(base *fleet.View, step *historyStep) *fleet.View {
	v := &fleet.View{Zone: base.Zone, Self: base.Self, Epoch: base.Epoch, Members: base.Members, Zones: base.Zones, Listeners: base.Listeners}
	for i := range base.Targets {
		t := base.Targets[i]
		if slices.Contains(step.Minus, t.ID.Key()) || !t.TakesNewFlows() {
			continue
		}
		v.Targets = append(v.Targets, t)
	}
	for _, id := range step.Plus {
		v.Targets = append(v.Targets, fleet.Target{ID: id, Zone: base.Zone, Slots: 1, ConnectionLimit: 1, State: fleet.TargetReady})
	}
	v.Members, v.Zones, v.Listeners = slices.Clone(v.Members), slices.Clone(v.Zones), slices.Clone(v.Listeners)
	if v.Freeze() != nil {
		return nil
	}
	return v
}
