package steering

import (
	"slices"
	"strings"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// regionKey identifies the targets of a service in a set of regions.
type regionKey struct {
	service fleet.ServiceID
	// regions is the sorted list of regions, separated by a byte that no name has.
	regions string
}

// restrict replaces the services of the routes with regions by services that have only
// the targets of these regions. Whatever chooses a target for a new flow therefore
// can't choose one of another region, not even as a last resort. A zone without a
// region belongs to no route with regions.
func (v *View) restrict(regions map[fleet.ZoneID]fleet.RegionID) {
	restricted := make(map[regionKey]*service)
	for _, r := range v.routes {
		if len(r.Regions) == 0 {
			continue
		}
		names := make([]string, 0, len(r.Regions))
		for _, id := range r.Regions {
			names = append(names, string(id))
		}
		slices.Sort(names)
		key := strings.Join(slices.Compact(names), "\x00")
		for i, s := range r.services {
			k := regionKey{s.ID, key}
			if restricted[k] == nil {
				restricted[k] = v.services[s.ID].in(r.Regions, regions)
				v.restricted[s.ID] = append(v.restricted[s.ID], restricted[k])
			}
			r.services[i] = restricted[k]
		}
	}
}

// in returns the service with its targets in the given regions only.
func (s *service) in(allowed []fleet.RegionID, regions map[fleet.ZoneID]fleet.RegionID) *service {
	zones := make(map[fleet.ZoneID]bool)
	for zone, region := range regions {
		if slices.Contains(allowed, region) {
			zones[zone] = true
		}
	}
	n := &service{Service: s.Service, coldBudget: s.coldBudget, zones: make(map[fleet.ZoneID][]*Target), allowed: zones}
	for _, t := range s.targets {
		if zones[t.Zone] {
			n.append(t)
		}
	}
	return n
}

// takes reports whether the service includes targets of a zone.
func (s *service) takes(zone fleet.ZoneID) bool { return s.allowed == nil || s.allowed[zone] }
