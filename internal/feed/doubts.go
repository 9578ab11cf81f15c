package feed

import (
	"slices"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// minDoubters is the number of entry VMs whose doubt in a target others share.
// A single one may have lost its own links.
const minDoubters = 2

type (
	// Doubt is the number of entry VMs that a target does not answer.
	Doubt struct {
		Target fleet.Incarnation `cbor:"1,keyasint"`
		VMs    int               `cbor:"2,keyasint"`
	}

	// doubts sums up what entry VMs and hubs report of one kind.
	doubts struct {
		// entries holds the targets in doubt of each connected entry VM, and hubs
		// the sums of each connected hub.
		entries map[fleet.VMID][]fleet.Incarnation
		hubs    map[fleet.VMID][]Doubt
		// own is the sum over entries, and shared lists the targets that enough
		// VMs doubt everywhere. Both are ordered.
		own    []Doubt
		shared []fleet.Incarnation
		// dirty is set where a report has come since the last sum. Sums are made
		// at intervals, since many VMs may begin to doubt many targets at once.
		dirty bool
	}
)

func newDoubts() doubts {
	return doubts{entries: make(map[fleet.VMID][]fleet.Incarnation), hubs: make(map[fleet.VMID][]Doubt)}
}

// sum adds all reports, and reports whether the sums for hubs and for entry
// VMs have changed.
func (d *doubts) sum() (own, shared bool) {
	counts := make(map[fleet.Incarnation]int)
	for _, ids := range d.entries {
		for _, id := range ids {
			counts[id]++
		}
	}
	var sums []Doubt
	for id, n := range counts {
		sums = append(sums, Doubt{id, n})
	}
	slices.SortFunc(sums, func(a, b Doubt) int { return int(int64(a.Target) - int64(b.Target)) })
	for _, list := range d.hubs {
		for _, x := range list {
			counts[x.Target] += x.VMs
		}
	}
	var ids []fleet.Incarnation
	for id, n := range counts {
		if n >= minDoubters {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	own, shared = !slices.Equal(sums, d.own), !slices.Equal(ids, d.shared)
	d.own, d.shared = sums, ids
	return own, shared
}

// report takes the targets of an entry VM; none where its connection has ended.
func (d *doubts) report(vm fleet.VMID, ids []fleet.Incarnation) {
	if slices.Equal(ids, d.entries[vm]) {
		return
	}
	d.entries[vm] = ids
	if len(ids) == 0 {
		delete(d.entries, vm)
	}
	d.dirty = true
}

// take takes the sums of a hub.
func (d *doubts) take(hub fleet.VMID, sums []Doubt) {
	d.hubs[hub] = sums
	d.dirty = true
}

// lost forgets the sums of a hub.
func (d *doubts) lost(hub fleet.VMID) {
	delete(d.hubs, hub)
	d.dirty = true
}

// report takes what an entry VM has seen of the targets.
func (b *Board) report(vm fleet.VMID, a *Ack) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.doubts.report(vm, a.Doubts)
	b.overdue.report(vm, a.Overdue)
}

// sumReports adds up the reports since the last sum.
func (b *Board) sumReports() {
	for _, d := range []*doubts{&b.doubts, &b.overdue} {
		if !d.dirty {
			continue
		}
		d.dirty = false
		own, shared := d.sum()
		if shared {
			b.wake(&b.changed)
		}
		if own {
			b.wake(&b.touched)
		}
	}
}

// Lost forgets what a hub has told whose feed has ended.
func (b *Board) Lost(hub fleet.VMID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.doubts.lost(hub)
	b.overdue.lost(hub)
	delete(b.entries, hub)
}
