package feed

import (
	"cmp"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// minReporters is the minimum number of entry VMs that must report a target before
// the report is shared with all entry VMs. A single reporter may have lost its own
// links.
const minReporters = 2

type (
	// ReportCount is the number of entry VMs that report a target as suspected or
	// overdue.
	ReportCount struct {
		Target fleet.Incarnation `cbor:"1,keyasint"`
		VMs    int               `cbor:"2,keyasint"`
	}

	// targetReports aggregates the reports of one kind, suspected or overdue, from
	// entry VMs and hubs.
	targetReports struct {
		// entryVMs holds the targets that each connected entry VM reports, and hubs
		// the counts that each connected hub has sent.
		entryVMs map[fleet.VMID][]fleet.Incarnation
		hubs     map[fleet.VMID][]ReportCount
		// local holds, for each target in entryVMs, the number of entry VMs that
		// report the target. shared lists the targets that are reported by at least
		// minReporters entry VMs, including those of other hubs. Both are sorted by
		// target.
		local []ReportCount
		// counts holds, for each target, the number of entry VMs that report it,
		// including those of other hubs.
		counts map[fleet.Incarnation]int
		shared []fleet.Incarnation
		// dirty is set if reports have changed since the last aggregation. Reports
		// are aggregated at intervals instead of at each report, because many VMs
		// may begin to report many targets at once.
		dirty bool
	}
)

func newTargetReports() targetReports {
	return targetReports{entryVMs: make(map[fleet.VMID][]fleet.Incarnation), hubs: make(map[fleet.VMID][]ReportCount)}
}

// aggregate computes local and shared from all reports. It returns whether
// local and whether shared has changed.
func (r *targetReports) aggregate() (localChanged, sharedChanged bool) {
	counts := make(map[fleet.Incarnation]int)
	for _, ids := range r.entryVMs {
		for _, id := range ids {
			counts[id]++
		}
	}
	var localCounts []ReportCount
	for id, n := range counts {
		localCounts = append(localCounts, ReportCount{id, n})
	}
	slices.SortFunc(localCounts, func(a, b ReportCount) int { return cmp.Compare(a.Target, b.Target) })
	for _, hubCounts := range r.hubs {
		for _, count := range hubCounts {
			counts[count.Target] += count.VMs
		}
	}
	var ids []fleet.Incarnation
	for id, n := range counts {
		if n >= minReporters {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	localChanged, sharedChanged = !slices.Equal(localCounts, r.local), !slices.Equal(ids, r.shared)
	r.local, r.shared, r.counts = localCounts, ids, counts
	return localChanged, sharedChanged
}

// report replaces the targets that an entry VM reports. An empty list removes the
// VM; the publisher passes one when the connection of the VM has ended.
func (r *targetReports) report(vm fleet.VMID, ids []fleet.Incarnation) {
	if slices.Equal(ids, r.entryVMs[vm]) {
		return
	}
	r.entryVMs[vm] = ids
	if len(ids) == 0 {
		delete(r.entryVMs, vm)
	}
	r.dirty = true
}

// setHubCounts replaces the counts that a hub has sent.
func (r *targetReports) setHubCounts(hub fleet.VMID, counts []ReportCount) {
	r.hubs[hub] = counts
	r.dirty = true
}

// removeHub removes the counts that a hub has sent.
func (r *targetReports) removeHub(hub fleet.VMID) {
	delete(r.hubs, hub)
	r.dirty = true
}

// recordReport records the suspected and overdue targets and the load report in an
// acknowledgement of an entry VM in a zone.
func (s *Store) recordReport(vm fleet.VMID, zone fleet.ZoneID, a *Ack, now time.Time) {
	s.suspected.report(vm, a.Suspects)
	s.overdue.report(vm, a.Overdue)
	if s.lostEnabled {
		s.lost.report(vm, zone, a)
	}
	s.load.report(vm, zone, a.Load, now)
	if s.bindings.add(validBindings(a.Bindings), true, now) {
		s.notify()
	}
}

// aggregateReports aggregates the reports if they have changed since the last call,
// and wakes the subscribers that receive the results.
func (s *Store) aggregateReports() {
	for _, reports := range []*targetReports{&s.suspected, &s.overdue} {
		if !reports.dirty {
			continue
		}
		reports.dirty = false
		localChanged, sharedChanged := reports.aggregate()
		if sharedChanged {
			s.entryFeed.notify()
		}
		if localChanged {
			s.controlFeed.notify()
		}
	}
}

// RemoveHub removes the report counts and the number of entry VMs that a hub has
// sent, and the hub from the sources. It is called when the feed of that hub has ended.
func (s *Store) RemoveHub(hub fleet.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspected.removeHub(hub)
	s.overdue.removeHub(hub)
	s.lost.removeHub(hub)
	s.load.removeHub(hub)
	delete(s.entryVMsByHub, hub)
	delete(s.sources, hub)
}
