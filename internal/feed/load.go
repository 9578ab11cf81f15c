package feed

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/capacity"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

type (
	// loadReports aggregates the load reports of entry VMs. Its methods have no effect
	// on a nil pointer, which is the state without the setting LoadReports.
	loadReports struct {
		aggregate *capacity.Aggregate
		// version is the version of the targets that the aggregate knows, and known
		// holds their number.
		version registry.Version
		load    *capacity.Load
		sums    *capacity.Sums
		// published counts the changes of load and of sums.
		published, sent uint64
	}

	// LoadStats holds the values of the gauges of the load reports.
	LoadStats struct {
		// Slow is the number of slow targets by the step of their slowness.
		Slow map[uint8]int
		// Rooms holds the capacity and the load of the services.
		Rooms map[fleet.ServiceID]capacity.Room
		// Reports counts the reports of entry VMs, Ignored their entries about unknown
		// targets, Published the changes sent to entry VMs, and Sent those sent to hubs.
		Reports, Ignored, Published, Sent uint64
	}
)

// UseLoadReports lets the store aggregate and publish the load reports of entry VMs.
// It must be called before the first subscriber connects.
func (s *Store) UseLoadReports() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = &loadReports{aggregate: capacity.NewAggregate()}
}

func (l *loadReports) report(vm fleet.VMID, zone fleet.ZoneID, r *capacity.Report, now time.Time) {
	if l != nil && r != nil {
		l.aggregate.Report(vm, zone, r, now)
	}
}

// remove removes the load of an entry VM whose connection has ended.
func (l *loadReports) remove(vm fleet.VMID) {
	if l != nil {
		l.aggregate.Remove(vm)
	}
}

func (l *loadReports) removeHub(hub fleet.VMID) {
	if l != nil {
		l.aggregate.RemoveHub(hub)
	}
}

// mergeLoad merges the load in an update of another hub, which holds no reports if
// they have not changed.
func (s *Store) mergeLoad(from fleet.VMID, r *Reports, now time.Time) {
	switch {
	case s.load == nil:
	case r == nil:
		s.load.aggregate.Confirm(from, now)
	case r.Sums != nil:
		s.load.aggregate.Merge(from, r.Sums, now)
	default:
		s.load.aggregate.RemoveHub(from)
	}
}

// aggregateLoad computes the load, and wakes the subscribers that receive it if it
// has changed.
func (s *Store) aggregateLoad(now time.Time) {
	l := s.load
	if l == nil {
		return
	}
	if v := s.targets.Version(); v != l.version {
		for _, rec := range s.targets.Changes(l.version, now) {
			if rec.Gone() {
				l.aggregate.RemoveTarget(rec.Target.ID.Incarnation)
				continue
			}
			l.aggregate.SetTarget(capacity.Target{
				ID: rec.Target.ID.Incarnation, Service: rec.Target.ID.Service, Zone: rec.Target.Zone, Slots: rec.Target.Slots,
				Open: rec.Target.TakesNewFlows(),
			})
		}
		l.version = v
	}
	load, sums := l.aggregate.Tick(now)
	if load != l.load {
		l.load = load
		l.published++
		s.entryFeed.notify()
	}
	if sums != l.sums {
		l.sums = sums
		l.sent++
		s.controlFeed.notify()
	}
}

func (l *loadReports) loadOrNil() *capacity.Load {
	if l == nil {
		return nil
	}
	return l.load
}

func (l *loadReports) sumsOrNil() *capacity.Sums {
	if l == nil {
		return nil
	}
	return l.sums
}

func (l *loadReports) stats() *LoadStats {
	if l == nil {
		return nil
	}
	s := &LoadStats{Published: l.published, Sent: l.sent}
	s.Slow, s.Rooms = l.aggregate.Stats()
	s.Reports, s.Ignored = l.aggregate.Reports()
	return s
}

// since returns the reports with the changes of the load since old only.
func (r *Reports) since(old *Reports) *Reports {
	if r.Load == nil {
		return r
	}
	changes := *r
	changes.Load = r.Load.Since(old.Load)
	return &changes
}
