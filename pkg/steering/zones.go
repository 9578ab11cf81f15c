package steering

import (
	"maps"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// restoreDelay is the time after which a restored zone takes new flows at targets
// that have not announced themselves since the restore. Targets announce themselves
// every 1.2 s, so that two announcements of a live target may be lost.
const restoreDelay = 3 * time.Second

type (
	// zoneGates holds the zones whose targets take no new flows, or only some of
	// them. Its zero value excludes no target. The maps are replaced, not changed, so
	// that a copy holds the former gates.
	zoneGates struct {
		revision  catalog.ZoneRevision
		evacuated map[fleet.ZoneID]bool
		// restored holds the zones that were restored less than restoreDelay ago.
		restored map[fleet.ZoneID]restoredZone
	}

	// restoredZone is a zone that was restored at a revision and that opens for all
	// targets at opensAt.
	restoredZone struct {
		revision catalog.ZoneRevision
		opensAt  time.Time
	}
)

// admits reports whether zone orders allow new flows to a target.
func (g *zoneGates) admits(t *Target) bool {
	if g == nil {
		return true
	}
	if g.evacuated[t.Zone] {
		return false
	}
	r, ok := g.restored[t.Zone]
	return !ok || t.ZoneRevision >= r.revision
}

// set applies the zones of a higher revision, and reports whether the revision is
// higher.
func (g *zoneGates) set(z *catalog.Zones, now time.Time) bool {
	if z.Revision <= g.revision {
		return false
	}
	g.evacuated = make(map[fleet.ZoneID]bool, len(z.Evacuated))
	for _, zone := range z.Evacuated {
		g.evacuated[zone] = true
	}
	restored := make(map[fleet.ZoneID]restoredZone)
	for _, r := range z.Restored {
		switch known, ok := g.restored[r.Zone]; {
		case ok && known.revision == r.Revision:
			restored[r.Zone] = known
		case r.Revision > g.revision:
			restored[r.Zone] = restoredZone{r.Revision, now.Add(restoreDelay)}
		}
	}
	g.revision, g.restored = z.Revision, restored
	return true
}

// expire removes the restored zones that open at now or have opened, and reports
// whether there were any.
func (g *zoneGates) expire(now time.Time) bool {
	opened := func(_ fleet.ZoneID, r restoredZone) bool { return !now.Before(r.opensAt) }
	restored := maps.Clone(g.restored)
	maps.DeleteFunc(restored, opened)
	changed := len(restored) < len(g.restored)
	g.restored = restored
	return changed
}

// SetZones applies the zone orders in force: no new flow goes to the targets of an
// evacuated zone. A restored zone opens gradually, since its targets may be cold: a
// target takes new flows once it has announced itself after the restore, or
// restoreDelay after this call. SetZones has no effect unless the revision is higher
// than that of the last call.
func (c *Core) SetZones(z catalog.Zones, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	former := c.gates
	if c.gates.set(&z, now) && c.view != nil {
		c.view.relist(&former)
	}
}

// Zones returns the revision of the zone orders in force and the number of
// evacuated zones.
func (c *Core) Zones() (catalog.ZoneRevision, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gates.revision, len(c.gates.evacuated)
}

// openRestoredZones lists the targets of the zones whose restoreDelay has passed.
func (c *Core) openRestoredZones(now time.Time) {
	former := c.gates
	if c.gates.expire(now) && c.view != nil {
		c.view.relist(&former)
	}
}

// takesNewFlows reports whether new flows may go to a target.
func (v *View) takesNewFlows(t *Target) bool { return t.TakesNewFlows() && v.gates.admits(t) }

// setGates sets the zone orders that a new view follows.
func (v *View) setGates(g *zoneGates) {
	v.gates = g
	if len(g.evacuated)+len(g.restored) > 0 {
		v.relist(nil)
	}
}

// relist changes the lists of the targets that accept new flows after a change of the
// gates. It doesn't sort the lists again, since packets wait meanwhile: with 23,000
// targets, that takes about three times as long.
func (v *View) relist(former *zoneGates) {
	added, removed := make(map[*service][]*Target), make(map[*service]bool)
	for _, t := range v.targets {
		admits := v.gates.admits(t)
		if !t.TakesNewFlows() || former.admits(t) == admits {
			continue
		}
		v.eachService(t, func(s *service, t *Target) {
			if admits {
				added[s] = append(added[s], t)
				s.count(t, 1)
			} else {
				removed[s] = true
				s.count(t, -1)
			}
		})
	}
	excluded := func(t *Target) bool { return !v.gates.admits(t) }
	for s := range removed {
		s.targets = slices.DeleteFunc(s.targets, excluded)
		s.held = slices.DeleteFunc(s.held, excluded)
		for zone, list := range s.zones {
			s.zones[zone] = slices.DeleteFunc(list, excluded)
		}
	}
	for s, list := range added {
		slices.SortFunc(list, compareRanks)
		s.targets = merge(s.targets, list)
		s.held = merge(s.held, slices.DeleteFunc(slices.Clone(list), func(t *Target) bool { return t.part.holders == 0 }))
		zones := make(map[fleet.ZoneID][]*Target)
		for _, t := range list {
			zones[t.Zone] = append(zones[t.Zone], t)
		}
		for zone, list := range zones {
			s.zones[zone] = merge(s.zones[zone], list)
		}
	}
}

// merge merges two lists in the order of ranks.
func merge(a, b []*Target) []*Target {
	merged := make([]*Target, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if compareRanks(a[0], b[0]) <= 0 {
			merged, a = append(merged, a[0]), a[1:]
		} else {
			merged, b = append(merged, b[0]), b[1:]
		}
	}
	return append(append(merged, a...), b...)
}
