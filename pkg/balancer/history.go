package balancer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
)

const (
	// maxPastViews limits the number of earlier views that are kept.
	maxPastViews = 16
	// maxAsks limits the number of VMs that one packet is passed to with Ask.
	// MaxHops allows these passes and the pass by which the packet arrived.
	maxAsks = 6
)

type (
	// history holds the earlier views whose home zones or candidates differ
	// from those of the next view. Owners of earlier views are not needed,
	// since each destination stores its previous owner.
	history struct {
		past []pastView // newest first
		// sinceSealed holds the placement of the last epoch known to be
		// sealed and those of all later epochs. It is empty if no epoch is
		// known to be sealed.
		sinceSealed []*placement.Map
		// past lists every such view that ended after completeSince, or every
		// such view since the zone was created if complete is set.
		completeSince time.Time
		complete      bool
		// firstView is the placement of the first view, until an older member
		// has sent the views before it.
		firstView *placement.Map
	}

	pastView struct {
		m     *placement.Map
		ended time.Time
	}

	// askDest is a VM that may hold a flow, and the key of the destination
	// that it is asked about.
	askDest struct {
		vm  fleet.VMID
		key fleet.TargetKey
	}
)

// push adds a new view to the history; old is nil for the first view.
func (h *history) push(old, m *placement.Map, now time.Time) {
	if old == nil {
		h.completeSince = now
		// Epoch 1 is the first epoch of a zone; no view came before it.
		h.complete = m.View().Epoch == 1
		h.firstView = m
	} else if !old.SameRouting(m) {
		h.past = append([]pastView{{m: old, ended: now}}, h.past...)
		if len(h.past) > maxPastViews {
			h.completeSince, h.complete = h.past[maxPastViews].ended, false
			h.past = h.past[:maxPastViews]
		}
	}
	switch {
	case m.View().Sealed:
		h.sinceSealed = append(h.sinceSealed[:0], m)
	case len(h.sinceSealed) >= maxPastViews:
		h.sinceSealed = nil
	case len(h.sinceSealed) > 0:
		h.sinceSealed = append(h.sinceSealed, m)
	}
}

// covers reports whether all views of the last window ms are known.
func (h *history) covers(now time.Time, window uint32) bool {
	return h.complete || now.Sub(h.completeSince) >= time.Duration(window)*time.Millisecond
}

// within reports whether the view ended less than window ms ago.
func (v *pastView) within(now time.Time, window uint32) bool {
	return now.Sub(v.ended) < time.Duration(window)*time.Millisecond
}

// listAsks sets b.askDests to the VMs that may hold an unknown flow whose first
// candidate this VM owns. It returns true if a VM that is not in the list may
// hold the flow.
func (b *Balancer) listAsks(s fleet.ServiceID, h fleet.FlowHash, r Route, window uint32, now time.Time) bool {
	b.askDests = b.askDests[:0]
	uncertain := !b.history.covers(now, window)
	t := tick(now)
	first := &b.dests.all[b.dests.index(r.First.Key)]
	ask := first.lacksRecordsWithin(t, window) || uncertain
	if first.predecessor != "" && ask {
		b.addAsk(first.predecessor, first.key)
	}
	for i := range b.history.past {
		v := &b.history.past[i]
		if !v.within(now, window) {
			break
		}
		c1, c2, zone := b.pastCandidates(v, s, h)
		if c1.Key == r.First.Key && zone == "" {
			continue
		}
		ask = true
		if zone != "" {
			b.addAsk(b.placement.Relay(zone, h), zoneKey(zone))
			continue
		}
		uncertain = b.addCandidateOwner(c1, r, window, t) || uncertain
		uncertain = b.addCandidateOwner(c2, r, window, t) || uncertain
	}
	if !ask {
		return uncertain
	}
	uncertain = b.addCandidateOwner(r.Second, r, window, t) || uncertain
	if len(b.askDests) > maxAsks {
		b.askDests = b.askDests[:maxAsks]
		return true
	}
	return uncertain
}

// pastCandidates returns the flow's candidates in an earlier view. If the
// flow's home zone in that view was another zone, it returns only that zone.
func (b *Balancer) pastCandidates(v *pastView, s fleet.ServiceID, h fleet.FlowHash) (c1, c2 placement.Candidate, zone fleet.ZoneID) {
	if z := v.m.HomeZone(s, h); z != nil && z.ID != b.view.Zone {
		return c1, c2, z.ID
	}
	c1, c2 = v.m.Candidates(s, h)
	return c1, c2, ""
}

