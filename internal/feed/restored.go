package feed

import (
	"net/netip"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// maxTickGap is the time between two calls of Store.Tick above which this process
// is assumed to have been suspended. Announcements could not arrive in such a gap.
const maxTickGap = time.Second

// catchUpTime is the time after a suspension of this process in which calls of targets are
// refused: those that have waited arrive first.
const catchUpTime = time.Second

// restoredTargets holds the targets that an earlier run of this process has saved
// and that no hub has heard since the start. They are published to entry VMs only:
// other hubs may have forgotten that such a target has left, and would take it for
// a live one.
//
// Invariant: byAddress[a] contains the targets in records with the address a, and no
// address is without targets. Only add, take and tick change the two maps.
type restoredTargets struct {
	records   map[fleet.Incarnation]registry.Record
	byAddress map[netip.AddrPort][]fleet.Incarnation
	// expireAt is the time from which the targets in records are dropped.
	expireAt, lastTick time.Time
	// dropped holds, for registry.GoneRetention, the targets that were dropped.
	// Entry VMs that have received them get them again as draining: no new flow goes
	// to such a target, and its open flows continue if it is still alive. generation
	// changes when targets are dropped.
	dropped    []registry.Record
	droppedAt  time.Time
	generation int
}

func newRestoredTargets(expireAt, now time.Time) restoredTargets {
	return restoredTargets{
		records: make(map[fleet.Incarnation]registry.Record), byAddress: make(map[netip.AddrPort][]fleet.Incarnation),
		expireAt: expireAt, lastTick: now,
	}
}

// add adds a record. It replaces that of the same target, if there is one.
func (r *restoredTargets) add(rec registry.Record) {
	id, address := rec.Target.ID.Incarnation, rec.Target.ID.Address
	r.take(id)
	r.records[id] = rec
	r.byAddress[address] = append(r.byAddress[address], id)
}

// take removes and returns the record of a target.
func (r *restoredTargets) take(id fleet.Incarnation) (registry.Record, bool) {
	rec, ok := r.records[id]
	if !ok {
		return rec, false
	}
	delete(r.records, id)
	address := rec.Target.ID.Address
	others := slices.DeleteFunc(r.byAddress[address], func(o fleet.Incarnation) bool { return o == id })
	if len(others) == 0 {
		delete(r.byAddress, address)
	} else {
		r.byAddress[address] = others
	}
	return rec, true
}

// at returns the records of the targets at an address.
func (r *restoredTargets) at(address netip.AddrPort) []registry.Record {
	var records []registry.Record
	for _, id := range r.byAddress[address] {
		records = append(records, r.records[id])
	}
	return records
}

// all returns the records of all targets.
func (r *restoredTargets) all() []registry.Record {
	records := make([]registry.Record, 0, len(r.records))
	for _, rec := range r.records {
		records = append(records, rec)
	}
	return records
}

// tick drops the targets after expireAt, and reports whether it has dropped any.
// current is set while this hub has the state of a majority of the hubs, without
// which it can't know that no hub has heard the targets.
func (r *restoredTargets) tick(current bool, now time.Time) bool {
	if gap := now.Sub(r.lastTick); gap > maxTickGap {
		r.expireAt = r.expireAt.Add(gap)
	}
	r.lastTick = now
	if len(r.dropped) > 0 && now.Sub(r.droppedAt) > registry.GoneRetention {
		r.dropped = nil
	}
	if len(r.records) == 0 || !current || now.Before(r.expireAt) {
		return false
	}
	r.dropped = r.all()
	for i := range r.dropped {
		r.dropped[i].Target.State = fleet.TargetDraining
	}
	r.droppedAt = now
	r.generation++
	clear(r.records)
	clear(r.byAddress)
	return true
}

// claimRestored moves the restored record of a target that a hub has heard into the
// registry, where the newer of the two records counts, and likewise the restored
// records of other targets at the same address, which the registry marks as gone once
// they are replaced.
func (s *Store) claimRestored(rec *registry.Record, now time.Time) error {
	if len(s.restored.records) == 0 {
		return nil
	}
	id := rec.Target.ID.Incarnation
	known, ok := s.targets.Get(id)
	if !ok {
		// The target has been gone for so long that the registry has refused rec.
		s.restored.take(id)
		return nil
	}
	ids := []fleet.Incarnation{id}
	if !known.Gone() {
		ids = append(ids, s.restored.byAddress[rec.Target.ID.Address]...)
	}
	for _, id := range ids {
		restored, ok := s.restored.take(id)
		if !ok {
			continue
		}
		// The record that has arrived says how long the target has been silent.
		restored.Age = rec.Age
		if err := s.targets.Restore(restored, now); err != nil {
			return err
		}
	}
	return nil
}

// droppedRecords returns the restored targets that were dropped and that no hub has
// heard since.
func (s *Store) droppedRecords() []registry.Record {
	var records []registry.Record
	for _, rec := range s.restored.dropped {
		if _, ok := s.targets.Get(rec.Target.ID.Incarnation); !ok {
			records = append(records, rec)
		}
	}
	return records
}
