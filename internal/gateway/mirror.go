package gateway

import (
	"time"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
	"bamboowalk.org/bamboowalk/pkg/steering"
)

// mirror is the local copy of the catalog and the targets received from feeds. The
// number of the catalog never decreases.
type mirror struct {
	catalog *catalog.Catalog
	records map[fleet.Incarnation]mirroredRecord
}

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

// apply applies an update and reports whether the update has changed the
// mirror. It also removes expired targets, which does not count as a change. It
// returns the errors of catalog.Catalog.Apply.
func (m *mirror) apply(u *feed.Update, now time.Time) (bool, error) {
	changed := len(u.Records) > 0
	known := m.records
	if u.Full && u.Complete && len(known) > 0 {
		m.records = nil
		changed = true
	}
	if m.records == nil {
		m.records = make(map[fleet.Incarnation]mirroredRecord, len(u.Records))
	}
	for _, rec := range u.Records {
		id := rec.Target.ID.Incarnation
		if old, ok := known[id]; ok && supersedes(&old.Record, &rec) {
			m.records[id] = old
			continue
		}
		m.records[id] = mirroredRecord{rec, now}
	}
	m.removeExpired(now)
	if u.Catalog == nil || u.Catalog.To <= m.number() {
		return changed, nil
	}
	c, err := m.catalog.Apply(u.Catalog)
	if err != nil {
		return changed, err
	}
	m.catalog = c
	return true, nil
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
// registry.GoneRetention.
func (m *mirror) removeExpired(now time.Time) {
	for id, rec := range m.records {
		if rec.Gone() && now.Sub(rec.arrived)+rec.Age > registry.GoneRetention {
			delete(m.records, id)
		}
	}
}

// view returns the view of the mirror for the core.
func (m *mirror) view(now time.Time) *steering.View {
	records := make([]registry.Record, 0, len(m.records))
	for _, rec := range m.records {
		r := rec.Record
		r.Warmup = max(r.Warmup-now.Sub(rec.arrived), 0)
		records = append(records, r)
	}
	return steering.NewView(m.catalog, records, now)
}

// states returns the number of targets by state.
func (m *mirror) states() map[fleet.TargetState]int {
	states := make(map[fleet.TargetState]int)
	for _, rec := range m.records {
		states[rec.State()]++
	}
	return states
}