// addCandidateOwner adds the owner of a candidate to b.askDests, or the last
// owner if the target is no longer in the view. If this VM is that owner, it adds
// the previous owner instead if the handover of the target is incomplete and this
// VM became the owner less than window ms ago. It ignores the current first
// candidate.
//
// It returns true if records of the target may be lost. This is so if the target
// is no longer in the view and its last owner is unknown or has left, or if this
// VM is the owner and records of the previous owner were lost less than window
// ms ago.
func (b *Balancer) addCandidateOwner(c placement.Candidate, r Route, window, t uint32) bool {
	if c.Target == nil || c.Key == r.First.Key {
		return false
	}
	owner := b.placement.Owner(c.Key)
	at, ok := b.dests.byKey[c.Key]
	if b.view.Target(c.Key) == nil {
		if !ok || b.view.Member(b.dests.all[at].lastOwner) == nil {
			return true
		}
		owner = b.dests.all[at].lastOwner
	}
	if owner != b.self {
		b.addAsk(owner, c.Key)
		return false
	}
	if !ok {
		return true
	}
	d := &b.dests.all[at]
	if d.predecessor != "" && d.lacksRecordsWithin(t, window) {
		b.addAsk(d.predecessor, c.Key)
	}
	return d.lostWithin(t, window)
}

func (b *Balancer) addAsk(vm fleet.VMID, key fleet.TargetKey) {
	for _, a := range b.askDests {
		if a.vm == vm && a.key == key {
			return
		}
	}
	if vm != b.self && vm != "" {
		b.askDests = append(b.askDests, askDest{vm: vm, key: key})
	}
}

// sendHistory sends new members the candidates of earlier views, so that they
// know which VMs may hold a flow. Two older members send them to each new
// member.
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

// historyMessage returns a message with as many of the earlier views as fit.
func (b *Balancer) historyMessage(now time.Time) *historyMessage {
	h := &b.history
	m := &historyMessage{Epoch: b.view.Epoch, Covers: 1 << 30}
	if !h.complete {
		m.Covers = ticks(now.Sub(h.completeSince))
	}
	for i := range h.past {
		v := &h.past[i]
		age := ticks(now.Sub(v.ended))
		step := newHistoryStep(v.m.View(), b.view, age)
		m.Steps = append(m.Steps, step)
		if !v.m.SameHomeZones(b.placement) || len(encodeUnbounded(m)) > MaxControlSize {
			// The message ends before a view that does not fit or has other
			// home zones.
			m.Steps = m.Steps[:len(m.Steps)-1]
			m.Covers = age
			break
		}
	}
	return m
}

// encodeUnbounded encodes a message that may exceed MaxControlSize.
func encodeUnbounded(m controlMessage) []byte { return m.appendBody(make([]byte, controlHeaderSize)) }

// newHistoryStep returns the differences between the targets that take new
// flows in an earlier view, old, and those in the current view, v.
func newHistoryStep(old, v *fleet.View, age uint32) historyStep {
	step := historyStep{Age: age}
	for i := range old.Targets {
		t := &old.Targets[i]
		if current := v.Target(t.ID.Key()); t.TakesNewFlows() && (current == nil || !current.TakesNewFlows()) {
			step.Extra = append(step.Extra, t.ID)
		}
	}
	for i := range v.Targets {
		t := &v.Targets[i]
		if before := old.Target(t.ID.Key()); t.TakesNewFlows() && (before == nil || !before.TakesNewFlows()) {
			step.Missing = append(step.Missing, t.ID.Key())
		}
	}
	return step
}

// applyHistory adds the earlier views sent by an older member. It returns
// false if this VM does not yet have the view that the message refers to.
func (b *Balancer) applyHistory(m *historyMessage, now time.Time) bool {
	h := &b.history
	if m.Epoch > b.view.Epoch {
		return false
	}
	if h.complete || h.firstView == nil || m.Epoch != h.firstView.View().Epoch {
		return true
	}
	for i := range m.Steps {
		v := viewBefore(h.firstView.View(), &m.Steps[i])
		if v == nil || len(h.past) >= maxPastViews {
			return true
		}
		h.past = append(h.past, pastView{m: placement.New(v), ended: now.Add(-time.Duration(m.Steps[i].Age) * time.Millisecond)})
	}
	h.completeSince = now.Add(-time.Duration(m.Covers) * time.Millisecond)
	h.firstView = nil
	return true
}

// viewBefore returns base with the targets of the earlier view that step
// describes, or nil if the result is not a valid view.
func viewBefore(base *fleet.View, step *historyStep) *fleet.View {
	v := &fleet.View{Zone: base.Zone, Self: base.Self, Epoch: base.Epoch, Members: base.Members, Zones: base.Zones, Listeners: base.Listeners}
	for i := range base.Targets {
		t := base.Targets[i]
		if slices.Contains(step.Missing, t.ID.Key()) || !t.TakesNewFlows() {
			continue
		}
		v.Targets = append(v.Targets, t)
	}
	for _, id := range step.Extra {
		v.Targets = append(v.Targets, fleet.Target{ID: id, Zone: base.Zone, Slots: 1, ConnectionLimit: 1, State: fleet.TargetReady})
	}
	v.Members, v.Zones, v.Listeners = slices.Clone(v.Members), slices.Clone(v.Zones), slices.Clone(v.Listeners)
	if v.Freeze() != nil {
		return nil
	}
	return v
}
