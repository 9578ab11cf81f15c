package gateway

import (
	"time"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
	"bamboowalk.org/bamboowalk/pkg/steering"
)

// expiryInterval is the time between two searches for expired targets.
const expiryInterval = 10 * time.Second

// mirror is the local copy of the catalog, the zone orders and the targets received
// from feeds. The number of the catalog and the revision of the zones never decrease.
type mirror struct {
	catalog    *catalog.Catalog
	zones      catalog.Zones
	records    map[fleet.Incarnation]mirroredRecord
	lastExpiry time.Time
}

// mirrorChange is what an update has changed in a mirror.
type mirrorChange struct {
	// rebuilt is set if the view has to be built anew, because the catalog has
	// changed or targets were removed. Otherwise records holds the changed targets.
	rebuilt bool
	records []registry.Record
	// zones is set if the zone orders have changed.
	zones bool
}

func (c *mirrorChange) empty() bool { return !c.rebuilt && len(c.records) == 0 && !c.zones }

// mirroredRecord is a record with the time at which it was received.
type mirroredRecord struct {
	registry.Record
	arrived time.Time
}

// number returns the number of the catalog, 0 if there is none.
func (m *mirror) number() catalog.Number {
	if m.catalog == nil {
		return 0
	}
	return m.catalog.Number
}

// apply applies an update, removes expired targets, and returns what has changed. It
// returns the errors of catalog.Catalog.Apply.
func (m *mirror) apply(u *feed.Update, now time.Time) (mirrorChange, error) {
	change := mirrorChange{rebuilt: u.Full}
	if u.Zones != nil && u.Zones.Revision > m.zones.Revision {
		m.zones, change.zones = *u.Zones, true
	}
	known := m.records
	if u.Full && u.Complete {
		m.records = nil
	}
	if m.records == nil {
		m.records = make(map[fleet.Incarnation]mirroredRecord, len(u.Records))
	}
	for _, rec := range u.Records {
		id := rec.Target.ID.Incarnation
		// Another hub may not have received an announcement since a restore.
		if old, ok := known[id]; ok && old.Born == rec.Born {
			rec.ZoneRevision = max(rec.ZoneRevision, old.ZoneRevision)
		}
		if old, ok := known[id]; ok && supersedes(&old.Record, &rec) {
			m.records[id] = old
			continue
		}
		if old := known[id]; old.Born == rec.Born {
			keepWarmup(&old, &rec, now)
		}
		m.records[id] = mirroredRecord{rec, now}
		change.records = append(change.records, rec)
	}
	if m.removeExpired(now) {
		change.rebuilt = true
	}
	if u.Catalog == nil || u.Catalog.To <= m.number() {
		return change, nil
	}
	c, err := m.catalog.Apply(u.Catalog)
	if err != nil {
		return change, err
	}
	m.catalog, change.rebuilt = c, true
	return change, nil
}

// keepWarmup keeps what is known about the warm-up of a target with holders: the list of
// holders that is in force, and, unless the received record is newer, how long it lasts.
// A hub that has restarted does not know the latter.
func keepWarmup(known *mirroredRecord, received *registry.Record, now time.Time) {
	left := known.Warmup - now.Sub(known.arrived)
	if left <= 0 || len(known.Holders) == 0 {
		return
	}
	if received.Sequence <= known.Sequence {
		received.Warmup = max(received.Warmup, left)
	}
	if received.Warmup > 0 {
		received.Holders = registry.PreferHolders(known.Holders, received.Holders)
	}
}

// supersedes reports whether a known record of a target is kept although a hub
// sends another one: the other one is older and would undo a restart, a drain or
// the end of the target. A hub that has restarted sends such records until it has
// received the state of other hubs. Otherwise the record of the current hub
// counts, because hubs don't tell each other the sequence numbers of
// announcements that only renew a target.
func supersedes(known, received *registry.Record) bool {
	if !known.NewerThan(received) {
		return false
	}
	return known.Born != received.Born || known.Target.State != received.Target.State
}

// removeExpired removes targets that have been gone for more than
// registry.GoneRetention, and reports whether there were any. It has no effect
// within expiryInterval of the last call that had.
func (m *mirror) removeExpired(now time.Time) bool {
	if now.Sub(m.lastExpiry) < expiryInterval {
		return false
	}
	m.lastExpiry = now
	before := len(m.records)
	for id, rec := range m.records {
		if rec.Gone() && now.Sub(rec.arrived)+rec.Age > registry.GoneRetention {
			delete(m.records, id)
		}
	}
	return len(m.records) < before
}

// ready reports whether the mirror has a catalog and at least one target.
func (m *mirror) ready() bool { return m.catalog != nil && len(m.records) > 0 }

// view returns the view of the mirror for the core. salt is different on each VM.
func (m *mirror) view(salt uint64, now time.Time) *steering.View {
	records := make([]registry.Record, 0, len(m.records))
	for _, rec := range m.records {
		r := rec.Record
		r.Warmup = max(r.Warmup-now.Sub(rec.arrived), 0)
		records = append(records, r)
	}
	return steering.NewView(m.catalog, records, salt, now)
}

// states returns the number of targets by state.
func (m *mirror) states() map[fleet.TargetState]int {
	states := make(map[fleet.TargetState]int)
	for _, rec := range m.records {
		states[rec.State()]++
	}
	return states
}
